//! How long endpoints take to answer messages, as the decisions are to observe it. Pure.
use std::collections::HashMap;

use larklink_balancer::{TickDuration, Timestamp};
use larklink_engine::engine::EndpointId;

/// An endpoint's latency is reported at most once in this time: one second.
const REPORT_INTERVAL: TickDuration = TickDuration::from_secs(1);
/// A mean above the message objective divided by this is reported.
const OBJECTIVE_PER_REPORT_THRESHOLD: u64 = 3;

/// The messages of one endpoint since its last report.
#[derive(Default)]
struct Samples {
    /// When they begin.
    since: Timestamp,
    /// The sum of their latencies.
    total: TickDuration,
    count: u64,
    /// Whether the last mean was above the threshold.
    was_above_threshold: bool,
}

/// Estimates the message latency of each endpoint.
///
/// The mean since the last estimate is reported once a second while it is above a third of the message objective, and
/// once more when it has fallen below.
pub struct LatencyEstimator {
    threshold: TickDuration,
    endpoints: HashMap<EndpointId, Samples>,
}

impl LatencyEstimator {
    /// An estimator for the shortest message objective of all listeners.
    pub fn new(message_objective: TickDuration) -> Self {
        Self { threshold: message_objective / OBJECTIVE_PER_REPORT_THRESHOLD, endpoints: HashMap::new() }
    }

    /// Records that an endpoint took `latency` to answer a message; returns the latency to report, if any.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        latency: TickDuration,
    ) -> Option<TickDuration> {
        let samples = self.endpoints.entry(endpoint).or_default();
        samples.total += latency;
        samples.count += 1;
        if now < samples.since + REPORT_INTERVAL {
            return None;
        }
        let mean = samples.total / samples.count;
        let is_above_threshold = mean > self.threshold;
        let report = is_above_threshold || samples.was_above_threshold;
        *samples = Samples { since: now, was_above_threshold: is_above_threshold, ..Samples::default() };
        report.then_some(mean)
    }
}
