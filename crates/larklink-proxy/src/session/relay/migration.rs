//! Migration of a session's client on a command of the decisions or at the proxy's shutdown, and handover to a successor.
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use rand::RngExt;

use super::state::{RelayState, SessionEnd};
use crate::events::SessionCommand;
use crate::log::EndReason;

/// The line that tells a client to reconnect.
const MOVE: &[u8] = b"MOVE\r\n";
/// At a shutdown, clients are migrated within this fraction of the time that is left, at random so that they do not
/// reconnect all at once.
const SHUTDOWN_SPREAD: f64 = 0.7;
/// How often a session that waits for its migration at a shutdown looks for a successor.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs until the session is migrated or to be handed over.
pub(super) async fn run(state: &RelayState<'_>, commands: &Receiver<SessionCommand>) -> SessionEnd {
    let reason = match commanded(commands).or(shutting_down(state)).await {
        EndReason::HandedOver => EndReason::HandedOver,
        reason => migrate(state, reason).await,
    };
    SessionEnd::without_outcome(reason)
}

/// Tells the client to reconnect; the reason for the session's end is the given one, unless the client does not take the
/// line.
pub(super) async fn migrate(state: &RelayState<'_>, reason: EndReason) -> EndReason {
    let started = Instant::now();
    if !state.client.wait_until_idle().await {
        return EndReason::ClientWriteTimeout;
    }
    if state.has_final_line.get() {
        // The session is over: a client that reconnects after that would be served twice.
        return future::pending().await;
    }
    if !state.client.write_own_line(MOVE, started).await {
        return EndReason::ClientWriteTimeout;
    }
    reason
}

/// Resolves with the decisions' command to migrate.
async fn commanded(commands: &Receiver<SessionCommand>) -> EndReason {
    while let Ok(command) = commands.recv().await {
        if command == SessionCommand::Migrate {
            return EndReason::Migrated;
        }
    }
    future::pending().await
}

/// Resolves at the shutdown, when the session can be handed over or its client is to be migrated.
async fn shutting_down(state: &RelayState<'_>) -> EndReason {
    let context = state.context;
    context.shutdown.requested().await;
    let remaining = context.shutdown.deadline().saturating_duration_since(Instant::now());
    let fraction = context.rng.borrow_mut().random_range(0.0..SHUTDOWN_SPREAD);
    let migrate_at = Instant::now() + remaining.mul_f64(fraction);
    // A new process may become the successor only now.
    while context.passthrough || Instant::now() < migrate_at {
        if context.successor.is_present() && !state.has_no_successor.get() && !state.is_ending.get() {
            return EndReason::HandedOver;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    EndReason::Shutdown
}
