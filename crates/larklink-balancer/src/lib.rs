//! The decision logic of larklink, a load balancer for long-lived connections. This crate does no I/O, reads
//! no clock and knows no wire format.
//!
//! A proxy creates one [`Balancer`], reports events to it, and carries out the decisions and actions that it
//! returns:
//!
//! 1. [`Balancer::update_endpoints`] with the endpoint list.
//! 2. [`Balancer::place`] for each session that arrives. It returns a [`Decision`].
//! 3. [`Balancer::established`], [`Balancer::attempt_ended`], [`Balancer::observe`] and
//!    [`Balancer::client_left`] as the state of the session changes, and [`Balancer::health_checked`] for the
//!    result of each health check.
//! 4. [`Balancer::poll`] after each of these calls and at [`Balancer::next_wakeup`]. It returns the
//!    [`Action`]s to carry out.
//!
//! # Terms
//!
//! - A session is a long-lived connection of a client, from its arrival at the proxy until it is over.
//! - An attempt connects to one endpoint and sends the session to it. Every attempt after the first is a
//!   retry.
//! - A session is established once an endpoint has accepted it.
//! - A group is the set of sessions with the same group key. They share state on an endpoint.
//! - A bucket is a hash value of a session's group key or, without one, of its client key; random
//!   if it has neither. Sessions of one bucket have the same ranking of endpoints.
//! - The mean session load is the mean of the reported loads of sessions, and the unit of load.
//! - The session store is a service behind all endpoints that each handshake uses. Resuming an established
//!   connection does not use it.
//!
//! # Guarantees
//!
//! - Deterministic: the same seed and the same calls give the same decisions.
//! - Consistent: all proxies with the same endpoint list compute the same ranking of endpoints for a group or
//!   client key. Each may then prefer its own zone and spread a large group at random.
//! - No attempt is sent to an endpoint after its drain grace. The send deadline of each attempt enforces this.
//! - A session that may have run is retried only where its idempotency allows it, and rejected only where a
//!   retry by its client has no second effect. Otherwise it fails.
//! - Retries stay within the retry budget in every sliding window.
//!
//! # Time
//!
//! All times are in ticks of a tenth of a millisecond since an origin that the caller chooses. They must not
//! decrease from call to call.
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
//!     index: EndpointIndex(endpoint),
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
//! // The connection fails, so the session is retried on the other endpoint.
//! let decision = balancer.attempt_ended(start + SECOND / 1_000, handle, AttemptOutcome::ConnectFailed, false);
//! let Some(Decision::Connect { endpoint: second, .. }) = decision else { panic!("{decision:?}") };
//! assert_ne!(first, second);
//! balancer.established(start + SECOND / 500, handle);
//! assert!(balancer.poll(start + SECOND / 500).is_empty());
//! ```
//!
//! # Modules
//!
//! - `balancer` is the entry point and combines the other modules.
//! - `bucket_table` ranks the endpoints for a session; `placement` chooses one of the ranking.
//! - `endpoint`, `outlier`, `health_check`, `load` and `slow_start` hold the state of each endpoint.
//! - `concurrency_limit`, `retry_budget` and `retry_policy` limit attempts and retries.
//! - `migration` selects established sessions to migrate.
//! - `discovery_schedule` schedules polls of the endpoint list.
//!
//! `docs/capacity.md` documents the constants of all modules.

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
