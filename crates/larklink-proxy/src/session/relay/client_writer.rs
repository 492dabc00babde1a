//! Writes to the client, and knows how long the client keeps it waiting.
use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;

use crate::log::EndReason;
use crate::session::client::WRITE_TIMEOUT;
use crate::timeout::with_timeout;

/// How long a client that has no message under way may read nothing of what is sent to it. Clients send something every
/// 2 s, which brings them under the shorter limit of `silence`: this one has left out two messages.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// How often an ongoing write is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The writing side of a client's connection.
pub(super) struct ClientWriter<'a> {
    pub(super) stream: &'a Async<TcpStream>,
    /// While a write is under way: when it began, or last made progress.
    progress_at: Cell<Option<Instant>>,
    /// When the client last took bytes that it had kept waiting: the endpoint was not read until then.
    blocked_until: Cell<Option<Instant>>,
    /// Bytes at the start of the endpoint's buffer that the client has got already.
    written: Cell<usize>,
}

impl<'a> ClientWriter<'a> {
    pub(super) fn new(stream: &'a Async<TcpStream>) -> Self {
        Self {
            stream,
            progress_at: Cell::default(),
            blocked_until: Cell::default(),
            written: Cell::default(),
        }
    }

    /// While a write is under way: when it began, or last made progress.
    pub(super) fn progress_at(&self) -> Option<Instant> {
        self.progress_at.get()
    }

    /// When the client last took bytes that it had kept waiting.
    pub(super) fn blocked_until(&self) -> Option<Instant> {
        self.blocked_until.get()
    }

    /// Bytes at the start of the endpoint's buffer that the client has got already.
    pub(super) fn written(&self) -> usize {
        self.written.get()
    }

    /// Starts again after the written bytes were taken out of the endpoint's buffer.
    pub(super) fn reset_written(&self) {
        self.written.set(0);
    }

    /// Writes the bytes at the start of the endpoint's buffer, save those that were written already. Cancel safe.
    ///
    /// # Errors
    /// The reason for the session's end.
    pub(super) async fn write(&self, bytes: &[u8]) -> Result<(), EndReason> {
        let mut bytes = &bytes[self.written.get().min(bytes.len())..];
        if bytes.is_empty() {
            return Ok(());
        }
        // Mostly the client takes all at once, and has kept nobody waiting.
        match self.stream.get_ref().write(bytes) {
            Ok(written) => {
                bytes = &bytes[written..];
                self.add_written(written);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return Err(EndReason::ClientReset),
        }
        let mut stream = self.stream;
        while !bytes.is_empty() {
            self.progress_at.set(Some(Instant::now()));
            let written = with_timeout(PROGRESS_TIMEOUT, stream.write(bytes)).await.map_err(|error| {
                match error.kind() {
                    ErrorKind::TimedOut => EndReason::ClientWriteTimeout,
                    _ => EndReason::ClientReset,
                }
            })?;
            bytes = &bytes[written..];
            self.add_written(written);
            self.blocked_until.set(Some(Instant::now()));
        }
        self.progress_at.set(None);
        Ok(())
    }

    fn add_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes);
    }

    /// Waits until no write is under way; false if that takes too long.
    pub(super) async fn wait_until_idle(&self) -> bool {
        let started = Instant::now();
        while self.progress_at.get().is_some() {
            if started.elapsed() >= WRITE_TIMEOUT {
                return false;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        true
    }

    /// Writes a line of the proxy's own between two lines of the endpoint; whether the client took it in time.
    pub(super) async fn write_own_line(&self, line: &[u8], started: Instant) -> bool {
        self.progress_at.set(Some(started));
        let mut stream = self.stream;
        with_timeout(WRITE_TIMEOUT, stream.write_all(line)).await.is_ok()
    }
}
