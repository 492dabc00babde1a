//! Estimates how long endpoints take to answer messages. Does no I/O.
use std::collections::HashMap;

use larklink_balancer::{TickDuration, Timestamp};
use larklink_engine::engine::EndpointId;

/// The shortest time between two reports for an endpoint.
const REPORT_INTERVAL: TickDuration = TickDuration::from_secs(1);
/// The report threshold is the message objective divided by this.
const REPORT_THRESHOLD_DIVISOR: u64 = 3;

/// The messages answered by one endpoint in the current interval.
#[derive(Default)]
struct Samples {
    /// When the interval began.
    since: Timestamp,
    /// The sum of their latencies.
    total: TickDuration,
    count: u64,
    /// Whether the mean of the previous interval was above the threshold.
    was_above_threshold: bool,
}

/// Estimates the message latency of each endpoint.
///
/// The mean latency of each interval of one second or more is reported if it is above a third of the message objective,
/// and once more when it has fallen below, so that the observer sees the recovery.
pub struct LatencyEstimator {
    threshold: TickDuration,
    endpoints: HashMap<EndpointId, Samples>,
}

impl LatencyEstimator {
    /// Creates an estimator; `message_objective` is the shortest one of all listeners.
    pub fn new(message_objective: TickDuration) -> Self {
        Self { threshold: message_objective / REPORT_THRESHOLD_DIVISOR, endpoints: HashMap::new() }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(&endpoint);
    }

    /// Records that an endpoint answered a message after `latency`. Returns the mean latency to report, if any.
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
