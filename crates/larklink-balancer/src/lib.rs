//! The decisions of larklink, a balancer for long-lived connections: no I/O, no clock, no wire format.
mod action;
mod balancer;
mod concurrency_limit;
mod discovery_schedule;
mod event;
mod ids;
mod random;
mod retry_budget;
mod settings;

pub use action::{Action, Decision, HealthSummary, LogEvent};
pub use balancer::Balancer;
pub use event::{AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest};
pub use ids::{EndpointIndex, SessionHandle, TickDuration, Timestamp};
pub use settings::{
    AvailabilityNines, DeduplicationGroup, Idempotency, Listener, RetryBudgetSettings, Settings,
};
