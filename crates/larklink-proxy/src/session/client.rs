//! A client's connection: sending the final answer and closing it.
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use socket2::SockRef;

use crate::connection::{Connection, discard, discard_until_end};
use crate::limiter::ConnectionPermit;
use crate::timeout::with_timeout;

/// The answer to a rejected session, without a Retry-After time.
pub(super) const BUSY: &str = "BUSY\r\n";
/// The answer to a failed session.
pub(super) const ERR: &str = "ERR\r\n";

/// How long a client may take to read an answer.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the peer of a connection that was shut down here may take to close its side, or to send more. Closing the
/// socket at once would reset the connection if it holds unread bytes, and the peer could lose the last line sent.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The limit on the total time for that while the peer keeps sending.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The limit on such reads before a connection for which there is no descriptor is closed.
const MAX_IMMEDIATE_DISCARDS: usize = 16;

/// A client's connection and its descriptors.
pub(super) struct Client {
    /// The connection and its read buffer.
    pub(super) connection: Connection,
    /// Accounts for its descriptors.
    pub(super) permit: ConnectionPermit,
    /// When the last complete line was read; until then, when the connection was accepted.
    pub(super) received_at: Instant,
}

impl Client {
    /// Sends the final answer and closes the connection.
    pub(super) async fn answer(&mut self, line: &str) {
        self.permit.record_activity();
        let mut stream = &self.connection.stream;
        let answered = async {
            if with_timeout(WRITE_TIMEOUT, stream.write_all(line.as_bytes())).await.is_ok() {
                close_gracefully(&self.connection).await;
            }
        };
        answered.or(self.permit.evicted()).await;
    }

    /// Closes the connection gracefully, or drops it if it is evicted meanwhile.
    pub(super) async fn close(&self) {
        close_gracefully(&self.connection).or(self.permit.evicted()).await;
    }
}

/// Shuts down the sending side, then reads and discards what the peer still sends until it closes its side.
pub(super) async fn close_gracefully(connection: &Connection) {
    if connection.stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let _ = with_timeout(DRAIN_TIMEOUT, discard_until_end(&connection.stream, LINGER_TIMEOUT)).await;
}

/// Makes the kernel reset the connection when the socket is closed.
pub(super) fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Rejects a client without waiting for it to read the answer, because its descriptor is needed.
pub(super) fn reject_immediately(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().write(BUSY.as_bytes());
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    // Closing a socket with unread bytes resets the connection.
    for _ in 0..MAX_IMMEDIATE_DISCARDS {
        if !matches!(discard(stream.get_ref()), Ok(read) if read > 0) {
            break;
        }
    }
}
