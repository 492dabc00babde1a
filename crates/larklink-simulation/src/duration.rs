//! Durations with a unit, as scenario files write them.
use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::time::TickDuration;

/// One second.
pub const SECOND: TickDuration = 10_000;
/// Ticks in a millisecond.
pub const TICKS_PER_MS: TickDuration = 10;
/// The longest valid duration, one hour.
const MAX_TICKS: f64 = 36e6;

/// A duration in ticks. Scenario files write it as `250ms`, `1.5s` or `2m`; `us` is valid too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub TickDuration);

/// Why a text could not be parsed as a duration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DurationError {
    /// The number is invalid, or the unit is missing or unknown.
    #[error("{0:?} is not a duration: write 250ms, 1.5s or 2m")]
    Malformed(String),
    /// The duration is longer than an hour.
    #[error("{0:?} is over an hour")]
    TooLong(String),
}

impl ConfigDuration {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * TICKS_PER_MS)
    }

    /// Parses a duration.
    ///
    /// # Errors
    /// The text is not a number with a known unit, or the duration is longer than an hour.
    pub fn parse(text: &str) -> Result<Self, DurationError> {
        let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let malformed = || DurationError::Malformed(text.to_owned());
        let ticks_per_unit = match unit.trim() {
            "us" => 0.01,
            "ms" => 10.0,
            "s" => 10_000.0,
            "m" => 600_000.0,
            _ => return Err(malformed()),
        };
        let number: f64 = number.parse().map_err(|_| malformed())?;
        let ticks = number * ticks_per_unit;
        if ticks <= MAX_TICKS {
            Ok(Self(ticks.round() as TickDuration))
        } else {
            Err(DurationError::TooLong(text.to_owned()))
        }
    }
}

impl fmt::Display for ConfigDuration {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0 >= SECOND {
            write!(f, "{}s", self.0 as f64 / SECOND as f64)
        } else {
            write!(f, "{}ms", self.0 as f64 / TICKS_PER_MS as f64)
        }
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Self::parse(&String::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
