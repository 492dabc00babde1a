//! The rules of the outside store that processes of a fleet share, linearizable by construction: a read tells the
//! latest write, a write goes by the index that it names. It keeps who did what.

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommittedWrite<V> {
    pub by: usize,
    pub index: u64,
    pub value: V,
}

/// One key of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseStore<V> {
    history: Vec<CommittedWrite<V>>,
}

impl<V> Default for LeaseStore<V> {
    fn default() -> Self {
        Self { history: Vec::new() }
    }
}

impl<V: Clone> LeaseStore<V> {
    /// The index of the latest write and what it wrote.
    pub fn read(&self) -> Option<(u64, V)> {
        self.history.last().map(|took| (took.index, took.value.clone()))
    }

    /// Writes if the latest index is still this one, 0 for nothing written yet: the new index.
    pub fn write(&mut self, by: usize, cas: u64, value: V) -> Option<u64> {
        let latest = self.history.last().map_or(0, |took| took.index);
        if cas != latest {
            return None;
        }
        self.history.push(CommittedWrite { by, index: latest + 1, value });
        Some(latest + 1)
    }

    /// All writes, in the order in which they took effect.
    pub fn history(&self) -> &[CommittedWrite<V>] {
        &self.history
    }
}
