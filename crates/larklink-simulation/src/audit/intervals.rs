//! Time intervals during which a condition held.
use crate::time::Timestamp;

/// One interval. `to` is [`Timestamp::MAX`] while it is open.
struct Interval {
    from: Timestamp,
    to: Timestamp,
}

/// Disjoint intervals, ordered by time.
#[derive(Default)]
pub(super) struct Intervals(Vec<Interval>);

impl Intervals {
    /// Opens an interval unless one is open already.
    pub(super) fn begin(&mut self, at: Timestamp) {
        if self.0.last().is_none_or(|last| last.to != Timestamp::MAX) {
            self.0.push(Interval { from: at, to: Timestamp::MAX });
        }
    }

    /// Closes the open interval, if there is one.
    pub(super) fn end(&mut self, at: Timestamp) {
        if let Some(last) = self.0.last_mut().filter(|last| last.to == Timestamp::MAX) {
            last.to = at;
        }
    }

    /// Whether any interval overlaps the time from `from` to `to`, ends included.
    pub(super) fn overlaps(&self, from: Timestamp, to: Timestamp) -> bool {
        self.0.iter().any(|interval| interval.from <= to && from <= interval.to)
    }
}
