//! A session that was established before this process started. Attempts are made only at the endpoint that its first
//! line names, without a balancing decision.
use std::io::IoSlice;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use larklink_balancer::SessionRequest;

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
    let deadline = Instant::now() + TOTAL_TIMEOUT;
    let (session, endpoint) = (request.session, endpoint_id(endpoint_name));
    let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
    context.queue.send(DecisionEvent::FindEndpoint { session, endpoint, commands: sender }).await;
    let has_descriptor = client.permit.try_acquire_upstream();
    let Connection { stream, buffer } = &mut client.connection;
    let stream = &*stream;
    let is_client_waiting = || is_waiting(stream.get_ref(), true);
    let connected = connect(context, request.line, &commands, has_descriptor, deadline, is_client_waiting);
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

/// Makes attempts until one is accepted, or may have run the session although it was not accepted.
async fn connect(
    context: &SessionContext,
    line: &[u8],
    commands: &Receiver<SessionCommand>,
    has_descriptor: bool,
    deadline: Instant,
    is_client_waiting: impl Fn() -> bool,
) -> Result<Connection, EndReason> {
    let Ok(SessionCommand::Connect { address: Some(address), .. }) = commands.recv().await else {
        return Err(EndReason::Failed);
    };
    if !has_descriptor {
        return Err(EndReason::NoDescriptors);
    }
    context.limiter.evictions_done().await;
    let connect_timeout = context.connect_timeout;
    let attempt = Attempt { address, deadline, connect_timeout, metrics: &context.metrics };
    loop {
        let mut slices = [IoSlice::new(line)];
        match attempt.send(&mut slices, &is_client_waiting, &is_client_waiting).await {
            Ok(connection) => return Ok(connection),
            // The session may have run: another attempt could run it twice.
            Err(outcome) if !outcome.proves_not_run() || Instant::now() >= deadline => {
                return Err(EndReason::Failed);
            }
            Err(_) => _ = Timer::after(RETRY_INTERVAL).await,
        }
    }
}
