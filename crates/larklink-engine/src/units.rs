//! Conversion of the units of the settings object and of the wire.
use larklink_balancer::TickDuration;

/// Nanoseconds in one tick of [`TickDuration`], a tenth of a millisecond.
pub const NANOS_PER_TICK: u64 = 100_000;

/// Nanoseconds as whole ticks of a tenth of a millisecond, rounded down; 0 for a negative number.
pub fn ticks_from_nanos(nanos: i64) -> TickDuration {
    TickDuration::from_ticks(u64::try_from(nanos).unwrap_or(0) / NANOS_PER_TICK)
}
