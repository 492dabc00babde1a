//! Writes to the client, and tracks how long the client blocks writes.
use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;

use crate::log::EndReason;
use crate::session::client::WRITE_TIMEOUT;
use crate::timeout::with_timeout;

/// How long a client without an unanswered message may block a write. Clients send a message every 2 s, after which the
/// shorter timeout in `silence` applies to them: a client that reaches this one has skipped two messages.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// How often `wait_until_idle` checks a pending write.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The write side of a client's connection.
pub(super) struct ClientWriter<'a> {
    pub(super) stream: &'a Async<TcpStream>,
    /// While a write is pending: when it began or last made progress.
    progress_at: Cell<Option<Instant>>,
    /// When a blocked write last made progress. The endpoint's connection was not read until then.
    blocked_until: Cell<Option<Instant>>,
    /// How many bytes at the start of the endpoint's buffer were already written.
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

    /// While a write is pending: when it began or last made progress.
    pub(super) fn progress_at(&self) -> Option<Instant> {
        self.progress_at.get()
    }

    /// When a blocked write last made progress.
    pub(super) fn blocked_until(&self) -> Option<Instant> {
        self.blocked_until.get()
    }

    /// How many bytes at the start of the endpoint's buffer were already written.
    pub(super) fn written(&self) -> usize {
        self.written.get()
    }

    /// Resets the count after the written bytes were consumed from the endpoint's buffer.
    pub(super) fn reset_written(&self) {
        self.written.set(0);
    }

    /// Writes the bytes at the start of the endpoint's buffer, except those that were already written. Cancel safe.
    ///
    /// # Errors
    /// The reason for the session's end.
    pub(super) async fn write(&self, bytes: &[u8]) -> Result<(), EndReason> {
        let mut bytes = &bytes[self.written.get().min(bytes.len())..];
        if bytes.is_empty() {
            return Ok(());
        }
        // Usually the socket accepts all bytes at once: such a write did not block.
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

    /// Waits until no write is pending; returns false if that takes too long.
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

    /// Writes a line that the proxy itself sends, between two lines of the endpoint. Returns whether the client read it
    /// in time.
    pub(super) async fn write_proxy_line(&self, line: &[u8], started: Instant) -> bool {
        self.progress_at.set(Some(started));
        let mut stream = self.stream;
        with_timeout(WRITE_TIMEOUT, stream.write_all(line)).await.is_ok()
    }
}
