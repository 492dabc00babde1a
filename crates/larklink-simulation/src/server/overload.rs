//! Detects that a server in slow start is sent more than it can bear.
use std::collections::VecDeque;

use crate::duration::SECOND;
use crate::time::{TickDuration, Timestamp};

/// The least capacity by which work is divided, microseconds.
const MIN_CAPACITY: f64 = 1e-9;

struct ReceivedWork {
    at: Timestamp,
    /// Microseconds.
    work: f64,
}

/// The work that a server received within a window.
pub(super) struct OverloadDetector {
    window: TickDuration,
    /// How many times its capacity a server in slow start may be sent.
    max_ratio: f64,
    received: VecDeque<ReceivedWork>,
    sum: f64,
    overloaded: bool,
}

impl OverloadDetector {
    pub(super) fn new(window: TickDuration, max_ratio: f64) -> Self {
        Self { window, max_ratio, received: VecDeque::new(), sum: 0.0, overloaded: false }
    }

    /// Adds work that was received. Returns its ratio to the capacity, in microseconds of work a second, if the server is
    /// overloaded by it and was not before.
    pub(super) fn receive(
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

    /// The server has stopped: what it received is forgotten.
    pub(super) fn clear(&mut self) {
        self.received.clear();
        self.sum = 0.0;
    }

    /// The server has started.
    pub(super) fn restart(&mut self) {
        self.overloaded = false;
    }
}
