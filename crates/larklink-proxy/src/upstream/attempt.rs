//! Connections to servers: the dial of a session, and how it ended.
use std::io::{ErrorKind, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use larklink_balancer::AttemptOutcome;

use crate::connection::{Connection, write_gathered};
use crate::metrics::Metrics;
use crate::protocol::{ServerMessage, parse_server_message};
use crate::timeout::with_timeout;

/// Errors that are a want of ours and say nothing of the server: ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL and
/// ENOBUFS.
const OURS: [i32; 5] = [12, 23, 24, 99, 105];

/// Makes a connection; the error says how the dial ended.
pub async fn connect(server: SocketAddr, limit: Duration) -> Result<Connection, AttemptOutcome> {
    match with_timeout(limit, Async::<TcpStream>::connect(server)).await {
        Ok(stream) => Ok(Connection::new(stream)),
        Err(e) if e.raw_os_error().is_some_and(|code| OURS.contains(&code)) => Err(AttemptOutcome::NotSent),
        Err(_) => Err(AttemptOutcome::ConnectFailed),
    }
}

/// Dials a server with the head of a session. The link that is returned stands, with the server's `UP` line
/// first in its inbox; else how the dial ended. Its connection is closed then, so that another dial may
/// follow at once.
///
/// An attempt begins with its connection, and making that takes time, in which what the order rested on may end:
/// `may_begin` is asked in the moment before the connection and `may_send` in that of the first byte. A dial that may
/// not go out any more has not run.
pub async fn send_attempt(
    server: SocketAddr,
    head: &mut [IoSlice<'_>],
    until: Instant,
    connect_timeout: Duration,
    may_begin: impl FnOnce() -> bool,
    may_send: impl FnOnce() -> bool,
    figures: &Metrics,
) -> Result<Connection, AttemptOutcome> {
    if !may_begin() {
        return Err(AttemptOutcome::NotSent);
    }
    figures.record_attempt_started(Instant::now());
    let left = until.saturating_duration_since(Instant::now());
    let mut link = connect(server, connect_timeout.min(left)).await?;
    if !may_send() {
        return Err(AttemptOutcome::NotSent);
    }
    let left = until.saturating_duration_since(Instant::now());
    // Until its last byte is written, the server cannot have run it.
    with_timeout(left, write_gathered(&link.stream, head))
        .await
        .map_err(|_| AttemptOutcome::ConnectFailed)?;
    figures.record_attempt_sent();
    let left = until.saturating_duration_since(Instant::now());
    let line = match with_timeout(left, link.read_line()).await {
        Ok(n) => &link.buffer.bytes()[..n],
        Err(e) if e.kind() == ErrorKind::TimedOut => return Err(AttemptOutcome::TimedOut),
        Err(e) if e.kind() == ErrorKind::InvalidData => return Err(AttemptOutcome::Failed),
        Err(_) => return Err(AttemptOutcome::Reset),
    };
    match parse_server_message(line).0 {
        ServerMessage::Up => Ok(link),
        ServerMessage::Busy => Err(AttemptOutcome::AtCapacity),
        ServerMessage::Move => Err(AttemptOutcome::Cancelled),
        ServerMessage::Bye => Err(AttemptOutcome::Succeeded),
        other => {
            if let ServerMessage::Other(text) = other {
                tracing::warn!("server {server} answered {text:?}");
            }
            Err(AttemptOutcome::Failed)
        }
    }
}
