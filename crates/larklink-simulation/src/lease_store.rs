//! One key of a lease store, linearizable by construction: a read returns the latest write, and a write takes effect
//! only on the index that it expects. It keeps the history of writes.

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommittedWrite<V> {
    /// The candidate that wrote.
    pub writer: usize,
    /// The index of the write, from 1.
    pub index: u64,
    /// What was written.
    pub value: V,
}

/// One key of the lease store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseStore<V> {
    history: Vec<CommittedWrite<V>>,
}

impl<V> Default for LeaseStore<V> {
    fn default() -> Self {
        Self { history: Vec::new() }
    }
}

impl<V> LeaseStore<V> {
    /// The latest write.
    pub fn read(&self) -> Option<&CommittedWrite<V>> {
        self.history.last()
    }

    /// Writes if the index is still the expected one, 0 if nothing was written yet; returns the new index.
    pub fn write(&mut self, writer: usize, expected_index: u64, value: V) -> Option<u64> {
        let latest = self.read().map_or(0, |write| write.index);
        if expected_index != latest {
            return None;
        }
        let index = latest + 1;
        self.history.push(CommittedWrite { writer, index, value });
        Some(index)
    }

    /// All writes, in the order in which they took effect.
    pub fn history(&self) -> &[CommittedWrite<V>] {
        &self.history
    }
}
