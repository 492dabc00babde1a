//! The decisions, a file for each concern: plain cases, most of them once met in a fleet, and random runs.
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
