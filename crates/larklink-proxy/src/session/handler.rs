//! Handles client connections: reads and validates the first line, and runs the session that it requests.
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use larklink_balancer::Observation;
use larklink_engine::engine::SessionId;
use thiserror::Error;

use super::client::{BUSY, Client, ERR, reject_immediately};
use super::connect;
use super::context::SessionContext;
use super::relay::{self, RelayedSession};
use super::request::Request;
use super::shutdown::ANSWER_MARGIN;
use crate::connection::Connection;
use crate::events::{COMMAND_CAPACITY, DecisionEvent};
use crate::handover::messages::EstablishedSession;
use crate::handover::predecessor::HandedOverSession;
use crate::limiter::ConnectionPermit;
use crate::log::EndReason;
use crate::metrics::FinalAnswer;
use crate::protocol::{LineBuffer, OpenLine, OpenLineError, parse_open_line};
use crate::session_registry::{OpenSession, SessionIdError};
use crate::timeout::with_timeout;

/// How long a client may take to send its first line, or the next one after a health check. A connection on which no
/// line is sent must be closed within 3 s.
const OPEN_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// A health check of the proxy.
const PING: &[u8] = b"PING\r\n";
/// The answer to a health check.
const PONG: &[u8] = b"PONG\r\n";

/// How a connection ended.
struct ConnectionEnd {
    /// The number of the session that it requested, if any.
    session: Option<SessionId>,
    reason: EndReason,
}

impl ConnectionEnd {
    fn without_session(reason: EndReason) -> Self {
        Self { session: None, reason }
    }

    fn log(&self, started: Instant) {
        let session = self.session.map(|number| number.to_string()).unwrap_or_default();
        let duration_ms = started.elapsed().as_millis() as u64;
        tracing::info!(session, reason = %self.reason, duration_ms, "connection ended");
    }
}

/// Why a connection's first line opens no session.
#[derive(Debug, Error)]
enum FirstLineError {
    #[error(transparent)]
    Malformed(#[from] OpenLineError),
    #[error("unknown listener")]
    UnknownListener,
    #[error(transparent)]
    SessionId(#[from] SessionIdError),
}

/// Handles a client connection until it ends, and logs the end.
pub(crate) async fn handle(context: Rc<SessionContext>, stream: Async<TcpStream>, permit: ConnectionPermit) {
    let started = Instant::now();
    let mut client = Client { connection: Connection::new(stream), permit, received_at: started };
    handle_client(&context, &mut client).await.log(started);
}

/// Runs an established session that the predecessor handed over, and logs its end.
pub(crate) async fn resume(context: Rc<SessionContext>, handed_over: HandedOverSession) {
    let started = Instant::now();
    let HandedOverSession { session, open_session, client, server } = handed_over;
    let client = restore_connection(client, &session.to_server);
    let server = restore_connection(server, &session.to_client);
    let (Some(connection), Some(server)) = (client, server) else {
        tracing::warn!("handed-over session cannot be continued");
        return;
    };
    let mut client = Client { connection, permit: context.limiter.adopt(), received_at: started };
    resume_session(&context, &session, open_session, &mut client, server).await.log(started);
}

/// Rejects a connection for which no descriptor is available. Its session has not run anywhere, so a retry is safe.
pub(crate) fn reject_connection(stream: &Async<TcpStream>) {
    let started = Instant::now();
    reject_immediately(stream);
    ConnectionEnd::without_session(EndReason::NoDescriptors).log(started);
}

async fn handle_client(context: &SessionContext, client: &mut Client) -> ConnectionEnd {
    let line = match receive_open_line(context, client).await {
        Ok(line) => line,
        Err(reason) => {
            close_without_session(client, reason).await;
            return ConnectionEnd::without_session(reason);
        }
    };
    let (open_line, listener) = match validate(context, &line) {
        Ok(valid) => valid,
        Err(error) => {
            tracing::warn!(%error, "first line rejected");
            client.answer(ERR).await;
            return ConnectionEnd::without_session(EndReason::ProtocolError);
        }
    };
    if !client.permit.cancel_eviction() || !client.permit.start_session() {
        let reason = EndReason::NoDescriptors;
        context.metrics.record_answer(listener, FinalAnswer::Rejected);
        context.metrics.record_rejection_without_attempt(reason, Instant::now());
        reject_immediately(&client.connection.stream);
        return ConnectionEnd::without_session(reason);
    }
    let open_session = context.sessions.open(&open_line);
    let _in_progress = context.metrics.session_started();
    let request = Request { session: &open_session, line: &line, open_line, listener };
    let reason = connect::run(context, client, &request).await;
    ConnectionEnd { session: Some(request.number()), reason }
}

/// Parses a first line and looks up its listener.
fn validate<'a>(context: &SessionContext, line: &'a [u8]) -> Result<(OpenLine<'a>, usize), FirstLineError> {
    let open_line = parse_open_line(line)?;
    let listener = find_listener(context, &open_line).ok_or(FirstLineError::UnknownListener)?;
    context.sessions.check_id(&open_line)?;
    Ok((open_line, listener))
}

fn find_listener(context: &SessionContext, open_line: &OpenLine<'_>) -> Option<usize> {
    context.listeners.iter().position(|name| name == open_line.listener)
}

/// Receives the first line of a session.
async fn receive_open_line(context: &SessionContext, client: &mut Client) -> Result<Vec<u8>, EndReason> {
    let evicted = until_evicted(&client.permit);
    let accepting_stopped = async {
        let _ = context.accepting_stopped.recv().await;
        Timer::after(ANSWER_MARGIN).await;
        Err(EndReason::Shutdown)
    };
    let received = read_open_line(client).or(evicted).or(accepting_stopped).await;
    if has_late_line(&received, &mut client.connection) && client.permit.cancel_eviction() {
        let evicted = until_evicted(&client.permit);
        let answer_deadline_passed = context.shutdown.answer_deadline_passed();
        return read_open_line(client).or(evicted).or(answer_deadline_passed).await;
    }
    received
}

/// Whether to read and answer a line although the wait for it was cut short. A complete line that has arrived by now is
/// answered like any other, because its client does not send it again. At a shutdown a partial line is enough: the rest
/// may still arrive.
fn has_late_line(received: &Result<Vec<u8>, EndReason>, connection: &mut Connection) -> bool {
    // This also reads what the kernel has received, which is needed however the wait ended.
    let has_line = connection.has_complete_line();
    match received {
        Err(EndReason::Shutdown) => has_line || connection.has_input(),
        Err(EndReason::HealthCheck | EndReason::OpenLineTimeout | EndReason::NoDescriptors) => has_line,
        _ => false,
    }
}

fn until_evicted<T>(permit: &ConnectionPermit) -> impl Future<Output = Result<T, EndReason>> + use<T> {
    let evicted = permit.evicted();
    async move {
        evicted.await;
        Err(EndReason::NoDescriptors)
    }
}

/// Reads the first line that is not a health check, and answers health checks until then.
async fn read_open_line(client: &mut Client) -> Result<Vec<u8>, EndReason> {
    let mut has_pinged = false;
    loop {
        match with_timeout(OPEN_LINE_TIMEOUT, read_line_or_answer_ping(client)).await {
            Ok(Some(line)) => return Ok(line),
            Ok(None) => {
                has_pinged = true;
                // Yield, so that a client that sends health checks without pause does not starve other tasks.
                future::yield_now().await;
            }
            Err(error) => {
                return Err(match error.kind() {
                    ErrorKind::InvalidData => EndReason::ProtocolError,
                    _ if has_pinged && !client.connection.has_input() => EndReason::HealthCheck,
                    ErrorKind::TimedOut => EndReason::OpenLineTimeout,
                    _ => EndReason::ClientClosed,
                });
            }
        }
    }
}

/// Reads a line. A health check is answered, and `None` returned.
async fn read_line_or_answer_ping(client: &mut Client) -> std::io::Result<Option<Vec<u8>>> {
    let length = client.connection.read_line().await?;
    let line = client.connection.buffer.bytes()[..length].to_vec();
    client.connection.buffer.consume(length);
    client.received_at = Instant::now();
    client.permit.record_activity();
    if line != PING {
        return Ok(Some(line));
    }
    client.connection.stream.write_all(PONG).await?;
    Ok(None)
}

/// Closes a connection that requested no session, after an answer if the reason calls for one.
async fn close_without_session(client: &mut Client, reason: EndReason) {
    match reason {
        EndReason::NoDescriptors => reject_immediately(&client.connection.stream),
        // The rest of its first line may be in transit.
        EndReason::Shutdown if client.connection.has_input() => client.answer(BUSY).await,
        EndReason::ProtocolError | EndReason::OpenLineTimeout => client.answer(ERR).await,
        // Closed gracefully: a line that arrives now must not cause a reset.
        _ => client.close().await,
    }
}

/// Restores a handed-over connection with the bytes that were read from it; `None` if that fails.
fn restore_connection(stream: TcpStream, bytes: &[u8]) -> Option<Connection> {
    let buffer = LineBuffer::with_bytes(bytes.to_vec())?;
    Some(Connection { buffer, stream: Async::new(stream).ok()? })
}

async fn resume_session(
    context: &SessionContext,
    handed_over: &EstablishedSession,
    open_session: Option<OpenSession>,
    client: &mut Client,
    server: Connection,
) -> ConnectionEnd {
    let line = handed_over.open_line.as_bytes();
    let parsed = parse_open_line(line).ok().and_then(|open_line| {
        let listener = find_listener(context, &open_line)?;
        Some((open_line, listener))
    });
    let (Some((open_line, listener)), Some(open_session)) = (parsed, open_session) else {
        tracing::warn!("handed-over session has no valid first line");
        return ConnectionEnd::without_session(EndReason::ProtocolError);
    };
    let _in_progress = context.metrics.session_started();
    let request = Request { session: &open_session, line, open_line, listener };
    let (session, endpoint) = (request.number(), handed_over.endpoint);
    let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
    let find = DecisionEvent::FindEndpoint { session, endpoint, commands: sender };
    context.queue.send(find).await;
    let adopt = DecisionEvent::AdoptEstablished { session, request: request.to_session_request(), endpoint };
    context.queue.send(adopt).await;
    if let Some(load) = handed_over.load {
        let observation = Observation::Load(load);
        context.queue.send(DecisionEvent::Observed { session, attempt: 0, observation }).await;
    }
    let established = RelayedSession {
        session,
        attempt: 0,
        endpoint,
        open_line: line,
        unanswered_messages: handed_over.unanswered_messages,
        load: handed_over.load,
    };
    let reason = relay::run(context, established, client, server, &commands).await;
    ConnectionEnd { session: Some(session), reason }
}
