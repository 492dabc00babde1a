//! Stochastic rounding and random durations.

use std::ops::RangeInclusive;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::time::TickDuration;

/// Rounds `mean` up or down at random so that the expected value is `mean`.
///
/// Each of hundreds of proxies may have to act on a fraction of a session. Stochastic rounding makes their
/// total correct.
pub(crate) fn stochastic_round(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    (mean + rng.random::<f64>()).floor()
}

/// Returns a uniformly distributed duration within the range.
pub(crate) fn random_duration(range: RangeInclusive<TickDuration>, rng: &mut ChaCha8Rng) -> TickDuration {
    TickDuration::from_ticks(rng.random_range(range.start().as_ticks()..=range.end().as_ticks()))
}
