//! Random rounding.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Rounds `mean` up or down at random, so that the expected value is `mean`.
///
/// Hundreds of proxies that each act on a fraction of a session then act on the right number together.
pub(crate) fn round_randomly(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    (mean + rng.random::<f64>()).floor()
}
