//! When the message latency of an endpoint is reported.
use larklink_balancer::{TickDuration, Timestamp};
use larklink_proxy::upstream::message_latency::LatencyEstimator;

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

fn at(since_start: TickDuration) -> Timestamp {
    Timestamp::ZERO + since_start
}

#[test]
fn a_slow_endpoint_is_reported_once_a_second_and_once_more() {
    let mut estimator = LatencyEstimator::new(ticks(600));
    assert_eq!(estimator.record_answer(at(ticks(20_000)), 1, ticks(300)), Some(ticks(300)));
    assert_eq!(estimator.record_answer(at(ticks(21_000)), 1, ticks(500)), None);
    assert_eq!(
        estimator.record_answer(at(ticks(30_000)), 1, ticks(100)),
        Some(ticks(300)),
        "the mean since the last report"
    );
    assert_eq!(
        estimator.record_answer(at(ticks(40_000)), 1, ticks(50)),
        Some(ticks(50)),
        "once more after it fell below the threshold"
    );
    assert_eq!(estimator.record_answer(at(ticks(50_000)), 1, ticks(50)), None);
    assert_eq!(
        estimator.record_answer(at(ticks(50_000)), 2, ticks(500)),
        Some(ticks(500)),
        "each endpoint has its own interval"
    );
}
