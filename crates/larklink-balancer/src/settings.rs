//! The settings of a balancer, fixed for its lifetime.

use crate::time::TickDuration;

/// Whether the sessions of a listener may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running a session again has no further effect.
    Idempotent,
    /// A session carries an idempotency key, by which the endpoints of one group drop duplicates.
    WithKey {
        /// The endpoints that share the key.
        group: DeduplicationGroup,
        /// How long they remember the key, from the first attempt that may have run.
        window: TickDuration,
    },
    /// A session must never run twice.
    OnceOnly,
}

/// The endpoints that share the idempotency key of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the first attempt that may have run.
    Zone,
    /// The endpoints in the cell of the first attempt that may have run.
    Cell,
}

/// The settings of one listener, common to its sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listener {
    /// Whether a session that may have run may be retried.
    pub idempotency: Idempotency,
    /// The latency objective of a handshake.
    pub handshake_objective: TickDuration,
    /// The value of a second of one session relative to other listeners; 0 if not configured.
    pub priority_weight: f64,
}

/// A limit on retries. Within any `window`, a proxy sends at most `min_retries` plus `retry_ratio` times the
/// number of sessions that it received in that window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The number of retries allowed in a window regardless of the number of sessions.
    pub min_retries: f64,
    /// The number of additional retries per session received in the window.
    pub retry_ratio: f64,
    /// The length of the sliding window.
    pub window: TickDuration,
}

/// How the availability of periods without incidents is scored, by its number of nines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityNines {
    /// The weight of these periods in the score; 0 or more.
    pub weight: f64,
    /// The number of nines that counts as full availability.
    pub max_nines: f64,
}

/// The settings of a balancer. The default configures no listeners and allows no attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The listeners. Sessions refer to them by index.
    pub listeners: Vec<Listener>,
    /// The number of proxies that share the endpoints; 0 if unknown.
    pub proxy_count: u32,
    /// Whether the weights in the endpoint list are constant and express relative capacity.
    pub weighted: bool,
    /// Whether the endpoint list is polled rather than pushed.
    pub polled_discovery: bool,
    /// The time after a failed poll from which the proxy is held to have been notified of changes that it did
    /// not receive.
    pub discovery_deadline: TickDuration,
    /// How long after the notification of a drain new sessions may still be sent to the endpoint.
    pub drain_grace: TickDuration,
    /// Whether only a drain closes an endpoint. An endpoint that is removed without a drain may still be up.
    pub removal_not_binding: bool,
    /// The fraction of its capacity that an endpoint has when it starts, from 0 to 1.
    pub initial_capacity: f64,
    /// The duration of an endpoint's slow start.
    pub slow_start_duration: TickDuration,
    /// The multiple of its current capacity beyond which an endpoint in slow start is overloaded.
    pub overload_multiple: f64,
    /// The window over which the sessions sent to an endpoint in slow start are counted.
    pub overload_window: TickDuration,
    /// The limit on retries, or `None` if they are unlimited.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// The scoring of periods without incidents. No decision depends on it yet.
    pub availability_nines: Option<AvailabilityNines>,
    /// The time limit for a connection to an endpoint.
    pub connect_timeout: TickDuration,
    /// The maximum number of attempts per session, including the first.
    pub max_attempts: u32,
    /// The longest Retry-After that a rejection may carry.
    pub max_retry_after: TickDuration,
    /// Whether a rejection may carry a Retry-After.
    pub retry_after_allowed: bool,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether the answer to a health check reports the endpoint's utilization, its load over its capacity.
    pub load_reports: bool,
    /// The zone of this proxy. `None` if there is only one zone, or if crossing zones is free or cheaper than
    /// a migration.
    pub local_zone: Option<u16>,
    /// The longest dial timeout of any client; [`TickDuration::MAX`] if unknown.
    pub max_dial_timeout: TickDuration,
    /// The shortest message latency objective of all listeners.
    pub message_objective: TickDuration,
}
