//! The time that the decisions see: whole tenths of a millisecond that never step back, counted so that the
//! moment of the start is the wall clock's. A server's start, told as wall time, then lies on the same scale.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use larklink_balancer::{TickDuration, Timestamp};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: TickDuration,
}

impl Clock {
    pub fn start() -> Self {
        // A wall clock before 1970 tells nothing; any other origin does as well then.
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), wall: to_ticks(wall) }
    }

    pub fn now(&self) -> Timestamp {
        self.wall + to_ticks(self.started.elapsed())
    }

    /// When the decisions' time will be `at`.
    pub fn to_instant(&self, at: Timestamp) -> Instant {
        self.started + to_duration(at.saturating_sub(self.wall))
    }
}

pub fn to_ticks(d: Duration) -> TickDuration {
    (d.as_micros() / 100) as TickDuration
}

pub fn to_duration(t: TickDuration) -> Duration {
    Duration::from_micros(t.saturating_mul(100))
}
