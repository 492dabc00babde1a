//! The log: one line for each connection that ends, with a code for the reason, and what the decisions have
//! to say.
use std::fmt;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Why a connection ended; `docs/on-call.md` says what each one means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It sent only probes.
    Pinged,
    BadLine,
    HeadStalled,
    /// No descriptors were left for it.
    NoRoom,
    Refused,
    TornDown,
    /// Its client left, before or after it was accepted.
    ClientLeft,
    ClientReset,
    /// Its client did not take what was sent to it.
    ClientStuck,
    ServerEnded,
    ServerMoved,
    ServerCut,
    ServerReset,
    /// Its server brought nothing back.
    Silent,
    Moved,
    Stopped,
    /// It goes on in the process that replaces this one.
    HandedOver,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Pinged => "pinged",
            Self::BadLine => "bad_line",
            Self::HeadStalled => "head_stalled",
            Self::NoRoom => "no_room",
            Self::Refused => "refused",
            Self::TornDown => "torn_down",
            Self::ClientLeft => "client_left",
            Self::ClientReset => "client_reset",
            Self::ClientStuck => "client_stuck",
            Self::ServerEnded => "server_ended",
            Self::ServerMoved => "server_moved",
            Self::ServerCut => "server_cut",
            Self::ServerReset => "server_reset",
            Self::Silent => "silent",
            Self::Moved => "moved",
            Self::Stopped => "stopped",
            Self::HandedOver => "handed_over",
        })
    }
}

/// Writes to standard error from a thread of its own: a reader that stalls must not stall the proxy, so lines
/// are dropped when too many wait.
pub fn start() -> WorkerGuard {
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(4096).lossy(true).finish(std::io::stderr());
    // `LARKLINK_LOG=debug` adds each event that the decisions hear and each action that they ask for.
    let level =
        std::env::var("LARKLINK_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer)
        .init();
    guard
}
