//! A session that was established before this process started. Attempts are made only at the endpoint that its first
//! line names, without a balancing decision.
use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use larklink_balancer::{AttemptOutcome, SessionRequest};
use larklink_engine::engine::{EndpointId, SessionId};

use super::client::{Client, ERR};
use super::client_watch::{is_waiting, watch_client};
use super::context::SessionContext;
use super::relay::{self, RelayedSession};
use super::request::Request;
use crate::connection::Connection;
use crate::endpoint_list::endpoint_id;
use crate::events::{COMMAND_CAPACITY, DecisionEvent, SessionCommand};
use crate::log::EndReason;
use crate::metrics::FinalAnswer;
use crate::upstream::attempt::Attempt;

/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The limit on the total time of all attempts.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(40);

/// Runs a session at the named endpoint until it ends.
pub(super) async fn run(
    context: &SessionContext,
    client: &mut Client,
    request: &Request<'_>,
    session_request: SessionRequest,
    endpoint_name: &str,
) -> EndReason {
    let (session, endpoint) = (request.number(), endpoint_id(endpoint_name));
    let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
    let lookup = EndpointLookup { context, session, endpoint, sender: &sender, commands: &commands };
    let has_descriptor = client.permit.try_acquire_upstream();
    let Connection { stream, buffer } = &mut client.connection;
    let stream = &*stream;
    let is_client_waiting = || is_waiting(stream.get_ref(), true);
    let connected = connect(&lookup, request, has_descriptor, is_client_waiting);
    let client_left = watch_client(stream, buffer, true);
    match connected.or(client_left).or(context.shutdown.answer_deadline_passed()).await {
        Ok(connection) => {
            context.metrics.record_answer(request.listener, FinalAnswer::Accepted);
            let adopt = DecisionEvent::AdoptEstablished { session, request: session_request, endpoint };
            context.queue.send(adopt).await;
            let established = RelayedSession::new(session, 0, endpoint, request.line);
            relay::run(context, established, client, connection, &commands).await
        }
        Err(reason) => {
            context.queue.send(DecisionEvent::ClientLeft { session }).await;
            if reason != EndReason::ClientClosed {
                context.metrics.record_answer(request.listener, FinalAnswer::Failed);
                client.answer(ERR).await;
            }
            reason
        }
    }
}

/// Asks the decision task for the current address of a session's endpoint.
struct EndpointLookup<'a> {
    context: &'a SessionContext,
    session: SessionId,
    endpoint: EndpointId,
    /// The session's command channel, which the decision task keeps from the first request on.
    sender: &'a Sender<SessionCommand>,
    commands: &'a Receiver<SessionCommand>,
}

impl EndpointLookup<'_> {
    /// Returns the address; `None` if the endpoint has not been listed yet.
    async fn address(&self) -> Option<SocketAddr> {
        let &Self { session, endpoint, .. } = self;
        let find = DecisionEvent::FindEndpoint { session, endpoint, commands: self.sender.clone() };
        self.context.queue.send(find).await;
        match self.commands.recv().await {
            Ok(SessionCommand::Connect { address, .. }) => address,
            _ => None,
        }
    }
}

/// Makes attempts until one is accepted, or may have run the session although it was not accepted. Looks up the address
/// before each attempt: the endpoint list in use at the start may lack the endpoint, or have an old address of it.
async fn connect(
    lookup: &EndpointLookup<'_>,
    request: &Request<'_>,
    has_descriptor: bool,
    is_client_waiting: impl Fn() -> bool,
) -> Result<Connection, EndReason> {
    let SessionContext { connect_timeout, metrics, limiter, .. } = lookup.context;
    let deadline = Instant::now() + TOTAL_TIMEOUT;
    if !has_descriptor {
        return Err(EndReason::NoDescriptors);
    }
    limiter.evictions_done().await;
    let may_send = || {
        let sends = is_client_waiting();
        if sends {
            request.session.record_sent();
        }
        sends
    };
    loop {
        let outcome = match lookup.address().await {
            Some(address) => {
                let attempt = Attempt { address, deadline, connect_timeout: *connect_timeout, metrics };
                let mut slices = [IoSlice::new(request.line)];
                match attempt.send(&mut slices, &is_client_waiting, &may_send).await {
                    Ok(connection) => return Ok(connection),
                    Err(outcome) => outcome,
                }
            }
            None => AttemptOutcome::NotSent,
        };
        request.session.record_attempt_ended(outcome.proves_not_run());
        // The session may have run: another attempt could run it twice.
        if !outcome.proves_not_run() || Instant::now() >= deadline {
            return Err(EndReason::Failed);
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}
