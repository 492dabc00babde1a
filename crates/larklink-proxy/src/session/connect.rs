//! A session that waits for its answer: attempts are made at the endpoints that the decision task chooses, until one
//! accepts the session or it is rejected or failed.
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Instant;

use async_channel::Receiver;
use futures_lite::FutureExt;
use larklink_balancer::{AttemptOutcome, TickDuration};
use larklink_engine::engine::{AttemptNumber, EndpointId};

use super::client::{BUSY, Client, ERR};
use super::client_watch::{is_waiting, watch_client};
use super::context::SessionContext;
use super::reconnect;
use super::relay::{self, RelayedSession};
use super::request::Request;
use super::send_permit::SendPermit;
use crate::clock::to_ticks;
use crate::connection::Connection;
use crate::events::{COMMAND_CAPACITY, DecisionEvent, SessionCommand};
use crate::log::EndReason;
use crate::metrics::FinalAnswer;
use crate::protocol::with_dial_timeout;
use crate::upstream::attempt::Attempt;

/// Runs a session to its end.
pub(super) async fn run(context: &SessionContext, client: &mut Client, request: &Request<'_>) -> EndReason {
    let mut session_request = request.to_session_request();
    if context.shutdown.is_requested() {
        // It must be answered before this process exits.
        let remaining = context.shutdown.answer_deadline().saturating_duration_since(client.received_at);
        session_request.dial_timeout = session_request.dial_timeout.min(to_ticks(remaining));
    }
    if let Some(name) = request.open_line.endpoint_name {
        return reconnect::run(context, client, request, session_request, name).await;
    }
    let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
    let open = DecisionEvent::OpenSession {
        session: request.number(),
        received_at: client.received_at,
        request: session_request,
        commands: sender,
    };
    context.queue.send(open).await;
    let pending =
        PendingSession { context, client, request, commands, has_started_attempt: Cell::new(false) };
    pending.run().await
}

/// The fields of [`SessionCommand::Connect`].
struct ConnectCommand {
    attempt: AttemptNumber,
    endpoint: EndpointId,
    address: Option<SocketAddr>,
    deadline: Instant,
    send_deadline: Instant,
}

/// How an attempt ends.
enum AttemptEnd {
    /// The endpoint accepted the session on this connection.
    Accepted(Connection),
    /// The endpoint did not accept it; the outcome is reported to the decision task.
    NotAccepted(AttemptOutcome),
    /// The session ends before its attempt has an outcome.
    SessionOver(EndReason),
}

/// A session that waits for its answer.
struct PendingSession<'a> {
    context: &'a SessionContext,
    client: &'a mut Client,
    request: &'a Request<'a>,
    commands: Receiver<SessionCommand>,
    /// Whether any attempt has begun to connect.
    has_started_attempt: Cell<bool>,
}

impl PendingSession<'_> {
    async fn run(mut self) -> EndReason {
        loop {
            match self.next_command().await {
                // Only the first attempt needs another descriptor, so the session has not run anywhere.
                Ok(SessionCommand::Connect { .. }) if !self.client.permit.try_acquire_upstream() => {
                    return self.abandon(EndReason::NoDescriptors).await;
                }
                Ok(SessionCommand::Connect { attempt, endpoint, address, deadline, send_deadline }) => {
                    let command = ConnectCommand { attempt, endpoint, address, deadline, send_deadline };
                    match self.make_attempt(&command).await {
                        AttemptEnd::Accepted(connection) => {
                            return self.establish(&command, connection).await;
                        }
                        AttemptEnd::NotAccepted(outcome) => self.report_attempt(attempt, outcome).await,
                        AttemptEnd::SessionOver(reason) => return self.abandon(reason).await,
                    }
                }
                Ok(SessionCommand::Reject { retry_after }) => return self.reject(retry_after).await,
                Ok(SessionCommand::Fail) => return self.fail().await,
                // A send deadline of an attempt that has ended in the meantime. `Migrate` is sent to established
                // sessions only.
                Ok(SessionCommand::LimitSendDeadline { .. } | SessionCommand::Migrate) => {}
                Err(reason) => return self.abandon(reason).await,
            }
        }
    }

    /// Receives the next command; the error is the reason for which the session ends before that.
    async fn next_command(&mut self) -> Result<SessionCommand, EndReason> {
        // A pending session's channel is closed only after the command that answers the session, or when the decision
        // task ends with the process. Nobody is answered in the latter case, as after a disconnect.
        let command = async { self.commands.recv().await.map_err(|_| EndReason::ClientClosed) };
        let Connection { stream, buffer } = &mut self.client.connection;
        let client_left = watch_client(stream, buffer, self.request.open_line.established);
        command.or(client_left).or(self.context.shutdown.answer_deadline_passed()).await
    }

    /// Makes an attempt.
    async fn make_attempt(&mut self, command: &ConnectCommand) -> AttemptEnd {
        let context = self.context;
        let remaining = command.deadline.saturating_duration_since(Instant::now());
        let dial_timeout_ms = remaining.as_millis().max(1).to_string();
        let open_line = &self.request.open_line;
        let mut line = with_dial_timeout(self.request.line, &open_line.dial_timeout_range, &dial_timeout_ms);
        let permit = SendPermit::new(command.attempt, command.send_deadline, command.deadline);
        let Connection { stream, buffer } = &mut self.client.connection;
        let stream = &*stream;
        // The client may have disconnected while its line was read, while the session was queued, or during an earlier
        // attempt, and the reactor may not have reported it yet.
        let is_client_waiting = || is_waiting(stream.get_ref(), open_line.established);
        let may_connect = || {
            let connects = is_client_waiting();
            self.has_started_attempt.set(self.has_started_attempt.get() || connects);
            connects
        };
        let session = self.request.session;
        let may_send = || {
            let sends = is_client_waiting() && permit.try_use();
            if sends {
                session.record_sent();
            }
            sends
        };
        let send = async {
            context.limiter.evictions_done().await;
            let Some(address) = command.address else {
                return AttemptEnd::NotAccepted(AttemptOutcome::ConnectFailed);
            };
            let attempt = Attempt {
                address,
                deadline: command.deadline,
                connect_timeout: context.connect_timeout,
                metrics: &context.metrics,
            };
            match attempt.send(&mut line, may_connect, may_send).await {
                Ok(connection) => AttemptEnd::Accepted(connection),
                Err(outcome) => AttemptEnd::NotAccepted(outcome),
            }
        };
        let permit_expired = async { AttemptEnd::NotAccepted(permit.expired(&self.commands).await) };
        let client_left = async {
            let Err(reason) = watch_client::<Infallible>(stream, buffer, open_line.established).await;
            AttemptEnd::SessionOver(reason)
        };
        let answer_deadline_passed = async {
            let Err(reason) = context.shutdown.answer_deadline_passed::<Infallible>().await;
            AttemptEnd::SessionOver(reason)
        };
        // The futures are polled in this order, and the first one that is ready wins. `permit_expired` reads the
        // commands that bring the send deadline forward, and `client_left` detects that the client has disconnected:
        // both are polled before `send`, which may send the first byte. `send` precedes the shutdown's answer deadline,
        // so that an acceptance that arrives by the deadline counts.
        let end = permit_expired.or(client_left).or(send).or(answer_deadline_passed).await;
        let never_ran = matches!(&end, AttemptEnd::NotAccepted(outcome) if outcome.proves_not_run());
        session.record_attempt_ended(never_ran);
        match end {
            AttemptEnd::NotAccepted(AttemptOutcome::NotSent) if !is_client_waiting() => {
                let Err(reason) = watch_client::<Infallible>(stream, buffer, open_line.established).await;
                AttemptEnd::SessionOver(reason)
            }
            end => end,
        }
    }

    async fn report_attempt(&self, attempt: AttemptNumber, outcome: AttemptOutcome) {
        let ended = DecisionEvent::AttemptEnded {
            session: self.request.number(),
            attempt,
            outcome,
            session_over: false,
        };
        self.context.queue.send(ended).await;
    }

    /// Reports that an endpoint has accepted the session, and relays it.
    async fn establish(self, command: &ConnectCommand, connection: Connection) -> EndReason {
        let Self { context, client, request, commands, .. } = self;
        context.metrics.record_answer(request.listener, FinalAnswer::Accepted);
        let (session, attempt) = (request.number(), command.attempt);
        context.queue.send(DecisionEvent::Established { session, attempt }).await;
        let established = RelayedSession::new(session, attempt, command.endpoint, request.line);
        relay::run(context, established, client, connection, &commands).await
    }

    async fn reject(&mut self, retry_after: TickDuration) -> EndReason {
        let reason = EndReason::Rejected;
        self.record_rejection(reason);
        match retry_after.as_millis_ceil() {
            0 => self.client.answer(BUSY).await,
            milliseconds => self.client.answer(&format!("BUSY {milliseconds}\r\n")).await,
        }
        reason
    }

    async fn fail(&mut self) -> EndReason {
        self.context.metrics.record_answer(self.request.listener, FinalAnswer::Failed);
        self.client.answer(ERR).await;
        EndReason::Failed
    }

    /// Ends the session before the decision task has decided on an answer.
    async fn abandon(&mut self, reason: EndReason) -> EndReason {
        self.context.queue.send(DecisionEvent::ClientLeft { session: self.request.number() }).await;
        match reason {
            EndReason::NoDescriptors | EndReason::Shutdown if !self.request.session.may_have_run() => {
                self.record_rejection(reason);
                self.client.answer(BUSY).await;
            }
            EndReason::ProtocolError | EndReason::NoDescriptors | EndReason::Shutdown => {
                self.fail().await;
            }
            _ => {}
        }
        reason
    }

    fn record_rejection(&self, reason: EndReason) {
        let metrics = &self.context.metrics;
        metrics.record_answer(self.request.listener, FinalAnswer::Rejected);
        if !self.has_started_attempt.get() {
            metrics.record_rejection_without_attempt(reason, Instant::now());
        }
    }
}
