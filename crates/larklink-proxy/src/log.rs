//! The program's log: where it is written, and the reason codes of the one line that each connection leaves when it ends.
use std::fmt;

use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// The environment variable with the log level.
const LEVEL_VARIABLE: &str = "LARKLINK_LOG";
/// Lines that may wait for the log's reader; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Why a connection ended; `docs/on-call.md` says what to do about each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its client sent only health checks.
    HealthCheck,
    /// Its client or endpoint broke the protocol.
    ProtocolError,
    /// Its first line was not complete in time.
    OpenLineTimeout,
    /// No file descriptors were left for it.
    NoDescriptors,
    /// The session was rejected: it has run nowhere and may be retried.
    Rejected,
    /// The session was failed: it may have run and must not run again.
    Failed,
    /// Its client closed it, before or after the session was accepted.
    ClientClosed,
    /// Its client reset it.
    ClientReset,
    /// Its client did not read what was sent to it.
    ClientWriteTimeout,
    /// The session was served to its end.
    Completed,
    /// Its endpoint asked the client to reconnect.
    ServerMigrated,
    /// Its endpoint closed it within the session.
    ServerClosed,
    /// Its endpoint reset it.
    ServerReset,
    /// Its endpoint answered nothing for too long.
    Unresponsive,
    /// The decisions migrated its client.
    Migrated,
    /// The proxy stops.
    Shutdown,
    /// It goes on in the process that replaces this one.
    HandedOver,
}

impl EndReason {
    /// The code in the log.
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

/// Starts the log on standard error, at the level that `LARKLINK_LOG` names (`info` without it); `debug` adds each event
/// and action of the decisions. Lines are written by a thread of its own and dropped while too many wait: a reader that
/// stalls must not stall the proxy. The log is flushed when the guard is dropped.
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
