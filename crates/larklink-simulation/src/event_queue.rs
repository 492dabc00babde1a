//! What happens later, in the order of time.
use std::collections::BTreeMap;

use crate::time::Timestamp;

/// When an entry is due; entries of the same time are in the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Timestamp,
    number: u64,
}

/// Entries by the time at which they are due.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BTreeMap<Due, T>,
    next_number: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an entry that is due at a time.
    pub fn push(&mut self, at: Timestamp, entry: T) {
        self.entries.insert(Due { at, number: self.next_number }, entry);
        self.next_number += 1;
    }

    /// When the first is due; [`Timestamp::MAX`] if there is none.
    pub fn next_at(&self) -> Timestamp {
        self.entries.first_key_value().map_or(Timestamp::MAX, |(due, _)| due.at)
    }

    /// Takes the first entry that is due by now, with the time at which it was.
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
