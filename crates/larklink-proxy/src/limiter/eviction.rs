//! Which idle connection is evicted first.
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};

/// A connection's place in the eviction order: first those that have never sent anything, then the others, as health
/// checks and answered connections that linger; of each the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionPriority {
    /// Whether it has ever sent anything.
    pub(super) has_been_active: bool,
    /// Counts connections in the order in which they came.
    pub(super) connection: u64,
}

/// Signals one connection that it is evicted.
#[derive(Clone)]
pub(super) struct EvictionSignal {
    sender: Sender<()>,
    /// Held so that the channel closes by [`EvictionSignal::send`] only.
    receiver: Receiver<()>,
}

impl EvictionSignal {
    pub(super) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    pub(super) fn send(&self) {
        self.sender.close();
    }

    pub(super) fn is_sent(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Resolves when it is sent.
    pub(super) fn wait(&self) -> impl Future<Output = ()> + use<> {
        let receiver = self.receiver.clone();
        async move {
            // Nothing is ever sent through the channel: this fails when it is closed.
            let _ = receiver.recv().await;
        }
    }
}

/// The idle connections, each of which uses one descriptor.
#[derive(Default)]
pub(super) struct EvictionQueue(BTreeMap<EvictionPriority, EvictionSignal>);

impl EvictionQueue {
    pub(super) fn insert(&mut self, priority: EvictionPriority, signal: EvictionSignal) {
        self.0.insert(priority, signal);
    }

    pub(super) fn remove(&mut self, connection: u64) {
        for has_been_active in [false, true] {
            self.0.remove(&EvictionPriority { has_been_active, connection });
        }
    }

    /// Takes the connection out that is evicted next.
    pub(super) fn pop(&mut self) -> Option<EvictionSignal> {
        self.0.pop_first().map(|(_, signal)| signal)
    }
}
