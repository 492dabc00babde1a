//! Faults by time.
use serde::Deserialize;

use crate::duration::ConfigDuration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; starts again after `for`, if that is given.
    ProxyKilled,
    /// SIGTERM; starts again after `for`, once it has ended.
    ProxyStopped,
    /// SIGHUP.
    ProxyReloaded,
    /// Another process takes over from it while it serves.
    ProxyReplaced,
    ServerSilent,
    ServerPaused,
    /// Dies; comes back cold after `for`, if that is given.
    ServerDied,
    /// Drains, goes after `for`, and is back cold `back_after` later.
    ServerDrains,
    /// Drops one in `factor` of those it has just taken.
    ServerDrops,
    /// Servers that were not listed start cold.
    ServersJoin,
    StoreSlow,
    ListLost,
    ListStill,
    ClientsDropped,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    #[serde(rename = "what")]
    pub kind: FaultKind,
    pub at: ConfigDuration,
    #[serde(rename = "for")]
    pub lasts: Option<ConfigDuration>,
    /// Which proxies or servers, by number from 0; else a share of them, drawn; else the first.
    pub which: Option<Vec<usize>>,
    pub share: Option<f64>,
    /// Times slower, or one in so many.
    pub factor: Option<f64>,
    /// Each of them so long after the one before; so many of them together, if that is given.
    pub apart: Option<ConfigDuration>,
    pub together: Option<usize>,
    /// Again so often, so many times in all.
    pub every: Option<ConfigDuration>,
    pub times: Option<u32>,
    /// A proxy is killed in the instant in which it has taken its next connection.
    #[serde(default)]
    pub at_accept: bool,
}
