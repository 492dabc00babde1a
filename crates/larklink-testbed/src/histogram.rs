//! Histograms of durations.
use hdrhistogram::Histogram;

/// Significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates an empty histogram that resizes itself to fit its values.
pub(crate) fn new_histogram() -> Histogram<u64> {
    // Fails only for more than five digits.
    Histogram::new(SIGNIFICANT_DIGITS).expect("three significant digits are supported")
}
