//! The state that both directions of a session share.
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

/// How many messages of a session are timed at once.
const MAX_TIMED_MESSAGES: usize = 8;

/// An established session, and where it is established.
pub(in crate::session) struct EstablishedAt<'a> {
    pub(in crate::session) session: SessionId,
    /// The number of the attempt that was accepted: 0 for the first one, and also 0 if the session was established
    /// before this process got it.
    pub(in crate::session) attempt: AttemptNumber,
    pub(in crate::session) endpoint: EndpointId,
    /// The session's first line, with the CRLF.
    pub(in crate::session) open_line: &'a [u8],
    /// Messages under way to the endpoint or back.
    pub(in crate::session) unanswered_messages: usize,
    /// The load that the endpoint last reported for the session.
    pub(in crate::session) load: Option<f64>,
}

impl<'a> EstablishedAt<'a> {
    /// A session that has just been accepted.
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
    /// The outcome of its attempt; none if the endpoint has no part in the end.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl SessionEnd {
    /// An end in which the endpoint has no part.
    pub(super) fn without_outcome(reason: EndReason) -> Self {
        Self { reason, outcome: None }
    }

    /// An end that says something of the endpoint.
    pub(super) fn with_outcome(reason: EndReason, outcome: AttemptOutcome) -> Self {
        Self { reason, outcome: Some(outcome) }
    }
}

/// Messages that were sent to the endpoint and are not answered yet.
pub(super) struct UnansweredMessages {
    /// When each was sent, the oldest first.
    sent_at: RefCell<VecDeque<Instant>>,
}

impl UnansweredMessages {
    /// As many messages as were under way when the session was handed over, timed from now.
    fn new(count: usize) -> Self {
        let sent_at = vec![Instant::now(); count.min(MAX_TIMED_MESSAGES)];
        Self { sent_at: RefCell::new(VecDeque::from(sent_at)) }
    }

    /// Records that messages were sent now. Those beyond the number that is timed are not recorded.
    pub(super) fn record_sent(&self, count: usize) {
        let mut sent_at = self.sent_at.borrow_mut();
        let free = MAX_TIMED_MESSAGES - sent_at.len().min(MAX_TIMED_MESSAGES);
        sent_at.extend(std::iter::repeat_n(Instant::now(), count.min(free)));
    }

    /// Takes the oldest message out, which is answered: when it was sent.
    pub(super) fn take_oldest(&self) -> Option<Instant> {
        self.sent_at.borrow_mut().pop_front()
    }

    /// When the oldest message was sent.
    pub(super) fn oldest(&self) -> Option<Instant> {
        self.sent_at.borrow().front().copied()
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
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
    /// The oldest unanswered message when the endpoint was last reported as unresponsive.
    pub(super) reported_unresponsive: Cell<Option<Instant>>,
    /// The load that the endpoint last reported for the session.
    pub(super) load: Cell<Option<f64>>,
    /// Whether the endpoint's last line is at its client, or on its way there.
    pub(super) has_final_line: Cell<bool>,
    /// Whether the endpoint's last line has been handled.
    pub(super) is_ending: Cell<bool>,
    /// Whether the session could not be handed over.
    pub(super) has_no_successor: Cell<bool>,
}

impl<'a> RelayState<'a> {
    pub(super) fn new(
        context: &'a SessionContext,
        established: &EstablishedAt<'_>,
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
            reported_unresponsive: Cell::default(),
            load: Cell::new(established.load),
            has_final_line: Cell::default(),
            is_ending: Cell::default(),
            has_no_successor: Cell::default(),
        }
    }
}
