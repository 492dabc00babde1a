//! Migration of a session's client, on a command of the decision task or at a shutdown, and handover to a successor.
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use rand::RngExt;

use super::state::{RelayState, SessionEnd};
use crate::events::SessionCommand;
use crate::log::EndReason;

/// Asks a client to reconnect.
const MOVE: &[u8] = b"MOVE\r\n";
/// At a shutdown, clients are migrated at random times within this fraction of the remaining time, so that they do not
/// all reconnect at once.
const SHUTDOWN_SPREAD: f64 = 0.7;
/// How often a session that waits for its migration at a shutdown checks for a successor.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Resolves when the session was migrated or is to be handed over.
pub(super) async fn run(state: &RelayState<'_>, commands: &Receiver<SessionCommand>) -> SessionEnd {
    let reason = match migration_command(commands).or(shutdown_migration(state)).await {
        EndReason::HandedOver => EndReason::HandedOver,
        reason => migrate(state, reason).await,
    };
    SessionEnd::without_outcome(reason)
}

/// Asks the client to reconnect. Returns the reason for the session's end: the given one, unless the client does not
/// read the line in time.
pub(super) async fn migrate(state: &RelayState<'_>, reason: EndReason) -> EndReason {
    let started = Instant::now();
    if !state.client.wait_until_idle().await {
        return EndReason::ClientWriteTimeout;
    }
    if state.has_final_line.get() {
        // The endpoint has completed the session: a client that reconnected now would be served twice.
        return future::pending().await;
    }
    if !state.client.write_proxy_line(MOVE, started).await {
        return EndReason::ClientWriteTimeout;
    }
    reason
}

/// Resolves when the decision task commands a migration.
async fn migration_command(commands: &Receiver<SessionCommand>) -> EndReason {
    while let Ok(command) = commands.recv().await {
        if command == SessionCommand::Migrate {
            return EndReason::Migrated;
        }
    }
    future::pending().await
}

/// Resolves after a shutdown request, when the session can be handed over or its client is to be migrated.
async fn shutdown_migration(state: &RelayState<'_>) -> EndReason {
    let context = state.context;
    context.shutdown.requested().await;
    let remaining = context.shutdown.deadline().saturating_duration_since(Instant::now());
    let fraction = context.rng.borrow_mut().random_range(0.0..SHUTDOWN_SPREAD);
    let migrate_at = Instant::now() + remaining.mul_f64(fraction);
    // A new process may become the successor even after the shutdown request.
    while context.passthrough || Instant::now() < migrate_at {
        if context.successor.is_present() && !state.handover_failed.get() && !state.is_ending.get() {
            return EndReason::HandedOver;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    EndReason::Shutdown
}
