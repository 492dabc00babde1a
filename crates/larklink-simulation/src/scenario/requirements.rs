//! What must hold at the end of a run.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// What must hold at the end of a run, beside the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requirements {
    /// The least utility of well-served time over time asked for.
    pub service: Option<f64>,
    /// The least share of sessions that are accepted.
    pub accepted: Option<f64>,
    /// The same of each shape of proxies, where `proxies.moved` makes two of them.
    pub each_shape: Option<f64>,
    /// The time to the response that 99 in 100 accepted sessions must not exceed.
    pub answer_p99: Option<ConfigDuration>,
    /// The time from the last restart of a proxy within which goodput must be at nine tenths of the session store's rate,
    /// or of what is offered if that is less, and stay there.
    pub recovers: Option<ConfigDuration>,
}
