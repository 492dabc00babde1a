//! The decisions of larklink, a balancer for long-lived connections: no I/O, no clock, no wire format.
mod action;
mod balancer;
mod bucket_table;
mod concurrency_limit;
mod discovery_schedule;
mod endpoint;
mod event;
mod health_check;
mod ids;
mod load;
mod migration;
mod outlier;
mod placement;
mod random;
mod retry_budget;
mod retry_policy;
mod session;
mod settings;
mod slow_start;

pub use action::{Action, Decision, HealthSummary, LogEvent};
pub use balancer::Balancer;
pub use event::{AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest};
pub use ids::{EndpointIndex, SessionHandle, TickDuration, Timestamp};
pub use settings::{
    AvailabilityNines, DeduplicationGroup, Idempotency, Listener, RetryBudgetSettings, Settings,
};
