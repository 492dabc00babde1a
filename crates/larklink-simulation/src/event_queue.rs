//! A queue of events ordered by due time.
use std::collections::BTreeMap;

use crate::time::Timestamp;

/// The position of an entry in the queue. Entries with the same due time keep the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Timestamp,
    sequence: u64,
}

/// Entries ordered by due time, first in first out among entries with the same time.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BTreeMap<Due, T>,
    next_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an entry that is due at the given time.
    pub fn push(&mut self, at: Timestamp, entry: T) {
        self.entries.insert(Due { at, sequence: self.next_sequence }, entry);
        self.next_sequence += 1;
    }

    /// Returns when the first entry is due, or [`Timestamp::MAX`] if the queue is empty.
    pub fn next_due_at(&self) -> Timestamp {
        self.entries.first_key_value().map_or(Timestamp::MAX, |(due, _)| due.at)
    }

    /// Removes and returns the first entry that is due by `now`, with its due time.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, T)> {
        let first = self.entries.first_entry().filter(|entry| entry.key().at <= now)?;
        let (due, entry) = first.remove_entry();
        Some((due.at, entry))
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
