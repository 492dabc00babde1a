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
    pub handshake_target: ConfigDuration,
    /// How long a client waits for a response.
    pub dial_timeout: ConfigDuration,
    /// The clients that are there from the start.
    pub standing: usize,
    /// The time over which those come.
    pub spread: ConfigDuration,
    /// Clients that come in a second.
    pub rate: f64,
    /// The mean time for which one stays.
    pub life: ConfigDuration,
    /// How often a client sends a message.
    pub every: ConfigDuration,
    /// How soon a message should come back.
    pub line_target: ConfigDuration,
    /// The load of a session, in cores of speed 1.
    pub load: f64,
    /// The weight of a client's service.
    pub utility: f64,
    /// When a client retries.
    pub retry: RetryBehavior,
    /// How long it waits before that.
    pub wait: ConfigDuration,
    /// How often it tries before it leaves for good.
    pub tries: u32,
    /// How long it waits after its connection broke or was migrated, half to one and a half times.
    pub again_after: ConfigDuration,
    /// The mean number of clients that share a group key.
    pub group: usize,
    /// The kilobytes that a client requests and never reads; 0 for one that reads.
    pub deaf_kb: usize,
}

impl Default for ListenerSpec {
    fn default() -> Self {
        Self {
            name: "pick-list".into(),
            kind: SessionKind::Repeatable,
            window: ConfigDuration::from_millis(1000),
            handshake_target: ConfigDuration::from_millis(500),
            dial_timeout: ConfigDuration::from_millis(3000),
            standing: 200,
            spread: ConfigDuration::from_millis(3000),
            rate: 20.0,
            life: ConfigDuration::from_millis(15_000),
            every: ConfigDuration::from_millis(1000),
            line_target: ConfigDuration::from_millis(100),
            load: 0.004,
            utility: 1.0,
            retry: RetryBehavior::After,
            wait: ConfigDuration::from_millis(500),
            tries: 8,
            again_after: ConfigDuration::from_millis(200),
            group: 4,
            deaf_kb: 0,
        }
    }
}
