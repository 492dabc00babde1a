//! The open connections from proxies to servers.
use std::collections::BTreeMap;

use larklink_engine::engine::{AttemptNumber, SessionId};

use crate::server::ConnectionId;
use crate::time::Timestamp;

/// An attempt to open a session at a server.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) proxy: usize,
    pub(super) session: SessionId,
    pub(super) number: AttemptNumber,
    /// The session id of the client.
    pub(super) id: u64,
}

/// A health check by a proxy.
#[derive(Clone, Copy)]
pub(super) struct HealthCheck {
    pub(super) proxy: usize,
    pub(super) sent_at: Timestamp,
}

/// The purpose of a connection.
#[derive(Clone, Copy)]
pub(super) enum ConnectionPurpose {
    Attempt(Attempt),
    HealthCheck(HealthCheck),
}

/// An open connection to a server.
#[derive(Clone, Copy)]
pub(super) struct OpenConnection {
    pub(super) server: usize,
    pub(super) purpose: ConnectionPurpose,
}

/// All open connections of a simulation.
pub(super) struct Connections {
    open: BTreeMap<ConnectionId, OpenConnection>,
    latest: ConnectionId,
}

impl Connections {
    pub(super) fn new() -> Self {
        Self { open: BTreeMap::new(), latest: 1 }
    }

    pub(super) fn open(&mut self, server: usize, purpose: ConnectionPurpose) -> ConnectionId {
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

    /// Returns the connections to a server, ordered by id.
    pub(super) fn of_server(&self, server: usize) -> Vec<ConnectionId> {
        let to_server = self.open.iter().filter(|(_, open)| open.server == server);
        to_server.map(|(&connection, _)| connection).collect()
    }

    /// Closes the health check connections of a proxy that exits.
    pub(super) fn close_health_checks(&mut self, proxy: usize) {
        let of_proxy = |purpose: &ConnectionPurpose| match purpose {
            ConnectionPurpose::HealthCheck(check) => check.proxy == proxy,
            ConnectionPurpose::Attempt(_) => false,
        };
        self.open.retain(|_, open| !of_proxy(&open.purpose));
    }
}
