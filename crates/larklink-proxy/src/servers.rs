//! Connections to servers: the dial of a session, and how it ended.
use std::future::Future;
use std::io::{ErrorKind, IoSlice, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use larklink_balancer::types::Outcome;

use crate::figures::Figures;
use crate::lines::{Inbox, Reply, word};

/// Errors that are a want of ours and say nothing of the server: ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL and
/// ENOBUFS.
const OURS: [i32; 5] = [12, 23, 24, 99, 105];

/// A connection and what was read from it.
pub struct Link {
    pub stream: Async<TcpStream>,
    pub inbox: Inbox,
}

impl Link {
    pub fn new(stream: Async<TcpStream>) -> Self {
        // A line that waits for another's receipt is a line late.
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, inbox: Inbox::default() }
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

impl Link {
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
pub async fn read(stream: &Async<TcpStream>, inbox: &mut Inbox) -> Result<usize> {
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
pub async fn connect(server: SocketAddr, limit: Duration) -> std::result::Result<Link, Outcome> {
    match within(limit, Async::<TcpStream>::connect(server)).await {
        Ok(stream) => Ok(Link::new(stream)),
        Err(e) if e.raw_os_error().is_some_and(|code| OURS.contains(&code)) => Err(Outcome::Unsent),
        Err(_) => Err(Outcome::Unmade),
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
    figures: &Figures,
) -> std::result::Result<Link, Outcome> {
    if !may_begin() {
        return Err(Outcome::Unsent);
    }
    figures.dialled(Instant::now());
    let left = until.saturating_duration_since(Instant::now());
    let mut link = connect(server, connect_timeout.min(left)).await?;
    if !may_send() {
        return Err(Outcome::Unsent);
    }
    let left = until.saturating_duration_since(Instant::now());
    // Until its last byte is written, the server cannot have run it.
    within(left, write_gathered(&link.stream, head)).await.map_err(|_| Outcome::Unmade)?;
    figures.tried();
    let left = until.saturating_duration_since(Instant::now());
    let line = match within(left, link.line()).await {
        Ok(n) => &link.inbox.bytes()[..n],
        Err(e) if e.kind() == ErrorKind::TimedOut => return Err(Outcome::Late),
        Err(e) if e.kind() == ErrorKind::InvalidData => return Err(Outcome::Error),
        Err(_) => return Err(Outcome::Broken),
    };
    match word(line).0 {
        Reply::Up => Ok(link),
        Reply::Busy => Err(Outcome::Full),
        Reply::Move => Err(Outcome::CalledOff),
        Reply::Bye => Err(Outcome::Accepted),
        other => {
            if let Reply::Other(text) = other {
                tracing::warn!("server {server} answered {text:?}");
            }
            Err(Outcome::Error)
        }
    }
}
