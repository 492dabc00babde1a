//! Graceful shutdown of a simulated proxy.

use crate::duration::SECOND;
use crate::event_log::ClientResponse;
use crate::simulate::scheduled_event::{ClientMessage, ScheduledEvent};
use crate::simulate::state::SimulationState;
use crate::time::{TickDuration, Timestamp};

/// The minimum duration of a shutdown. Its maximum is longer by the longest dial timeout of all listeners. Both are as
/// in the real proxy process.
const MIN_SHUTDOWN_DURATION: TickDuration = SECOND * 6 / 10;
/// The most that a dial timeout adds to the maximum duration.
const MAX_DIAL_TIMEOUT_IN_SHUTDOWN: TickDuration = 3 * SECOND;
/// Established sessions are migrated within this fraction of the time left for the shutdown.
const MIGRATION_FRACTION: f64 = 0.7;
/// The number of distinct delays of a migration; the session id selects one, which spreads the migrations over time.
const MIGRATION_STEPS: u64 = 1024;
/// How long before the end of the shutdown all sessions that still wait for a response get one.
const FINAL_RESPONSE_MARGIN: TickDuration = SECOND / 10;
/// The interval at which a proxy that is shutting down checks whether it has sessions left.
const SHUTDOWN_CHECK_INTERVAL: TickDuration = SECOND / 100;

/// Starts the graceful shutdown of a proxy: established sessions are migrated, spread over the available time, and
/// waiting sessions get a response before the end.
pub(super) fn shut_down_proxy(
    state: &mut SimulationState,
    now: Timestamp,
    proxy: usize,
    restart_after: Option<TickDuration>,
) {
    if !state.proxies[proxy].alive || state.proxies[proxy].exits_by.is_some() {
        return;
    }
    let dial_timeouts = state.scenario.listeners.iter().map(|listener| listener.get_ref().dial_timeout.0);
    let max_dial_timeout = dial_timeouts.max().unwrap_or(0).min(MAX_DIAL_TIMEOUT_IN_SHUTDOWN);
    state.proxies[proxy].exits_by = Some(now + MIN_SHUTDOWN_DURATION + max_dial_timeout);
    state.proxies[proxy].restart_after = restart_after;
    for id in sessions_of(state, proxy, true) {
        schedule_migration(state, now, proxy, id);
    }
    state.scheduled.push(now + MIN_SHUTDOWN_DURATION, ScheduledEvent::CheckShutdown { proxy });
}

/// Returns the sessions of a proxy that are established, or those that are not.
fn sessions_of(state: &SimulationState, proxy: usize, established: bool) -> Vec<u64> {
    let matches =
        |id: &u64| state.sessions.get(id).is_some_and(|session| session.is_established() == established);
    state.proxies[proxy].sessions.values().copied().filter(matches).collect()
}

/// Schedules the migration of an established session if its proxy is shutting down. The session id determines the time.
pub(super) fn schedule_migration(state: &mut SimulationState, now: Timestamp, proxy: usize, id: u64) {
    if let Some(exits_by) = state.proxies[proxy].exits_by {
        let fraction = (id % MIGRATION_STEPS) as f64 / MIGRATION_STEPS as f64 * MIGRATION_FRACTION;
        let delay = exits_by.saturating_sub(now) as f64 * fraction;
        state.scheduled.push(now + delay as TickDuration, ScheduledEvent::MigrateSession { id });
    }
}

/// Ends the shutdown if no sessions are left or the time is over. Otherwise schedules the next check.
pub(super) fn check_shutdown(state: &mut SimulationState, now: Timestamp, proxy: usize) {
    let Some(exits_by) = state.proxies[proxy].exits_by.filter(|_| state.proxies[proxy].alive) else {
        return;
    };
    if now + FINAL_RESPONSE_MARGIN >= exits_by {
        for id in sessions_of(state, proxy, false) {
            respond_at_shutdown(state, now, id);
        }
    }
    if state.proxies[proxy].sessions.is_empty() || now >= exits_by {
        state.proxy_exited(now, proxy, true);
        state.schedule_restart(now, proxy);
    } else {
        state.scheduled.push(now + SHUTDOWN_CHECK_INTERVAL, ScheduledEvent::CheckShutdown { proxy });
    }
}

/// Sends the final response to a session without a decision of the engine, for which no time is left.
fn respond_at_shutdown(state: &mut SimulationState, now: Timestamp, id: u64) {
    let session = &state.sessions[&id];
    let may_have_run = session.may_have_run || session.connection.is_some();
    let proxy = session.proxy;
    let number = session.session;
    state.close_connection(now, id);
    state.proxies[proxy].engine.client_left(number);
    let response = if may_have_run { ClientResponse::Failed } else { ClientResponse::Rejected(0) };
    state.respond(now, proxy, number, response);
}

/// Migrates a session of a proxy that is shutting down.
pub(super) fn migrate_at_shutdown(state: &mut SimulationState, now: Timestamp, id: u64) {
    let Some(session) = state.sessions.get(&id) else { return };
    let proxy = session.proxy;
    let number = session.session;
    if state.proxies[proxy].sessions.remove(&number).is_some() {
        state.proxies[proxy].engine.client_left(number);
        state.close_connection(now, id);
        state.send_to_client(now, id, ClientMessage::Migrate);
    }
}
