//! A session request: the validated first line.
use larklink_balancer::{SessionRequest, TickDuration};
use larklink_engine::engine::SessionId;

use crate::protocol::OpenLine;
use crate::session_registry::OpenSession;

/// A session that a client has requested.
pub(super) struct Request<'a> {
    /// The session in the registry of this process.
    pub(super) session: &'a OpenSession,
    /// The session's first line, with the CRLF.
    pub(super) line: &'a [u8],
    /// The fields parsed from `line`.
    pub(super) open_line: OpenLine<'a>,
    /// The index of its listener in the settings.
    pub(super) listener: usize,
}

impl Request<'_> {
    /// The session's number in this process.
    pub(super) fn number(&self) -> SessionId {
        self.session.number
    }

    /// Converts the request to the form that the engine takes.
    pub(super) fn to_session_request(&self) -> SessionRequest {
        SessionRequest {
            listener: self.listener,
            group_key: self.open_line.group_key,
            client_key: self.open_line.client_key,
            dial_timeout: TickDuration::from_millis(self.open_line.dial_timeout_ms),
            established: self.open_line.established,
            reconnecting: self.open_line.reconnecting,
            client_retry: self.open_line.client_retry,
        }
    }
}
