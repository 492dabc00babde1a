//! The ids of ended sessions that endpoints may have run.
use std::collections::{BTreeSet, VecDeque};

/// The most ids that are remembered; bounds their memory.
pub const MAX_USED_IDS: usize = 1 << 16;

/// The ids of the latest ended sessions that endpoints may have run, at most [`MAX_USED_IDS`].
#[derive(Default)]
pub(super) struct UsedIds {
    ids: BTreeSet<u64>,
    /// The same ids, the one added first in front.
    by_age: VecDeque<u64>,
}

impl UsedIds {
    /// Adds an id, and forgets the oldest one if there are too many.
    pub(super) fn add(&mut self, id: u64) {
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back(id);
        if self.by_age.len() > MAX_USED_IDS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the ids, the one added first in front.
    pub(super) fn iter(&self) -> impl Iterator<Item = u64> {
        self.by_age.iter().copied()
    }
}
