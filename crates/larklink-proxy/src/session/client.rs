//! A client's connection: how it is answered and ended.
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use socket2::SockRef;

use crate::connection::Connection;
use crate::limiter::ConnectionPermit;
use crate::timeout::with_timeout;

/// The answer to a rejected session, without a time to wait.
pub(super) const BUSY: &str = "BUSY\r\n";
/// The answer to a failed session.
pub(super) const ERR: &str = "ERR\r\n";

/// How long a client may take to read an answer.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the other side may take to close a connection that was closed here, or to send more. Closing at once would
/// reset the connection where unread bytes are left, which could destroy the last line sent.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long that may take in total while bytes still come.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that are read and dropped at once.
const DISCARD_LENGTH: usize = 64 << 10;
/// How often that is done at most before a connection without a descriptor is closed.
const MAX_IMMEDIATE_DISCARDS: usize = 16;

/// A client's connection.
pub(super) struct Client {
    /// The connection, and what was read from it.
    pub(super) connection: Connection,
    /// Its descriptors.
    pub(super) permit: ConnectionPermit,
    /// When it was accepted, or its last complete line was read.
    pub(super) received_at: Instant,
}

impl Client {
    /// Sends the final answer and closes the connection.
    pub(super) async fn answer(&mut self, line: &str) {
        self.permit.record_activity();
        let mut stream = &self.connection.stream;
        let answered = async {
            if with_timeout(WRITE_TIMEOUT, stream.write_all(line.as_bytes())).await.is_ok() {
                close(&self.connection).await;
            }
        };
        answered.or(self.permit.evicted()).await;
    }

    /// Closes the connection, or drops it if its descriptor is needed meanwhile.
    pub(super) async fn close(&self) {
        close(&self.connection).or(self.permit.evicted()).await;
    }
}

/// Closes a connection gracefully: ends this side, then reads what the other side still sends.
pub(super) async fn close(connection: &Connection) {
    if connection.stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while with_timeout(LINGER_TIMEOUT, connection.stream.read_with(discard)).await? > 0 {
            // A client that sends at full speed must not keep other tasks waiting.
            future::yield_now().await;
        }
        Ok(())
    };
    let _ = with_timeout(DRAIN_TIMEOUT, drain).await;
}

/// Makes the connection end with a reset once it is dropped.
pub(super) fn reset(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Rejects a client without waiting for it: its descriptor is needed.
pub(super) fn reject_immediately(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().write(BUSY.as_bytes());
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    // Unread bytes would turn the close into a reset.
    for _ in 0..MAX_IMMEDIATE_DISCARDS {
        if !matches!(discard(stream.get_ref()), Ok(read) if read > 0) {
            break;
        }
    }
}

/// Reads once and drops what was read.
fn discard(mut stream: &TcpStream) -> std::io::Result<usize> {
    stream.read(&mut [0; DISCARD_LENGTH])
}
