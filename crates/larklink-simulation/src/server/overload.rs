//! Detects overload of a server in slow start.
use std::collections::VecDeque;

use crate::duration::SECOND;
use crate::time::{TickDuration, Timestamp};

/// A lower bound for the capacity in microseconds, to avoid a division by zero.
const MIN_CAPACITY: f64 = 1e-9;

struct ReceivedWork {
    at: Timestamp,
    /// In microseconds.
    work: f64,
}

/// Tracks the work that a server received within a sliding window.
pub(super) struct OverloadDetector {
    window: TickDuration,
    /// The ratio of received work to capacity above which a server in slow start is overloaded.
    max_ratio: f64,
    received: VecDeque<ReceivedWork>,
    sum: f64,
    overloaded: bool,
}

impl OverloadDetector {
    pub(super) fn new(window: TickDuration, max_ratio: f64) -> Self {
        Self { window, max_ratio, received: VecDeque::new(), sum: 0.0, overloaded: false }
    }

    /// Records received work. `capacity` is in microseconds of work per second. Returns the ratio of the work in the
    /// window to the capacity if the server becomes overloaded by it, and `None` if it is not or already was.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        work: f64,
        capacity: f64,
        slow_start: bool,
    ) -> Option<f64> {
        self.received.push_back(ReceivedWork { at: now, work });
        self.sum += work;
        while let Some(oldest) = self.received.front().filter(|oldest| oldest.at + self.window <= now) {
            self.sum -= oldest.work;
            self.received.pop_front();
        }
        let possible = capacity * self.window as f64 / SECOND as f64;
        let ratio = self.sum / possible.max(MIN_CAPACITY);
        let was_overloaded = self.overloaded;
        self.overloaded = slow_start && ratio > self.max_ratio;
        (self.overloaded && !was_overloaded).then_some(ratio)
    }

    /// Discards the recorded work when the server stops.
    pub(super) fn clear(&mut self) {
        self.received.clear();
        self.sum = 0.0;
    }

    /// Ends the overloaded state when the server starts.
    pub(super) fn restart(&mut self) {
        self.overloaded = false;
    }
}
