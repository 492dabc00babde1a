//! The session store that all servers share: calls one after another, at a rate; slow spells; a bound on how
//! long a call may wait. It goes on working at calls whose sessions have been given up.
use larklink_balancer::{TickDuration, Timestamp};

use crate::duration::SECOND;

#[derive(Clone, Debug)]
pub struct SessionStore {
    /// Calls a second when it is well.
    rate: f64,
    /// A call that would wait for longer fails after this.
    bound: TickDuration,
    /// So many times slower than when it is well.
    slower: f64,
    free: f64,
    pub calls: u64,
    pub failed: u64,
}

impl SessionStore {
    pub fn new(rate: f64, bound: TickDuration) -> Self {
        Self { rate, bound, slower: 1.0, free: 0.0, calls: 0, failed: 0 }
    }

    pub fn set_slowdown(&mut self, factor: f64) {
        self.slower = factor.max(1e-3);
    }

    /// When the call is through, or when it fails.
    pub fn call(&mut self, now: Timestamp) -> Result<TickDuration, TickDuration> {
        self.calls += 1;
        let start = self.free.max(now as f64);
        if start - now as f64 > self.bound as f64 {
            self.failed += 1;
            return Err(now + self.bound);
        }
        self.free = start + self.slower * SECOND as f64 / self.rate;
        Ok(self.free.ceil() as TickDuration)
    }
}
