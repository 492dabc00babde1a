//! What must hold at the end of a run.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// What must hold at the end, beside the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requirements {
    /// Utility of well-served seconds over seconds asked for.
    pub service: Option<f64>,
    /// Share of sessions that were accepted.
    pub accepted: Option<f64>,
    /// The same of each shape of proxies, where `proxies.moved` makes two of them.
    pub each_shape: Option<f64>,
    /// TickDuration to the answer that 99 in 100 accepted sessions do not exceed.
    pub answer_p99: Option<ConfigDuration>,
    /// Within so long of the last restart of a proxy, goodput is at nine tenths of what the store bears, or of what is
    /// offered if that is less, and stays there.
    pub recovers: Option<ConfigDuration>,
}
