//! Listeners and their client traffic.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// Whether a session may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionKind {
    /// Sessions are idempotent and may be run again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Repeated sessions are dropped by their idempotency key within the listener's `window`.
    #[serde(rename = "referenced")]
    Deduplicated,
    /// Sessions must not run more than once.
    OnceOnly,
}

/// When a client retries a session that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryBehavior {
    /// Immediately.
    AtOnce,
    /// After a random 50 % to 150 % of the listener's `wait`, or of the Retry-After if that is longer; never before the
    /// Retry-After.
    After,
    /// The client does not retry.
    Never,
}

/// Settings of a listener and of the clients that connect to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenerSpec {
    /// Unique within the scenario.
    pub name: String,
    /// Whether its sessions may run more than once.
    pub kind: SessionKind,
    /// How long servers remember the idempotency key of a deduplicated session.
    pub window: ConfigDuration,
    /// The latency objective for accepting a session.
    #[serde(rename = "handshake_target")]
    pub handshake_objective: ConfigDuration,
    /// How long a client waits for a response.
    pub dial_timeout: ConfigDuration,
    /// The number of clients that connect at the start of the run.
    #[serde(rename = "standing")]
    pub initial_clients: usize,
    /// The time over which the arrivals of the initial clients are spread.
    #[serde(rename = "spread")]
    pub initial_spread: ConfigDuration,
    /// The rate at which further clients arrive.
    #[serde(rename = "rate")]
    pub arrivals_per_second: f64,
    /// The mean time for which a client stays connected.
    #[serde(rename = "life")]
    pub mean_session_duration: ConfigDuration,
    /// The interval between the messages of a client.
    #[serde(rename = "every")]
    pub message_interval: ConfigDuration,
    /// The latency objective for the response to a message.
    #[serde(rename = "line_target")]
    pub message_objective: ConfigDuration,
    /// The CPU load of a session, in cores of speed 1.
    pub load: f64,
    /// The weight of this listener's clients in the service figure of the run.
    #[serde(rename = "utility")]
    pub priority_weight: f64,
    /// When a client retries a failed session.
    pub retry: RetryBehavior,
    /// How long a client waits before a retry; see [`RetryBehavior::After`].
    #[serde(rename = "wait")]
    pub retry_wait: ConfigDuration,
    /// How often a client tries to open a session before it gives up.
    #[serde(rename = "tries")]
    pub max_client_attempts: u32,
    /// How long a client waits to reconnect after its connection broke or was migrated; randomized between 50 % and 150
    /// %.
    #[serde(rename = "again_after")]
    pub reconnect_wait: ConfigDuration,
    /// The mean number of clients that share a group key.
    #[serde(rename = "group")]
    pub clients_per_group: usize,
    /// The kilobytes of response data that a client requests and never reads; 0 for a client that reads normally.
    #[serde(rename = "deaf_kb")]
    pub unread_kb: usize,
}

impl Default for ListenerSpec {
    fn default() -> Self {
        Self {
            name: "pick-list".into(),
            kind: SessionKind::Idempotent,
            window: ConfigDuration::from_millis(1000),
            handshake_objective: ConfigDuration::from_millis(500),
            dial_timeout: ConfigDuration::from_millis(3000),
            initial_clients: 200,
            initial_spread: ConfigDuration::from_millis(3000),
            arrivals_per_second: 20.0,
            mean_session_duration: ConfigDuration::from_millis(15_000),
            message_interval: ConfigDuration::from_millis(1000),
            message_objective: ConfigDuration::from_millis(100),
            load: 0.004,
            priority_weight: 1.0,
            retry: RetryBehavior::After,
            retry_wait: ConfigDuration::from_millis(500),
            max_client_attempts: 8,
            reconnect_wait: ConfigDuration::from_millis(200),
            clients_per_group: 4,
            unread_kb: 0,
        }
    }
}
