//! Handles client connections: reads the first line, validates it, and runs the session that it requests.
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
use super::relay::{self, EstablishedAt};
use super::request::Request;
use super::shutdown::LAST_ANSWER_MARGIN;
use crate::connection::Connection;
use crate::events::{COMMAND_CAPACITY, DecisionEvent};
use crate::handover::messages::EstablishedSession;
use crate::handover::predecessor::HandedOverSession;
use crate::limiter::ConnectionPermit;
use crate::log::EndReason;
use crate::metrics::FinalAnswer;
use crate::protocol::{LineBuffer, OpenLine, OpenLineError, parse_open_line};
use crate::timeout::with_timeout;

/// How long a client may take for its first line, or for the next one after a health check. One that sends none must have
/// been closed within 3 s.
const OPEN_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// The line that checks the proxy's health, and its answer.
const PING: &[u8] = b"PING\r\n";
const PONG: &[u8] = b"PONG\r\n";

/// How a connection ended.
struct ConnectionEnd {
    /// The number of its session, if it requested one.
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
    #[error("no such listener")]
    UnknownListener,
    #[error("the id of another that is open")]
    SessionIdInUse,
}

/// Handles one connection to its end, and logs that.
pub(crate) async fn handle(context: Rc<SessionContext>, stream: Async<TcpStream>, permit: ConnectionPermit) {
    let started = Instant::now();
    let mut client = Client { connection: Connection::new(stream), permit, received_at: started };
    handle_client(&context, &mut client).await.log(started);
}

/// Continues an established session that was handed over by the predecessor, and logs its end.
pub(crate) async fn resume(context: Rc<SessionContext>, handed_over: HandedOverSession) {
    let started = Instant::now();
    let HandedOverSession { session, client, server } = handed_over;
    let client = restore_connection(client, &session.to_server);
    let server = restore_connection(server, &session.to_client);
    let (Some(connection), Some(server)) = (client, server) else {
        tracing::warn!("handed-over session cannot be continued");
        return;
    };
    let mut client = Client { connection, permit: context.limiter.adopt(), received_at: started };
    resume_session(&context, &session, &mut client, server).await.log(started);
}

/// Rejects a connection for which there is no descriptor. It has run nowhere: a retry is harmless.
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
    let request = Request { session: open_session.number, line: &line, open_line, listener };
    let reason = connect::run(context, client, &request).await;
    ConnectionEnd { session: Some(request.session), reason }
}

/// Parses a first line, and finds its listener.
fn validate<'a>(context: &SessionContext, line: &'a [u8]) -> Result<(OpenLine<'a>, usize), FirstLineError> {
    let open_line = parse_open_line(line)?;
    let listener = find_listener(context, &open_line).ok_or(FirstLineError::UnknownListener)?;
    if !context.sessions.is_id_free(&open_line) {
        return Err(FirstLineError::SessionIdInUse);
    }
    Ok((open_line, listener))
}

fn find_listener(context: &SessionContext, open_line: &OpenLine<'_>) -> Option<usize> {
    context.listeners.iter().position(|name| name == open_line.listener)
}

/// Waits for the first line of a session.
async fn receive_open_line(context: &SessionContext, client: &mut Client) -> Result<Vec<u8>, EndReason> {
    let evicted = until_evicted(&client.permit);
    let accepting_closed = async {
        let _ = context.accepting_closed.recv().await;
        Timer::after(LAST_ANSWER_MARGIN).await;
        Err(EndReason::Shutdown)
    };
    let received = read_open_line(client).or(evicted).or(accepting_closed).await;
    if has_late_line(&received, &mut client.connection) && client.permit.cancel_eviction() {
        let evicted = until_evicted(&client.permit);
        let last_answer_due = context.shutdown.last_answer_due();
        return read_open_line(client).or(evicted).or(last_answer_due).await;
    }
    received
}

/// Whether the rest of a line is read and answered though the wait for it has ended. A line that has come by now is
/// answered like any other: nobody sends it again. So is one of which a shutdown finds a part, as long as the rest may
/// still come.
fn has_late_line(received: &Result<Vec<u8>, EndReason>, connection: &mut Connection) -> bool {
    // This reads what the kernel has received, which happens however the wait ended.
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

/// Answers health checks until another line comes.
async fn read_open_line(client: &mut Client) -> Result<Vec<u8>, EndReason> {
    let mut has_pinged = false;
    loop {
        match with_timeout(OPEN_LINE_TIMEOUT, read_line_or_pong(client)).await {
            Ok(Some(line)) => return Ok(line),
            Ok(None) => {
                has_pinged = true;
                // A client that pings without pause must not keep other tasks waiting.
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

/// Reads a line and returns it; none if it was a health check, which is answered.
async fn read_line_or_pong(client: &mut Client) -> std::io::Result<Option<Vec<u8>>> {
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

/// Ends a connection that requested no session, with an answer where one is due.
async fn close_without_session(client: &mut Client, reason: EndReason) {
    match reason {
        EndReason::NoDescriptors => reject_immediately(&client.connection.stream),
        // The rest of its line may be on its way.
        EndReason::Shutdown if client.connection.has_input() => client.answer(BUSY).await,
        EndReason::ProtocolError | EndReason::OpenLineTimeout => client.answer(ERR).await,
        // Gracefully: what comes at this moment must not be met by a reset.
        _ => client.close().await,
    }
}

/// A handed-over connection with the bytes that were read from it; none if it cannot be used.
fn restore_connection(stream: TcpStream, bytes: &[u8]) -> Option<Connection> {
    let buffer = LineBuffer::with_bytes(bytes.to_vec())?;
    Some(Connection { buffer, stream: Async::new(stream).ok()? })
}

async fn resume_session(
    context: &SessionContext,
    handed_over: &EstablishedSession,
    client: &mut Client,
    server: Connection,
) -> ConnectionEnd {
    let line = handed_over.open_line.as_bytes();
    let parsed = parse_open_line(line).ok().and_then(|open_line| {
        let listener = find_listener(context, &open_line)?;
        Some((open_line, listener))
    });
    let Some((open_line, listener)) = parsed else {
        tracing::warn!("handed-over session has no valid first line");
        return ConnectionEnd::without_session(EndReason::ProtocolError);
    };
    let open_session = context.sessions.open(&open_line);
    let _in_progress = context.metrics.session_started();
    let request = Request { session: open_session.number, line, open_line, listener };
    let (session, endpoint) = (request.session, handed_over.endpoint);
    let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
    let find = DecisionEvent::FindEndpoint { session, endpoint, commands: sender };
    context.queue.send(find).await;
    let adopt = DecisionEvent::AdoptEstablished { session, request: request.to_session_request(), endpoint };
    context.queue.send(adopt).await;
    if let Some(load) = handed_over.load {
        let observation = Observation::Load(load);
        context.queue.send(DecisionEvent::Observed { session, attempt: 0, observation }).await;
    }
    let established = EstablishedAt {
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
