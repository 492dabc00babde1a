//! The state shared by both directions of a session.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use larklink_balancer::AttemptOutcome;
use larklink_engine::engine::{AttemptNumber, EndpointId, SessionId};

use super::client_writer::ClientWriter;
use crate::log::EndReason;
use crate::session::context::SessionContext;

/// The most unanswered messages of a session that are timed at once.
const MAX_TIMED_MESSAGES: usize = 8;

/// An established session to relay, and its endpoint.
pub(in crate::session) struct RelayedSession<'a> {
    pub(in crate::session) session: SessionId,
    /// The number of the accepted attempt; 0 for a session that was established before it reached this process.
    pub(in crate::session) attempt: AttemptNumber,
    pub(in crate::session) endpoint: EndpointId,
    /// The session's first line, with the CRLF.
    pub(in crate::session) open_line: &'a [u8],
    /// How many unanswered messages the session starts with; at most [`MAX_TIMED_MESSAGES`] of them are recorded.
    pub(in crate::session) unanswered_messages: usize,
    /// The load that the endpoint last reported for the session.
    pub(in crate::session) load: Option<f64>,
}

impl<'a> RelayedSession<'a> {
    /// Creates a session that was just accepted.
    pub(in crate::session) fn new(
        session: SessionId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        open_line: &'a [u8],
    ) -> Self {
        Self { session, attempt, endpoint, open_line, unanswered_messages: 0, load: None }
    }
}

/// How an established session ended.
pub(super) struct SessionEnd {
    pub(super) reason: EndReason,
    /// The outcome of its attempt; `None` if the end says nothing about the endpoint.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl SessionEnd {
    /// An end that says nothing about the endpoint.
    pub(super) fn without_outcome(reason: EndReason) -> Self {
        Self { reason, outcome: None }
    }

    /// An end that counts as an outcome of the attempt at the endpoint.
    pub(super) fn with_outcome(reason: EndReason, outcome: AttemptOutcome) -> Self {
        Self { reason, outcome: Some(outcome) }
    }
}

/// The send times of unanswered messages, at most [`MAX_TIMED_MESSAGES`]; further ones are not recorded.
pub(super) struct UnansweredMessages {
    /// When each was sent, oldest first.
    sent_at: RefCell<VecDeque<Instant>>,
}

impl UnansweredMessages {
    /// Starts with the messages that were unanswered when the session was handed over, timed from now.
    fn new(count: usize) -> Self {
        let sent_at = vec![Instant::now(); count.min(MAX_TIMED_MESSAGES)];
        Self { sent_at: RefCell::new(VecDeque::from(sent_at)) }
    }

    /// Records messages as sent now, as far as [`MAX_TIMED_MESSAGES`] allows.
    pub(super) fn record_sent(&self, count: usize) {
        let mut sent_at = self.sent_at.borrow_mut();
        let free = MAX_TIMED_MESSAGES - sent_at.len().min(MAX_TIMED_MESSAGES);
        sent_at.extend(std::iter::repeat_n(Instant::now(), count.min(free)));
    }

    /// Removes the oldest recorded message, which was answered. Returns when it was sent.
    pub(super) fn take_oldest(&self) -> Option<Instant> {
        self.sent_at.borrow_mut().pop_front()
    }

    /// When the oldest recorded message was sent.
    pub(super) fn oldest_sent_at(&self) -> Option<Instant> {
        self.sent_at.borrow().front().copied()
    }

    /// The number of recorded messages.
    pub(super) fn timed_count(&self) -> usize {
        self.sent_at.borrow().len()
    }
}

/// The state of a relayed session.
pub(super) struct RelayState<'a> {
    pub(super) context: &'a SessionContext,
    pub(super) session: SessionId,
    pub(super) attempt: AttemptNumber,
    pub(super) endpoint: EndpointId,
    pub(super) client: ClientWriter<'a>,
    pub(super) to_server: &'a Async<TcpStream>,
    pub(super) messages: UnansweredMessages,
    /// The send time of the message for which the endpoint was last reported as unresponsive; `None` if it never was.
    pub(super) reported_message_sent_at: Cell<Option<Instant>>,
    /// The load that the endpoint last reported for the session.
    pub(super) load: Cell<Option<f64>>,
    /// Whether the endpoint's final line was received: it was forwarded to the client or is about to be.
    pub(super) has_final_line: Cell<bool>,
    /// Whether the endpoint's final line was forwarded and evaluated.
    pub(super) is_ending: Cell<bool>,
    /// Whether handing the session over has failed.
    pub(super) handover_failed: Cell<bool>,
}

impl<'a> RelayState<'a> {
    pub(super) fn new(
        context: &'a SessionContext,
        established: &RelayedSession<'_>,
        to_client: &'a Async<TcpStream>,
        to_server: &'a Async<TcpStream>,
    ) -> Self {
        Self {
            context,
            session: established.session,
            attempt: established.attempt,
            endpoint: established.endpoint,
            client: ClientWriter::new(to_client),
            to_server,
            messages: UnansweredMessages::new(established.unanswered_messages),
            reported_message_sent_at: Cell::default(),
            load: Cell::new(established.load),
            has_final_line: Cell::default(),
            is_ending: Cell::default(),
            handover_failed: Cell::default(),
        }
    }
}
