//! Timestamps and durations in ticks of a tenth of a millisecond.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time, in ticks since an origin that the caller chooses. [`Timestamp::ZERO`] stands for any time
/// long past.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A duration in ticks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TickDuration(u64);

/// The number of ticks in a millisecond.
const TICKS_PER_MILLISECOND: u64 = 10;

impl Timestamp {
    /// The origin.
    pub const ZERO: Self = Self(0);
    /// The latest timestamp; stands for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a timestamp from the number of ticks since the origin.
    pub const fn from_ticks(ticks: u64) -> Self {
        Self(ticks)
    }

    /// Returns the number of ticks since the origin.
    pub const fn as_ticks(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> TickDuration {
        TickDuration(self.0.saturating_sub(earlier.0))
    }
}

impl TickDuration {
    /// The duration of zero ticks.
    pub const ZERO: Self = Self(0);
    /// The longest duration; stands for "unlimited" or "unknown".
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from a number of ticks.
    pub const fn from_ticks(ticks: u64) -> Self {
        Self(ticks)
    }

    /// Creates a duration from milliseconds, saturating at [`TickDuration::MAX`].
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(TICKS_PER_MILLISECOND))
    }

    /// Creates a duration from seconds, saturating at [`TickDuration::MAX`].
    pub const fn from_secs(seconds: u64) -> Self {
        Self::from_millis(seconds.saturating_mul(1_000))
    }

    /// Returns the duration in whole milliseconds, rounded up.
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(TICKS_PER_MILLISECOND)
    }

    /// Subtracts `other`, saturating at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the number of ticks.
    pub const fn as_ticks(self) -> u64 {
        self.0
    }

    /// Creates a duration from a number of ticks, rounded down. Negative numbers and NaN give zero.
    pub const fn from_ticks_f64(ticks: f64) -> Self {
        Self(ticks as u64)
    }

    /// Returns the number of ticks as a floating-point number.
    pub const fn as_ticks_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add<TickDuration> for Timestamp {
    type Output = Self;

    fn add(self, duration: TickDuration) -> Self {
        Self(self.0 + duration.0)
    }
}

impl AddAssign<TickDuration> for Timestamp {
    fn add_assign(&mut self, duration: TickDuration) {
        *self = *self + duration;
    }
}

impl Sub<TickDuration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: TickDuration) -> Self {
        Self(self.0 - duration.0)
    }
}

/// Returns the duration since an earlier timestamp.
impl Sub for Timestamp {
    type Output = TickDuration;

    fn sub(self, earlier: Self) -> TickDuration {
        TickDuration(self.0 - earlier.0)
    }
}

impl Add for TickDuration {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for TickDuration {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for TickDuration {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl Mul<u64> for TickDuration {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0 * factor)
    }
}

impl Mul<TickDuration> for u64 {
    type Output = TickDuration;

    fn mul(self, duration: TickDuration) -> TickDuration {
        duration * self
    }
}

impl Div<u64> for TickDuration {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}
