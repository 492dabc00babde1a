//! The logged history of one session.

use crate::event_log::{AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd};
use crate::server::ConnectionId;
use crate::time::Timestamp;

/// A value and the time at which it was logged.
#[derive(Clone, Copy)]
pub(super) struct Timed<T> {
    pub(super) at: Timestamp,
    pub(super) value: T,
}

/// One attempt, as logged by its server.
pub(super) struct AttemptHistory {
    pub(super) server: usize,
    pub(super) connection: ConnectionId,
    pub(super) started_at: Timestamp,
    /// How long the proxy waits for a response, as it told the server, in milliseconds.
    pub(super) timeout_ms: u64,
    pub(super) end: Option<Timed<AttemptEnd>>,
}

impl AttemptHistory {
    /// Whether the session certainly did not run, because the server rejected it.
    pub(super) fn never_ran(&self) -> bool {
        matches!(self.end, Some(Timed { value: AttemptEnd::Rejected, .. }))
    }

    /// Records an end. An end made by the server is final; an acceptance, or an end made by the other side, is
    /// replaced.
    pub(super) fn record_end(&mut self, at: Timestamp, end: AttemptEnd) {
        let made_by_server = matches!(
            self.end,
            Some(Timed {
                value: AttemptEnd::Reset | AttemptEnd::Migrated | AttemptEnd::Rejected | AttemptEnd::Failed,
                ..
            })
        );
        if !made_by_server {
            self.end = Some(Timed { at, value: end });
        }
    }
}

/// Everything that was logged of one session.
pub(super) struct SessionHistory {
    pub(super) request: ClientRequest,
    pub(super) proxy: usize,
    pub(super) opened_at: Timestamp,
    pub(super) responses: Vec<Timed<ClientResponse>>,
    pub(super) malformed_at: Option<Timestamp>,
    pub(super) extra_message_at: Option<Timestamp>,
    /// Whether the client could not reach its proxy.
    pub(super) proxy_unreachable: bool,
    /// Session setups that a server completed after the attempt had been abandoned.
    pub(super) ran_after_abandoned: u64,
    pub(super) end: Option<Timed<ConnectionEnd>>,
    pub(super) attempts: Vec<AttemptHistory>,
}

impl SessionHistory {
    pub(super) fn new(request: ClientRequest, proxy: usize, opened_at: Timestamp) -> Self {
        Self {
            request,
            proxy,
            opened_at,
            responses: Vec::new(),
            malformed_at: None,
            extra_message_at: None,
            proxy_unreachable: false,
            ran_after_abandoned: 0,
            end: None,
            attempts: Vec::new(),
        }
    }
}
