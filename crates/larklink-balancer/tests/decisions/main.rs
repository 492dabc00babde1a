//! Tests of the decisions, one file per concern: scenarios, most of them observed in a fleet, and property
//! tests.
mod bucket_table;
mod concurrency_limit;
mod discovery_schedule;
mod fixture;
mod health_check;
mod load;
mod migration;
mod outlier;
mod placement;
mod retry_budget;
mod safety_rules;
mod slow_start;
