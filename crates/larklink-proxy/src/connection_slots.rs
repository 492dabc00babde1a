//! Limits the connections that are served concurrently: a further one evicts the oldest.
use std::collections::VecDeque;

use async_channel::{Receiver, Sender};
use futures_lite::future;

/// The connections being served, oldest first. Each connection holds the receiver of a channel: a message evicts the
/// connection, and the channel is closed once the connection has ended.
pub(crate) struct ConnectionSlots {
    max_connections: usize,
    connections: VecDeque<Sender<()>>,
}

impl ConnectionSlots {
    /// Creates slots for this many connections.
    pub(crate) fn new(max_connections: usize) -> Self {
        Self { max_connections, connections: VecDeque::new() }
    }

    /// Adds a connection, evicting the oldest one if all slots are in use. The connection has to hold the returned
    /// value until it ends.
    pub(crate) fn add(&mut self) -> Eviction {
        self.connections.retain(|connection| !connection.is_closed());
        if self.connections.len() == self.max_connections
            && let Some(oldest) = self.connections.pop_front()
        {
            // Fails only if the connection has ended meanwhile.
            let _ = oldest.try_send(());
        }
        let (connection, evicted) = async_channel::bounded(1);
        self.connections.push_back(connection);
        Eviction(evicted)
    }
}

/// Signals that a connection is evicted. Connections go on when the slots are dropped.
pub(crate) struct Eviction(Receiver<()>);

impl Eviction {
    /// Resolves when the connection is evicted.
    pub(crate) async fn wait(&self) {
        if self.0.recv().await.is_err() {
            future::pending().await
        }
    }
}
