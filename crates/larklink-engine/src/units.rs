//! Conversions between the units of the settings object, the wire and the balancer.
use larklink_balancer::TickDuration;

/// The number of nanoseconds in a tick of [`TickDuration`], a tenth of a millisecond.
pub const NANOS_PER_TICK: u64 = 100_000;

/// Converts nanoseconds to ticks of a tenth of a millisecond, rounded down. A negative number gives 0.
pub fn ticks_from_nanos(nanos: i64) -> TickDuration {
    TickDuration::from_ticks(u64::try_from(nanos).unwrap_or(0) / NANOS_PER_TICK)
}
