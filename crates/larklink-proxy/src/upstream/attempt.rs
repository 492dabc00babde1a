//! Attempts to establish sessions at endpoints.
use std::io::{ErrorKind, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use larklink_balancer::AttemptOutcome;
use rustix::io::Errno;

use crate::connection::{Connection, write_all_vectored};
use crate::metrics::Metrics;
use crate::protocol::{ServerMessage, parse_server_message};
use crate::timeout::with_timeout;

/// Errors caused by a lack of local resources, which say nothing about the endpoint.
const LOCAL_ERRORS: [Errno; 5] =
    [Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS];

/// Connects to an endpoint.
///
/// # Errors
/// The outcome to report if the connection is not established within the timeout.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, AttemptOutcome> {
    match with_timeout(timeout, Async::<TcpStream>::connect(address)).await {
        Ok(stream) => Ok(Connection::new(stream)),
        Err(e) if is_local(&e) => Err(AttemptOutcome::NotSent),
        Err(_) => Err(AttemptOutcome::ConnectFailed),
    }
}

fn is_local(error: &std::io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| LOCAL_ERRORS.contains(&errno))
}

/// One attempt to establish a session at an endpoint.
pub struct Attempt<'a> {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// When the attempt times out.
    pub deadline: Instant,
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// Where the attempt is counted.
    pub metrics: &'a Metrics,
}

impl Attempt<'_> {
    /// Connects, sends the open line and waits for the endpoint's first message. Returns the connection with the
    /// `UP` line still in its buffer.
    ///
    /// The session's client may disconnect, or the send deadline pass, while the attempt is connecting. `may_connect`
    /// is therefore called immediately before connecting, and `may_send` immediately before the first byte is sent.
    ///
    /// # Errors
    /// The outcome of an attempt that was not accepted; its connection is closed. It is [`AttemptOutcome::NotSent`] if
    /// `may_connect` or `may_send` returned false.
    pub async fn send(
        &self,
        open_line: &mut [IoSlice<'_>],
        may_connect: impl FnOnce() -> bool,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Connection, AttemptOutcome> {
        if !may_connect() {
            return Err(AttemptOutcome::NotSent);
        }
        self.metrics.record_attempt_started(Instant::now());
        let mut connection = connect(self.address, self.connect_timeout.min(self.remaining())).await?;
        if !may_send() {
            return Err(AttemptOutcome::NotSent);
        }
        // `ConnectFailed` is safe to retry: the endpoint cannot run the session before it has received the complete
        // line.
        with_timeout(self.remaining(), write_all_vectored(&connection.stream, open_line))
            .await
            .map_err(|_| AttemptOutcome::ConnectFailed)?;
        self.metrics.record_attempt_sent();
        let length =
            with_timeout(self.remaining(), connection.read_line()).await.map_err(|e| match e.kind() {
                ErrorKind::TimedOut => AttemptOutcome::TimedOut,
                ErrorKind::InvalidData => AttemptOutcome::Failed,
                _ => AttemptOutcome::Reset,
            })?;
        match self.outcome(&connection.buffer.bytes()[..length]) {
            None => Ok(connection),
            Some(outcome) => Err(outcome),
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The outcome indicated by an endpoint's first line; `None` if it accepts the session.
    fn outcome(&self, line: &[u8]) -> Option<AttemptOutcome> {
        match parse_server_message(line).0 {
            ServerMessage::Up => None,
            ServerMessage::Busy => Some(AttemptOutcome::AtCapacity),
            ServerMessage::Move => Some(AttemptOutcome::Cancelled),
            ServerMessage::Bye => Some(AttemptOutcome::Succeeded),
            ServerMessage::Other(text) => {
                tracing::warn!(address = %self.address, line = ?text, "endpoint sent an unexpected line");
                Some(AttemptOutcome::Failed)
            }
            ServerMessage::Err | ServerMessage::Pong | ServerMessage::Load(_) => Some(AttemptOutcome::Failed),
        }
    }
}
