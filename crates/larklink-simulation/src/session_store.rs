//! The session store that all servers share. It serves calls one at a time at a fixed rate, can be slowed down, and
//! fails calls that would wait too long. Calls of abandoned sessions are served as well and use up its capacity.

use crate::duration::SECOND;
use crate::time::{TickDuration, Timestamp};

/// The smallest slowdown factor.
const MIN_SLOWDOWN: f64 = 1e-3;

/// A store with a single queue.
#[derive(Clone, Debug)]
pub struct SessionStore {
    /// Calls per second without a slowdown.
    rate: f64,
    /// A call that would wait longer than this fails after this time.
    max_wait: TickDuration,
    /// The factor by which each call takes longer.
    slowdown: f64,
    /// When the store has served all accepted calls, in ticks.
    free_at: f64,
    /// The number of calls so far.
    pub calls: u64,
    /// The number of failed calls.
    pub failed: u64,
}

impl SessionStore {
    /// Creates a store that serves `rate` calls per second and lets a call wait for at most `max_wait`.
    pub fn new(rate: f64, max_wait: TickDuration) -> Self {
        Self { rate, max_wait, slowdown: 1.0, free_at: 0.0, calls: 0, failed: 0 }
    }

    /// Sets the factor by which later calls take longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Makes a call. Returns when it is served.
    ///
    /// # Errors
    /// The call would wait too long. The error is the time at which it fails.
    pub fn call(&mut self, now: Timestamp) -> Result<Timestamp, Timestamp> {
        self.calls += 1;
        let start = self.free_at.max(now as f64);
        if start - now as f64 > self.max_wait as f64 {
            self.failed += 1;
            return Err(now + self.max_wait);
        }
        self.free_at = start + self.slowdown * SECOND as f64 / self.rate;
        Ok(self.free_at.ceil() as Timestamp)
    }
}
