//! The connections from proxies to servers that are open.
use std::collections::BTreeMap;

use larklink_engine::engine::{AttemptNumber, SessionId};

use crate::server::ConnectionId;
use crate::time::Timestamp;

/// An attempt of a session.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) proxy: usize,
    pub(super) session: SessionId,
    pub(super) number: AttemptNumber,
    /// The client's id of the session.
    pub(super) id: u64,
}

/// A health check of a proxy.
#[derive(Clone, Copy)]
pub(super) struct HealthCheck {
    pub(super) proxy: usize,
    pub(super) sent_at: Timestamp,
}

/// What a connection is for.
#[derive(Clone, Copy)]
pub(super) enum Purpose {
    Attempt(Attempt),
    HealthCheck(HealthCheck),
}

/// An open connection.
#[derive(Clone, Copy)]
pub(super) struct OpenConnection {
    pub(super) server: usize,
    pub(super) purpose: Purpose,
}

/// All open connections.
pub(super) struct Connections {
    open: BTreeMap<ConnectionId, OpenConnection>,
    latest: ConnectionId,
}

impl Connections {
    pub(super) fn new() -> Self {
        Self { open: BTreeMap::new(), latest: 1 }
    }

    pub(super) fn open(&mut self, server: usize, purpose: Purpose) -> ConnectionId {
        self.latest += 1;
        self.open.insert(self.latest, OpenConnection { server, purpose });
        self.latest
    }

    pub(super) fn get(&self, connection: ConnectionId) -> Option<OpenConnection> {
        self.open.get(&connection).copied()
    }

    pub(super) fn close(&mut self, connection: ConnectionId) -> Option<OpenConnection> {
        self.open.remove(&connection)
    }

    /// The connections to a server, in the order of their ids.
    pub(super) fn of_server(&self, server: usize) -> Vec<ConnectionId> {
        let to_server = self.open.iter().filter(|(_, open)| open.server == server);
        to_server.map(|(&connection, _)| connection).collect()
    }

    /// Closes the health checks of a proxy that exits.
    pub(super) fn close_health_checks(&mut self, proxy: usize) {
        let of_proxy = |purpose: &Purpose| match purpose {
            Purpose::HealthCheck(check) => check.proxy == proxy,
            Purpose::Attempt(_) => false,
        };
        self.open.retain(|_, open| !of_proxy(&open.purpose));
    }
}
