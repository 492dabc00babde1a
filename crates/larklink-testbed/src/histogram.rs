//! Histograms of times.
use hdrhistogram::Histogram;

/// Significant digits that a histogram keeps.
const DIGITS: u8 = 3;

/// An empty histogram that grows as it needs.
pub(crate) fn new_histogram() -> Histogram<u64> {
    // It only fails for more than five digits.
    Histogram::new(DIGITS).expect("three digits are allowed")
}
