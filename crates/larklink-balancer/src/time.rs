//! Times in ticks of a tenth of a millisecond.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time, in ticks since an origin that the caller chooses. The zero timestamp means "long ago".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A length of time, in ticks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TickDuration(u64);

/// Ticks in a millisecond.
const TICKS_PER_MILLISECOND: u64 = 10;

impl Timestamp {
    /// The origin.
    pub const ZERO: Self = Self(0);
    /// Later than any other time: never.
    pub const MAX: Self = Self(u64::MAX);

    /// The time that lies so many ticks after the origin.
    pub const fn from_ticks(ticks: u64) -> Self {
        Self(ticks)
    }

    /// Ticks since the origin.
    pub const fn as_ticks(self) -> u64 {
        self.0
    }

    /// The time since an earlier one; zero if that one is later.
    pub const fn saturating_since(self, earlier: Self) -> TickDuration {
        TickDuration(self.0.saturating_sub(earlier.0))
    }
}

impl TickDuration {
    /// No time.
    pub const ZERO: Self = Self(0);
    /// Longer than any other duration: for ever.
    pub const MAX: Self = Self(u64::MAX);

    /// A duration of so many ticks.
    pub const fn from_ticks(ticks: u64) -> Self {
        Self(ticks)
    }

    /// A duration in milliseconds; [`TickDuration::MAX`] if it is longer than that.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(TICKS_PER_MILLISECOND))
    }

    /// A duration in seconds; [`TickDuration::MAX`] if it is longer than that.
    pub const fn from_secs(seconds: u64) -> Self {
        Self::from_millis(seconds.saturating_mul(1_000))
    }

    /// A duration in whole milliseconds, rounded up.
    pub const fn as_millis_rounded_up(self) -> u64 {
        self.0.div_ceil(TICKS_PER_MILLISECOND)
    }

    /// What is left of it after `other`; zero if that is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// How many ticks it has.
    pub const fn as_ticks(self) -> u64 {
        self.0
    }

    /// A duration of so many ticks, rounded down; zero for negative numbers and for none.
    pub const fn from_f64(ticks: f64) -> Self {
        Self(ticks as u64)
    }

    /// How many ticks it has, to calculate with.
    pub const fn as_f64(self) -> f64 {
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

/// The time from an earlier timestamp to this one.
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
