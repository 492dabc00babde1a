//! When the message latency of an endpoint is reported.
use larklink_proxy::upstream::message_latency::LatencyEstimator;

#[test]
fn a_slow_endpoint_is_reported_once_a_second_and_once_more() {
    let mut estimator = LatencyEstimator::new(600);
    assert_eq!(estimator.record_answer(20_000, 1, 300), Some(300));
    assert_eq!(estimator.record_answer(21_000, 1, 500), None);
    assert_eq!(estimator.record_answer(30_000, 1, 100), Some(300), "the mean since the last report");
    assert_eq!(estimator.record_answer(40_000, 1, 50), Some(50), "back under: once more");
    assert_eq!(estimator.record_answer(50_000, 1, 50), None);
    assert_eq!(estimator.record_answer(50_000, 2, 500), Some(500), "each endpoint by itself");
}
