//! Spans as people write them, and an agenda of what falls due.
use std::collections::BTreeMap;
use std::fmt;

use larklink_balancer::{TickDuration, Timestamp};
use serde::{Deserialize, Deserializer, de::Error};

/// One second.
pub const SECOND: TickDuration = 10_000;
/// Ticks in a millisecond.
pub const TICKS_PER_MS: TickDuration = 10;

/// A span, written `250ms`, `1.5s` or `2m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub TickDuration);

impl ConfigDuration {
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 10)
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let tenths = match unit.trim() {
            "us" => 0.01,
            "ms" => 10.0,
            "s" => 10_000.0,
            "m" => 600_000.0,
            _ => return Err(format!("{text:?} is no span: write 250ms, 1.5s or 2m")),
        };
        match number.parse::<f64>() {
            Ok(n) if n * tenths <= 36e6 => Ok(Self((n * tenths).round() as TickDuration)),
            Ok(_) => Err(format!("{text:?} is over an hour")),
            Err(_) => Err(format!("{text:?} is no span: write 250ms, 1.5s or 2m")),
        }
    }
}

impl fmt::Display for ConfigDuration {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            t if t >= SECOND => write!(f, "{}s", t as f64 / SECOND as f64),
            t => write!(f, "{}ms", t as f64 / 10.0),
        }
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        Self::parse(&String::deserialize(d)?).map_err(D::Error::custom)
    }
}

/// What falls due, in order of time and, at the same time, of entry.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BTreeMap<(TickDuration, u64), T>,
    next: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), next: 0 }
    }
}

impl<T> EventQueue<T> {
    pub fn push(&mut self, at: Timestamp, what: T) {
        self.entries.insert((at, self.next), what);
        self.next += 1;
    }

    /// When the first falls due; never, if there is none.
    pub fn next_at(&self) -> Timestamp {
        self.entries.first_key_value().map_or(Timestamp::MAX, |((at, _), _)| *at)
    }

    /// The first that is due by now, and when it was.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(TickDuration, T)> {
        let entry = self.entries.first_entry().filter(|e| e.key().0 <= now)?;
        let ((at, _), what) = entry.remove_entry();
        Some((at, what))
    }

    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
