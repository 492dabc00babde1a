//! Listeners and the clients that come to them.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// Whether a session may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionKind {
    /// Idempotent.
    Repeatable,
    /// Deduplicated by an idempotency key for as long as `window`.
    Referenced,
    /// Never more than once.
    OnceOnly,
}

/// When a client retries a session that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryBehavior {
    /// As soon as it has failed.
    AtOnce,
    /// After half to one and a half times `wait`, or the Retry-After if that is longer.
    After,
    /// Never.
    Never,
}

/// A listener and its clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenerSpec {
    /// Its name.
    pub name: String,
    /// Whether its sessions may run more than once.
    pub kind: SessionKind,
    /// How long the idempotency key of a referenced session is known.
    pub window: ConfigDuration,
    /// How soon a session should be accepted.
    #[serde(rename = "handshake_target")]
    pub handshake_objective: ConfigDuration,
    /// How long a client waits for a response.
    pub dial_timeout: ConfigDuration,
    /// The clients that are there from the start.
    #[serde(rename = "standing")]
    pub initial_clients: usize,
    /// The time over which those come.
    #[serde(rename = "spread")]
    pub initial_spread: ConfigDuration,
    /// Clients that come in a second.
    #[serde(rename = "rate")]
    pub arrivals_per_second: f64,
    /// The mean time for which one stays.
    #[serde(rename = "life")]
    pub mean_stay: ConfigDuration,
    /// How often a client sends a message.
    #[serde(rename = "every")]
    pub message_interval: ConfigDuration,
    /// How soon a message should come back.
    #[serde(rename = "line_target")]
    pub message_objective: ConfigDuration,
    /// The load of a session, in cores of speed 1.
    pub load: f64,
    /// The weight of a client's service.
    pub utility: f64,
    /// When a client retries.
    pub retry: RetryBehavior,
    /// How long it waits before that.
    #[serde(rename = "wait")]
    pub retry_wait: ConfigDuration,
    /// How often it tries before it leaves for good.
    #[serde(rename = "tries")]
    pub max_tries: u32,
    /// How long it waits after its connection broke or was migrated, half to one and a half times.
    #[serde(rename = "again_after")]
    pub reconnect_wait: ConfigDuration,
    /// The mean number of clients that share a group key.
    #[serde(rename = "group")]
    pub clients_per_group: usize,
    /// The kilobytes that a client requests and never reads; 0 for one that reads.
    pub deaf_kb: usize,
}

impl Default for ListenerSpec {
    fn default() -> Self {
        Self {
            name: "pick-list".into(),
            kind: SessionKind::Repeatable,
            window: ConfigDuration::from_millis(1000),
            handshake_objective: ConfigDuration::from_millis(500),
            dial_timeout: ConfigDuration::from_millis(3000),
            initial_clients: 200,
            initial_spread: ConfigDuration::from_millis(3000),
            arrivals_per_second: 20.0,
            mean_stay: ConfigDuration::from_millis(15_000),
            message_interval: ConfigDuration::from_millis(1000),
            message_objective: ConfigDuration::from_millis(100),
            load: 0.004,
            utility: 1.0,
            retry: RetryBehavior::After,
            retry_wait: ConfigDuration::from_millis(500),
            max_tries: 8,
            reconnect_wait: ConfigDuration::from_millis(200),
            clients_per_group: 4,
            deaf_kb: 0,
        }
    }
}
