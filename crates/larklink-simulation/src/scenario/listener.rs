//! Listeners and the clients that come to them.
use serde::Deserialize;

use crate::duration::ConfigDuration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionKind {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryBehavior {
    /// As soon as it has failed.
    AtOnce,
    /// After `wait`, or the retry-after if that is longer, half to one and a half times.
    After,
    Never,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenerSpec {
    pub name: String,
    pub kind: SessionKind,
    /// For referenced sessions: repeats are known for so long.
    pub window: ConfigDuration,
    pub handshake_target: ConfigDuration,
    pub dial_timeout: ConfigDuration,
    /// Clients that are there from the start, spread over the first `spread`.
    pub standing: usize,
    pub spread: ConfigDuration,
    /// Clients that come, a second.
    pub rate: f64,
    /// The mean of how long one stays.
    pub life: ConfigDuration,
    /// A line goes out so often, and is wanted back within the target.
    pub every: ConfigDuration,
    pub line_target: ConfigDuration,
    /// The work of a session, in cores of speed 1.
    pub load: f64,
    pub utility: f64,
    pub retry: RetryBehavior,
    pub wait: ConfigDuration,
    /// Times that a client tries before it gives up for good.
    pub tries: u32,
    /// After a break or a move a client comes again after half to one and a half times this.
    pub again_after: ConfigDuration,
    /// Clients that share a group key, in the mean.
    pub group: usize,
    /// A deaf client asks its server for so many kilobytes and never reads.
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
