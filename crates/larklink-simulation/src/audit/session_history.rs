//! What was logged of one session.

use crate::event_log::{AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd};
use crate::server::ConnectionId;
use crate::time::Timestamp;

/// Something and when it was logged.
#[derive(Clone, Copy)]
pub(super) struct At<T> {
    pub(super) at: Timestamp,
    pub(super) value: T,
}

/// One attempt, as its server saw it.
pub(super) struct AttemptHistory {
    pub(super) server: usize,
    pub(super) connection: ConnectionId,
    pub(super) started_at: Timestamp,
    /// How long the proxy waits, as the server was notified, in milliseconds.
    pub(super) timeout_ms: u64,
    pub(super) end: Option<At<AttemptEnd>>,
}

impl AttemptHistory {
    /// Whether it certainly never ran.
    pub(super) fn never_ran(&self) -> bool {
        matches!(self.end, Some(At { value: AttemptEnd::Rejected, .. }))
    }

    /// Notes an end. An end that the server made is the last; any other may be followed by one.
    pub(super) fn note_end(&mut self, at: Timestamp, end: AttemptEnd) {
        let made_by_server = matches!(
            self.end,
            Some(At {
                value: AttemptEnd::Reset | AttemptEnd::Migrated | AttemptEnd::Rejected | AttemptEnd::Failed,
                ..
            })
        );
        if !made_by_server {
            self.end = Some(At { at, value: end });
        }
    }
}

/// One session.
pub(super) struct SessionHistory {
    pub(super) request: ClientRequest,
    pub(super) proxy: usize,
    pub(super) opened_at: Timestamp,
    pub(super) responses: Vec<At<ClientResponse>>,
    pub(super) malformed_at: Option<Timestamp>,
    pub(super) extra_message_at: Option<Timestamp>,
    /// Whether its proxy could not be reached.
    pub(super) proxy_unreachable: bool,
    /// Set-ups that were done for an attempt that had been abandoned.
    pub(super) ran_after_abandoned: u64,
    pub(super) end: Option<At<ConnectionEnd>>,
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
