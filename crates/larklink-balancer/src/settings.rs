//! The settings of a balancer: plain values, fixed for its lifetime.

use crate::time::TickDuration;

/// Whether a session of a listener may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// It carries an idempotency key: the endpoints of one group drop a repeat.
    WithKey {
        /// Which endpoints know the key.
        group: DeduplicationGroup,
        /// How long they know it, from the first attempt that may have run.
        window: TickDuration,
    },
    /// It must never run twice.
    OnceOnly,
}

/// The endpoints that share the idempotency keys of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// Every endpoint.
    All,
    /// The endpoints in the zone of the first attempt that may have run.
    Zone,
    /// The endpoints in the cell of the first attempt that may have run.
    Cell,
}

/// What the sessions of one listener have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listener {
    /// Whether its sessions may be retried once they may have run.
    pub idempotency: Idempotency,
    /// The latency objective of a handshake.
    pub handshake_objective: TickDuration,
    /// What a second of one session is worth relative to other listeners; 0 where not configured.
    pub priority_weight: f64,
}

/// A limit on retries: within any `window`, a proxy sends at most `min_retries` plus `retry_ratio` times the sessions
/// it received in that window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that are allowed in a window however few sessions come.
    pub min_retries: f64,
    /// Further retries for each session received in the window.
    pub retry_ratio: f64,
    /// The length of the sliding window.
    pub window: TickDuration,
}

/// How the availability of calm periods counts: by its number of nines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityNines {
    /// Its weight in the result, from 0 up.
    pub weight: f64,
    /// The number of nines that counts as full availability.
    pub max_nines: f64,
}

/// The settings of one balancer. The default configures and allows nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The listeners, in the order in which sessions name them.
    pub listeners: Vec<Listener>,
    /// How many proxies share the endpoints; 0 if unknown.
    pub proxy_count: u32,
    /// Whether the weights in the endpoint list compare capacities and are constant.
    pub weighted: bool,
    /// Whether the endpoint list has to be polled; otherwise it is pushed.
    pub polled_discovery: bool,
    /// How long after a failed poll the proxy counts as notified of changes that it did not receive.
    pub discovery_deadline: TickDuration,
    /// How long after the notification of a drain new sessions may still be sent to the endpoint.
    pub drain_grace: TickDuration,
    /// Whether only a drain closes an endpoint to new sessions: one that is merely removed may be up.
    pub removal_not_binding: bool,
    /// The share of its capacity that an endpoint has when it starts, from 0 to 1.
    pub initial_capacity: f64,
    /// How long the slow start of an endpoint takes.
    pub slow_start_duration: TickDuration,
    /// How many times its present capacity an endpoint in slow start may get before it is overloaded.
    pub overload_multiple: f64,
    /// The window over which the sessions sent to an endpoint in slow start are counted.
    pub overload_window: TickDuration,
    /// The limit on retries; none if they are not limited.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// The weight of calm periods; it decides nothing so far.
    pub availability_nines: Option<AvailabilityNines>,
    /// How long a connection to an endpoint may take.
    pub connect_timeout: TickDuration,
    /// The most attempts of one session, the first included.
    pub max_attempts: u32,
    /// The longest Retry-After that a rejection may state.
    pub max_retry_after: TickDuration,
    /// Whether a rejection may state a Retry-After.
    pub retry_after_allowed: bool,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether the answer to a health check reports the endpoint's load over its capacity.
    pub load_reports: bool,
    /// The zone of this proxy; none if there is only one, or if crossing zones is cheaper than a migration.
    pub local_zone: Option<u16>,
    /// The longest time for which any client waits to be accepted; `TickDuration::MAX` if unknown.
    pub max_dial_timeout: TickDuration,
    /// The shortest latency objective of a message over all listeners.
    pub message_objective: TickDuration,
}
