//! Conditions that are checked at the end of a run.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// Conditions that are checked at the end of a run, in addition to the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requirements {
    /// The minimum ratio of well-served time to requested time, weighted by priority weight.
    #[serde(rename = "service")]
    pub min_service: Option<f64>,
    /// The minimum fraction of sessions that are accepted.
    #[serde(rename = "accepted")]
    pub min_accepted: Option<f64>,
    /// The same minimum, for each shape of proxies; needs `proxies.moved` to define two shapes.
    #[serde(rename = "each_shape")]
    pub min_accepted_per_shape: Option<f64>,
    /// The maximum 99th percentile of the response time of accepted sessions.
    #[serde(rename = "answer_p99")]
    pub max_response_p99: Option<ConfigDuration>,
    /// The maximum time from the last restart of a proxy until goodput reaches 90 % of the session store's rate, or of
    /// the offered load if that is less, and stays there.
    #[serde(rename = "recovers")]
    pub max_recovery_time: Option<ConfigDuration>,
}
