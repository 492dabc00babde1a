//! The graceful shutdown of a proxy.

use crate::duration::SECOND;
use crate::event_log::ClientResponse;
use crate::simulate::scheduled_event::{ClientMessage, ScheduledEvent};
use crate::simulate::state::SimulationState;
use crate::time::{TickDuration, Timestamp};

/// A proxy that shuts down takes at least this time, and as much longer as its longest dial timeout, as the daemon
/// does.
const MIN_SHUTDOWN: TickDuration = SECOND * 6 / 10;
/// The most that a dial timeout adds to it.
const MAX_DIAL_TIMEOUT_IN_SHUTDOWN: TickDuration = 3 * SECOND;
/// Established sessions are migrated within this fraction of the shutdown.
const MIGRATED_BY: f64 = 0.7;
/// The time for which a migration is drawn by chance is the session's id in this number of steps.
const MIGRATION_STEPS: u64 = 1024;
/// So long before the end of the shutdown, all sessions that wait are answered.
const LAST_RESPONSES: TickDuration = SECOND / 10;
/// How often a proxy that shuts down looks whether it has sessions left.
const SHUTDOWN_CHECK_INTERVAL: TickDuration = SECOND / 100;

/// A graceful shutdown: established sessions are migrated, spread over the time there is, and those that wait are
/// answered.
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
    let longest = dial_timeouts.max().unwrap_or(0).min(MAX_DIAL_TIMEOUT_IN_SHUTDOWN);
    state.proxies[proxy].exits_by = Some(now + MIN_SHUTDOWN + longest);
    state.proxies[proxy].restart_after = restart_after;
    for id in sessions_of(state, proxy, true) {
        schedule_migration(state, now, proxy, id);
    }
    state.scheduled.push(now + MIN_SHUTDOWN, ScheduledEvent::CheckShutdown { proxy });
}

/// The sessions of a proxy that are established, or that are not.
fn sessions_of(state: &SimulationState, proxy: usize, established: bool) -> Vec<u64> {
    let matches =
        |id: &u64| state.sessions.get(id).is_some_and(|session| session.is_established() == established);
    state.proxies[proxy].sessions.values().copied().filter(matches).collect()
}

/// Where a proxy shuts down, an established session is migrated at a time drawn by its id.
pub(super) fn schedule_migration(state: &mut SimulationState, now: Timestamp, proxy: usize, id: u64) {
    if let Some(exits_by) = state.proxies[proxy].exits_by {
        let share = (id % MIGRATION_STEPS) as f64 / MIGRATION_STEPS as f64 * MIGRATED_BY;
        let wait = exits_by.saturating_sub(now) as f64 * share;
        state.scheduled.push(now + wait as TickDuration, ScheduledEvent::MigrateSession { id });
    }
}

pub(super) fn check_shutdown(state: &mut SimulationState, now: Timestamp, proxy: usize) {
    let Some(exits_by) = state.proxies[proxy].exits_by.filter(|_| state.proxies[proxy].alive) else {
        return;
    };
    if now + LAST_RESPONSES >= exits_by {
        for id in sessions_of(state, proxy, false) {
            answer_at_shutdown(state, now, id);
        }
    }
    if state.proxies[proxy].sessions.is_empty() || now >= exits_by {
        state.end_proxy(now, proxy, true);
        state.schedule_restart(now, proxy);
    } else {
        state.scheduled.push(now + SHUTDOWN_CHECK_INTERVAL, ScheduledEvent::CheckShutdown { proxy });
    }
}

/// The final response to a session for which there is no time for a decision of the engine.
fn answer_at_shutdown(state: &mut SimulationState, now: Timestamp, id: u64) {
    let session = &state.sessions[&id];
    let may_have_run = session.may_have_run || session.connection.is_some();
    let proxy = session.proxy;
    let number = session.session;
    state.close_connection(now, id);
    state.proxies[proxy].engine.client_left(number);
    let response = if may_have_run { ClientResponse::Failed } else { ClientResponse::Rejected(0) };
    state.answer(now, proxy, number, response);
}

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
