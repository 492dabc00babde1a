//! The session store that all servers share: it serves calls one after another at a rate, may be slowed down, and fails
//! calls that would wait for too long. It also serves calls whose sessions have been abandoned.

use crate::duration::SECOND;
use crate::time::{TickDuration, Timestamp};

/// The least slowdown.
const MIN_SLOWDOWN: f64 = 1e-3;

/// The session store.
#[derive(Clone, Debug)]
pub struct SessionStore {
    /// Calls a second without a slowdown.
    rate: f64,
    /// A call that would wait for longer fails after this.
    max_wait: TickDuration,
    /// How many times longer each call takes.
    slowdown: f64,
    /// When it is free, in ticks.
    free_at: f64,
    /// All calls so far.
    pub calls: u64,
    /// The calls that failed.
    pub failed: u64,
}

impl SessionStore {
    /// A store with a rate in calls a second, and the longest wait of a call.
    pub fn new(rate: f64, max_wait: TickDuration) -> Self {
        Self { rate, max_wait, slowdown: 1.0, free_at: 0.0, calls: 0, failed: 0 }
    }

    /// From now on each call takes so many times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// When a call is served.
    ///
    /// # Errors
    /// The call fails; the error is when.
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
