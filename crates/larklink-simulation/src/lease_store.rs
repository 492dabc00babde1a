//! A model of one key of a lease store. It is linearizable by construction: a read returns the latest write, and a
//! write is a compare-and-swap on the index of the latest write. The history of writes is kept for checks.

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommittedWrite<V> {
    /// The index of the candidate that wrote.
    pub writer: usize,
    /// The sequence number of the write, from 1.
    pub index: u64,
    /// The written value.
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
    /// Returns the latest write.
    pub fn read(&self) -> Option<&CommittedWrite<V>> {
        self.history.last()
    }

    /// Writes if the latest index is `expected_index`, which is 0 before the first write. Returns the new index, or
    /// `None` on a conflict.
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
