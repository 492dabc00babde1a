//! Connections to servers: the dial of a session, and how it ended.
use std::future::Future;
use std::io::{ErrorKind, IoSlice, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use larklink_balancer::AttemptOutcome;

use crate::metrics::Metrics;
use crate::protocol::{LineBuffer, ServerMessage, word};

/// Errors that are a want of ours and say nothing of the server: ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL and
/// ENOBUFS.
const OURS: [i32; 5] = [12, 23, 24, 99, 105];

/// A connection and what was read from it.
pub struct Connection {
    pub stream: Async<TcpStream>,
    pub inbox: LineBuffer,
}

impl Connection {
    pub fn new(stream: Async<TcpStream>) -> Self {
        // A line that waits for another's receipt is a line late.
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, inbox: LineBuffer::default() }
    }

    /// Reads until a whole line stands first: its length.
    pub async fn line(&mut self) -> Result<usize> {
        loop {
            if let Some(n) = self.inbox.line() {
                return Ok(n);
            }
            if self.inbox.is_full() {
                return Err(ErrorKind::InvalidData.into());
            }
            if read(&self.stream, &mut self.inbox).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

impl Connection {
    /// Whether a whole line stands first, with all that the kernel has by now.
    pub fn has_line(&mut self) -> bool {
        while self.inbox.line().is_none() && !self.inbox.is_full() {
            if !matches!(self.inbox.fill(|buf| self.stream.get_ref().read(buf)), Ok(n) if n > 0) {
                break;
            }
        }
        self.inbox.line().is_some()
    }

    /// Whether anything has been said that nobody has taken yet.
    pub fn has_some(&self) -> bool {
        !self.inbox.bytes().is_empty()
    }
}

/// Reads once, when there is something; 0 at the end.
pub async fn read(stream: &Async<TcpStream>, inbox: &mut LineBuffer) -> Result<usize> {
    loop {
        stream.readable().await?;
        match inbox.fill(|buf| stream.get_ref().read(buf)) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            done => return done,
        }
    }
}

/// The result in time, or `TimedOut`.
pub async fn within<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    work.or(async {
        Timer::after(limit).await;
        Err(ErrorKind::TimedOut.into())
    })
    .await
}

/// Writes all slices, in one go where the socket takes them.
pub async fn write_gathered(stream: &Async<TcpStream>, mut slices: &mut [IoSlice<'_>]) -> Result<()> {
    while slices.iter().any(|s| !s.is_empty()) {
        match stream.write_with(|mut s| s.write_vectored(slices)).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            n => IoSlice::advance_slices(&mut slices, n),
        }
    }
    Ok(())
}

/// Makes a connection; the error says how the dial ended.
pub async fn connect(server: SocketAddr, limit: Duration) -> std::result::Result<Connection, AttemptOutcome> {
    match within(limit, Async::<TcpStream>::connect(server)).await {
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
pub async fn dial(
    server: SocketAddr,
    head: &mut [IoSlice<'_>],
    until: Instant,
    connect_timeout: Duration,
    may_begin: impl FnOnce() -> bool,
    may_send: impl FnOnce() -> bool,
    figures: &Metrics,
) -> std::result::Result<Connection, AttemptOutcome> {
    if !may_begin() {
        return Err(AttemptOutcome::NotSent);
    }
    figures.dialled(Instant::now());
    let left = until.saturating_duration_since(Instant::now());
    let mut link = connect(server, connect_timeout.min(left)).await?;
    if !may_send() {
        return Err(AttemptOutcome::NotSent);
    }
    let left = until.saturating_duration_since(Instant::now());
    // Until its last byte is written, the server cannot have run it.
    within(left, write_gathered(&link.stream, head)).await.map_err(|_| AttemptOutcome::ConnectFailed)?;
    figures.tried();
    let left = until.saturating_duration_since(Instant::now());
    let line = match within(left, link.line()).await {
        Ok(n) => &link.inbox.bytes()[..n],
        Err(e) if e.kind() == ErrorKind::TimedOut => return Err(AttemptOutcome::TimedOut),
        Err(e) if e.kind() == ErrorKind::InvalidData => return Err(AttemptOutcome::Failed),
        Err(_) => return Err(AttemptOutcome::Reset),
    };
    match word(line).0 {
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
