//! The scheduled faults of a scenario.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// What a fault does to its targets. The field names in backticks are those of the scenario file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The proxy gets SIGKILL and restarts after `for`, if set.
    ProxyKilled,
    /// The proxy gets SIGTERM. It restarts `for` after it has exited, if set.
    ProxyStopped,
    /// The proxy gets SIGHUP.
    ProxyReloaded,
    /// A successor process takes over from the running proxy.
    ProxyReplaced,
    /// The server neither reads nor writes; its connections stay open.
    ServerSilent,
    /// The server stops processing for a time, then handles the requests that are queued.
    ServerPaused,
    /// The server crashes and restarts after `for`, if set.
    ServerDied,
    /// The server drains, stops after `for`, and restarts after its group's `back_after`.
    ServerDrains,
    /// The server resets one in `factor` sessions right after it has accepted them.
    ServerDrops,
    /// Servers with `listed = false` start and join the endpoint list.
    ServersJoin,
    /// Session store calls take `factor` times as long.
    StoreSlow,
    /// The endpoint list is unreachable.
    ListLost,
    /// The endpoint list is reachable but stale: it shows no changes.
    ListStill,
    /// Client connections are reset.
    ClientsDropped,
}

/// A scheduled fault. It can have several targets and can be repeated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What the fault does.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it is first injected.
    pub at: ConfigDuration,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: Option<ConfigDuration>,
    /// The indexes of the affected proxies or servers, from 0. If missing, `share` selects them. Without
    /// either, the fault affects the first one; `servers-join` affects all unlisted servers.
    #[serde(rename = "which")]
    pub targets: Option<Vec<usize>>,
    /// The fraction of all possible targets that is selected at random; for `clients-dropped`, the fraction of clients.
    pub share: Option<f64>,
    /// The slowdown of `store-slow`, or N in the one-in-N of `server-drops`.
    pub factor: Option<f64>,
    /// The time between one batch of targets and the next.
    #[serde(rename = "apart")]
    pub interval: Option<ConfigDuration>,
    /// How many targets are affected at the same time.
    #[serde(rename = "together")]
    pub batch_size: Option<usize>,
    /// The time between repetitions.
    #[serde(rename = "every")]
    pub repeat_interval: Option<ConfigDuration>,
    /// The total number of times that the fault is injected.
    #[serde(rename = "times")]
    pub repeats: Option<u32>,
    /// Whether a killed proxy gets SIGKILL only when it has accepted its next connection.
    #[serde(default)]
    pub at_accept: bool,
}
