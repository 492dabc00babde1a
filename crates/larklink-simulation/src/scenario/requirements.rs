//! Conditions that are checked at the end of a run.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// Conditions that are checked at the end of a run, in addition to the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requirements {
    /// The minimum ratio of well-served time to requested time, weighted by utility.
    pub service: Option<f64>,
    /// The minimum fraction of sessions that are accepted.
    pub accepted: Option<f64>,
    /// The same minimum, for each shape of proxies; needs `proxies.moved` to define two shapes.
    pub each_shape: Option<f64>,
    /// The maximum 99th percentile of the response time of accepted sessions.
    pub answer_p99: Option<ConfigDuration>,
    /// The maximum time from the last restart of a proxy until goodput reaches 90 % of the session store's rate, or of
    /// the offered load if that is less, and stays there.
    pub recovers: Option<ConfigDuration>,
}
