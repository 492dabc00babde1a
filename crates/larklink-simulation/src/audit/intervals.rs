//! Intervals of time in which something was so.
use crate::time::Timestamp;

/// One interval; [`Timestamp::MAX`] while it is open.
struct Interval {
    from: Timestamp,
    to: Timestamp,
}

/// Intervals in the order of time.
#[derive(Default)]
pub(super) struct Intervals(Vec<Interval>);

impl Intervals {
    /// Begins an interval, unless one is open.
    pub(super) fn begin(&mut self, at: Timestamp) {
        if self.0.last().is_none_or(|last| last.to != Timestamp::MAX) {
            self.0.push(Interval { from: at, to: Timestamp::MAX });
        }
    }

    /// Ends the interval that is open, if there is one.
    pub(super) fn end(&mut self, at: Timestamp) {
        if let Some(last) = self.0.last_mut().filter(|last| last.to == Timestamp::MAX) {
            last.to = at;
        }
    }

    /// Whether any of them overlaps the time between.
    pub(super) fn overlap(&self, from: Timestamp, to: Timestamp) -> bool {
        self.0.iter().any(|interval| interval.from <= to && from <= interval.to)
    }
}
