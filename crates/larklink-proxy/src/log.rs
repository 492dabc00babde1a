//! The log of the process, and the reason codes of the line that is logged when a connection ends.
use std::fmt;

use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// The environment variable with the log level.
const LEVEL_VARIABLE: &str = "LARKLINK_LOG";
/// Lines that are buffered for standard error; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Why a connection ended. `docs/on-call.md` describes what to do about each reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The client sent health checks only.
    HealthCheck,
    /// The client or the endpoint violated the protocol.
    ProtocolError,
    /// The first line was not complete in time.
    OpenLineTimeout,
    /// No file descriptor was free for the connection.
    NoDescriptors,
    /// The session was rejected. It has not run on any endpoint and may be retried.
    Rejected,
    /// The session failed. It may have run and must not be retried.
    Failed,
    /// The client closed the connection, before or after the session was accepted.
    ClientClosed,
    /// The client reset the connection.
    ClientReset,
    /// The client did not read what was sent to it in time.
    ClientWriteTimeout,
    /// The session completed.
    Completed,
    /// The endpoint asked the client to reconnect.
    ServerMigrated,
    /// The endpoint closed the connection during the session.
    ServerClosed,
    /// The endpoint reset the connection.
    ServerReset,
    /// The endpoint was silent for too long.
    Unresponsive,
    /// The decision engine migrated the session.
    Migrated,
    /// The proxy is shutting down.
    Shutdown,
    /// The session was handed over to the successor process.
    HandedOver,
}

impl EndReason {
    /// Returns the reason code for the log.
    fn code(self) -> &'static str {
        match self {
            Self::HealthCheck => "health_check",
            Self::ProtocolError => "protocol_error",
            Self::OpenLineTimeout => "open_line_timeout",
            Self::NoDescriptors => "no_descriptors",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::ClientClosed => "client_closed",
            Self::ClientReset => "client_reset",
            Self::ClientWriteTimeout => "client_write_timeout",
            Self::Completed => "completed",
            Self::ServerMigrated => "server_migrated",
            Self::ServerClosed => "server_closed",
            Self::ServerReset => "server_reset",
            Self::Unresponsive => "unresponsive",
            Self::Migrated => "migrated",
            Self::Shutdown => "shutdown",
            Self::HandedOver => "handed_over",
        }
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Starts logging to standard error at the level in `LARKLINK_LOG`, by default `info`; `debug` adds each event and
/// action of the decision engine. A separate thread writes the lines, and lines are dropped while its buffer is full,
/// so that a stalled reader cannot stall the proxy. Dropping the guard flushes the log.
pub fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(Level::INFO))
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer)
        .init();
    guard
}
