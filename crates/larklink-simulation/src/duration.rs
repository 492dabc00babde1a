//! Durations as people write them in a scenario.
use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::time::TickDuration;

/// One second.
pub const SECOND: TickDuration = 10_000;
/// Ticks in a millisecond.
pub const TICKS_PER_MS: TickDuration = 10;
/// The longest duration, an hour.
const MAX_TICKS: f64 = 36e6;

/// A duration, written `250ms`, `1.5s` or `2m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub TickDuration);

/// Why a text is no duration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DurationError {
    /// It is no number, or has no known unit.
    #[error("{0:?} is no span: write 250ms, 1.5s or 2m")]
    Malformed(String),
    /// It is longer than an hour.
    #[error("{0:?} is over an hour")]
    TooLong(String),
}

impl ConfigDuration {
    /// So many milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * TICKS_PER_MS)
    }

    /// Reads a duration.
    ///
    /// # Errors
    /// The text is no number with a unit, or over an hour.
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
