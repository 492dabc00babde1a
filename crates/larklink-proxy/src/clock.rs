//! Monotonic time for the decision engine, in ticks of 0.1 ms since the Unix epoch. Start times of endpoints, which
//! discovery sends as wall clock time, are on the same scale.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use larklink_balancer::{TickDuration, Timestamp};

const MICROSECONDS_PER_TICK: u64 = 100;

/// A monotonic clock that is set to the wall clock time once, when it is started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The wall clock time at `started_at`.
    start: Timestamp,
}

impl Clock {
    /// Starts a clock at the current wall clock time.
    pub fn start() -> Self {
        // A wall clock set before 1970 is wrong; the clock then starts at the epoch.
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), start: Timestamp::ZERO + to_ticks(since_1970) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.start + to_ticks(self.started_at.elapsed())
    }

    /// Returns the instant of a timestamp. A timestamp before the clock's start maps to the start.
    pub fn to_instant(&self, time: Timestamp) -> Instant {
        self.started_at + to_duration(time.saturating_since(self.start))
    }
}

/// Converts a duration to whole ticks, rounded down.
pub fn to_ticks(duration: Duration) -> TickDuration {
    TickDuration::from_ticks((duration.as_micros() / u128::from(MICROSECONDS_PER_TICK)) as u64)
}

/// Converts ticks to a duration.
pub fn to_duration(ticks: TickDuration) -> Duration {
    Duration::from_micros(ticks.as_ticks().saturating_mul(MICROSECONDS_PER_TICK))
}
