//! The time that the decisions see: ticks of a tenth of a millisecond since 1970, which never step back. Start times of
//! endpoints, given as wall clock time, are on the same scale.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use larklink_balancer::{TickDuration, Timestamp};

const MICROSECONDS_PER_TICK: u64 = 100;

/// A monotonic clock that shows the wall clock time of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    start: Timestamp,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        // A wall clock before 1970 is wrong, and any other origin is as good then.
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), start: Timestamp::ZERO + to_ticks(since_1970) }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.start + to_ticks(self.started_at.elapsed())
    }

    /// The instant at which the clock shows a time, at the earliest that of its start.
    pub fn to_instant(&self, time: Timestamp) -> Instant {
        self.started_at + to_duration(time.saturating_since(self.start))
    }
}

/// A duration in whole ticks, rounded down.
pub fn to_ticks(duration: Duration) -> TickDuration {
    TickDuration::from_ticks((duration.as_micros() / u128::from(MICROSECONDS_PER_TICK)) as u64)
}

/// The duration of so many ticks.
pub fn to_duration(ticks: TickDuration) -> Duration {
    Duration::from_micros(ticks.as_ticks().saturating_mul(MICROSECONDS_PER_TICK))
}
