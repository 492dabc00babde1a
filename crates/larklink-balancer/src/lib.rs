//! The decisions of larklink, a balancer for long-lived connections: no I/O, no clock, no wire format.
//!
//! A proxy makes one [`Balancer`], tells it what happens, and carries out what it returns:
//!
//! 1. [`Balancer::update_endpoints`] with the endpoint list.
//! 2. [`Balancer::place`] for each session that arrives. It returns a [`Decision`].
//! 3. [`Balancer::established`], [`Balancer::attempt_ended`], [`Balancer::observe`] and
//!    [`Balancer::client_left`] as the session goes on, [`Balancer::health_checked`] for each health check.
//! 4. [`Balancer::poll`] after each of these calls, and at [`Balancer::next_wakeup`]: it returns the
//!    [`Action`]s to carry out.
//!
//! # What it keeps to
//!
//! - The same seed and the same calls give the same decisions.
//! - Every proxy with the same endpoint list ranks the endpoints alike for a group key or a client key.
//! - No attempt starts at an endpoint once the grace of its drain has passed: the send deadline says so.
//! - A session that may have run is sent again only where its idempotency allows it, and is rejected only where
//!   a retry by its client has no second effect; else it is failed.
//! - Retries stay within the retry budget in every window.
//!
//! # Times
//!
//! Times are in ticks of a tenth of a millisecond, from an origin that the caller chooses, and must not decrease
//! from call to call.
//!
//! # Example
//!
//! ```
//! use larklink_balancer::{
//!     AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointState, Idempotency, ListScope, Listener,
//!     EndpointIndex, SessionRequest, Settings, TickDuration, Timestamp,
//! };
//!
//! const SECOND: TickDuration = TickDuration::from_secs(1);
//! let start = Timestamp::ZERO;
//! let settings = Settings {
//!     listeners: vec![Listener {
//!         idempotency: Idempotency::Idempotent,
//!         handshake_objective: SECOND / 2,
//!         priority_weight: 1.0,
//!     }],
//!     connect_timeout: SECOND / 5,
//!     max_attempts: 2,
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42, start);
//! let entries = [0, 1].map(|endpoint| EndpointEntry {
//!     endpoint: EndpointIndex(endpoint),
//!     id: 100 + endpoint as u32,
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//!     ..EndpointEntry::default()
//! });
//! balancer.update_endpoints(start, ListScope::Cached, &entries);
//!
//! let request = SessionRequest { client_key: 7, dial_timeout: 2 * SECOND, ..SessionRequest::default() };
//! let (handle, decision) = balancer.place(start, request);
//! let Decision::Connect { endpoint: first, .. } = decision else { panic!("{decision:?}") };
//!
//! // The connection fails: the session is retried on the other endpoint.
//! let decision = balancer.attempt_ended(start + SECOND / 1_000, handle, AttemptOutcome::ConnectFailed, false);
//! let Some(Decision::Connect { endpoint: second, .. }) = decision else { panic!("{decision:?}") };
//! assert_ne!(first, second);
//! balancer.established(start + SECOND / 500, handle);
//! assert!(balancer.poll(start + SECOND / 500).is_empty());
//! ```
//!
//! # Modules
//!
//! `balancer` calls the others in order. `bucket_table` ranks the endpoints, `placement` walks down the ranking;
//! `outlier`, `health_check`, `load`, `slow_start` and `endpoint` know the endpoints; `concurrency_limit`,
//! `retry_budget` and `retry_policy` limit attempts; `migration` migrates established sessions; `discovery_schedule`
//! polls the endpoint list. `docs/capacity.md` lists the constants of all of them.

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
mod time;

pub use action::{Action, Decision, HealthSummary, LogEvent};
pub use balancer::Balancer;
pub use event::{AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest};
pub use ids::{EndpointIndex, SessionHandle};
pub use settings::{
    AvailabilityNines, DeduplicationGroup, Idempotency, Listener, RetryBudgetSettings, Settings,
};
pub use time::{TickDuration, Timestamp};
