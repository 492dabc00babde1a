//! Faults by time.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; the proxy starts again after `for`, if that is given.
    ProxyKilled,
    /// SIGTERM; the proxy starts again after `for`, once it has ended.
    ProxyStopped,
    /// SIGHUP.
    ProxyReloaded,
    /// Another process takes over from the proxy while it serves.
    ProxyReplaced,
    /// Connections stay, but the server neither reads nor writes.
    ServerSilent,
    /// The server stops for a time, then answers what waited.
    ServerPaused,
    /// The server dies; it starts again after `for`, if that is given.
    ServerDied,
    /// The server drains, stops after `for`, and starts again `back_after` later.
    ServerDrains,
    /// The server resets one in `factor` of the sessions that it has just accepted.
    ServerDrops,
    /// Servers that were not listed start.
    ServersJoin,
    /// The session store takes `factor` times as long.
    StoreSlow,
    /// The endpoint list is unreachable.
    ListLost,
    /// The endpoint list shows no changes.
    ListStill,
    /// Clients lose their connections.
    ClientsDropped,
}

/// A fault, maybe of several targets and repeated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it first happens.
    pub at: ConfigDuration,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: Option<ConfigDuration>,
    /// Which proxies or servers, by number from 0; otherwise a share of them, drawn; otherwise the first.
    #[serde(rename = "which")]
    pub targets: Option<Vec<usize>>,
    /// The share of them that is drawn.
    pub share: Option<f64>,
    /// How many times slower, or one in how many.
    pub factor: Option<f64>,
    /// How long after one target the next is struck.
    #[serde(rename = "apart")]
    pub interval: Option<ConfigDuration>,
    /// How many targets are struck together.
    #[serde(rename = "together")]
    pub batch_size: Option<usize>,
    /// How long after one time it happens again.
    #[serde(rename = "every")]
    pub repeat_interval: Option<ConfigDuration>,
    /// How often it happens in all.
    #[serde(rename = "times")]
    pub repeats: Option<u32>,
    /// Whether a proxy is killed at the moment at which it has accepted its next connection.
    #[serde(default)]
    pub at_accept: bool,
}
