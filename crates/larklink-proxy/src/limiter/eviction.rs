//! The order in which idle connections are evicted.
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};

/// A connection's position in the eviction order. Connections that have never sent anything come first; the others,
/// such as those that sent health checks or linger after their answer, come next. Within both classes the oldest come
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionPriority {
    /// Whether the connection has ever sent anything.
    pub(super) has_been_active: bool,
    /// The connection's sequence number.
    pub(super) connection: u64,
}

/// Notifies a connection that it is evicted.
#[derive(Clone)]
pub(super) struct EvictionSignal {
    sender: Sender<()>,
    /// Kept so that only [`EvictionSignal::send`] closes the channel.
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

    /// Resolves when the signal is sent.
    pub(super) fn wait(&self) -> impl Future<Output = ()> + use<> {
        let receiver = self.receiver.clone();
        async move {
            // Nothing is ever sent through the channel; this fails when the channel is closed.
            let _ = receiver.recv().await;
        }
    }
}

/// The idle connections in eviction order. Each uses one descriptor.
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

    /// Removes the connection that is to be evicted next and returns its signal.
    pub(super) fn pop(&mut self) -> Option<EvictionSignal> {
        self.0.pop_first().map(|(_, signal)| signal)
    }
}
