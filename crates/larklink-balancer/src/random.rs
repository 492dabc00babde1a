//! Random rounding and random durations.

use std::ops::RangeInclusive;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::time::TickDuration;

/// Rounds `mean` up or down at random, so that the expected value is `mean`.
///
/// Hundreds of proxies that each act on a fraction of a session then act on the right number together.
pub(crate) fn round_randomly(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    (mean + rng.random::<f64>()).floor()
}

/// A duration of the range, each as likely as the others.
pub(crate) fn random_duration(range: RangeInclusive<TickDuration>, rng: &mut ChaCha8Rng) -> TickDuration {
    TickDuration::from_ticks(rng.random_range(range.start().as_ticks()..=range.end().as_ticks()))
}
