//! The state of a simulation and the actions of its proxies.
use std::collections::BTreeMap;

use larklink_balancer::{EndpointEntry, EndpointIndex, EndpointState, ListScope};
use larklink_engine::engine::{Engine, ProxyAction, SessionId};
use larklink_engine::settings::ProxySettings;

use crate::duration::TICKS_PER_MS;
use crate::endpoint_list::{EndpointListEntry, EndpointStatus};
use crate::event_log::{AttemptEnd, ClientResponse};
use crate::event_queue::EventQueue;
use crate::model::Model;
use crate::scenario::Scenario;
use crate::server::{ConnectionId, ServerState};
use crate::simulate::connections::{Attempt, ConnectionPurpose, Connections, HealthCheck};
use crate::simulate::proxy::{Proxy, ProxySession, engine_time};
use crate::simulate::scheduled_event::{ClientMessage, ScheduledEvent};
use crate::simulate::settings_object::settings_object;
use crate::time::{TickDuration, Timestamp};

/// The time that a message takes from one end of a connection to the other.
pub(super) const ONE_WAY_DELAY: TickDuration = 2;

/// The model, the proxies and the events scheduled between them.
pub(super) struct SimulationState<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) model: Model,
    pub(super) proxies: Vec<Proxy>,
    /// By the session id of the client.
    pub(super) sessions: BTreeMap<u64, ProxySession>,
    pub(super) connections: Connections,
    pub(super) scheduled: EventQueue<ScheduledEvent>,
    seed: u64,
}

impl<'a> SimulationState<'a> {
    pub(super) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        Self {
            scenario,
            model: Model::new(scenario, seed),
            proxies: Vec::new(),
            sessions: BTreeMap::new(),
            connections: Connections::new(),
            scheduled: EventQueue::default(),
            seed,
        }
    }

    pub(super) fn send_to_client(&mut self, now: Timestamp, id: u64, message: ClientMessage) {
        self.scheduled.push(now + ONE_WAY_DELAY, ScheduledEvent::ReachesClient { id, message });
    }

    pub(super) fn new_engine(&self, now: Timestamp, proxy: usize) -> Engine {
        let json = settings_object(self.scenario, proxy).to_string();
        // The settings object is built from a validated scenario, so it is always valid.
        let settings = ProxySettings::from_json(json.as_bytes()).expect("a valid settings object");
        let seed = self.seed.wrapping_mul(1000).wrapping_add(proxy as u64 + now);
        Engine::new(&settings, seed, engine_time(now))
    }

    /// Passes the entries of the endpoint list that a proxy does not know to its engine, if the list is reachable.
    pub(super) fn update_endpoints(&mut self, now: Timestamp, proxy: usize) {
        if !self.proxies[proxy].alive || !self.model.endpoint_list.is_reachable(now) {
            return;
        }
        let known_version = self.proxies[proxy].list_version;
        let (version, entries) = self.model.notify_proxy(now, proxy, known_version);
        let scope = if known_version.is_some() { ListScope::Changes } else { ListScope::Complete };
        let weights: Vec<f64> = self.scenario.server_groups_by_index().map(|server| server.weight).collect();
        let zones = self.scenario.proxies.zones;
        let entries = entries.iter().map(|entry| endpoint_entry(entry, weights[entry.server], zones));
        let proxy = &mut self.proxies[proxy];
        proxy.list_version = Some(version);
        proxy.engine.update_endpoints(engine_time(now), scope, entries.collect());
    }

    pub(super) fn start_proxy(&mut self, now: Timestamp, proxy: usize) {
        if !self.proxies[proxy].alive {
            let engine = self.new_engine(now, proxy);
            let next_session = self.proxies[proxy].next_session;
            self.proxies[proxy] = Proxy::new(engine, next_session);
            self.update_endpoints(now, proxy);
            self.model.proxy_up(now, proxy);
        }
    }

    /// Handles the exit of a proxy. Its remaining sessions are migrated if the exit was planned and lost otherwise.
    pub(super) fn proxy_exited(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        self.proxies[proxy].alive = false;
        let sessions = std::mem::take(&mut self.proxies[proxy].sessions);
        self.model.proxy_exited(now, proxy, planned);
        for id in sessions.into_values() {
            let message = if planned { ClientMessage::Migrate } else { ClientMessage::ConnectionEnded };
            self.close_connection(now, id);
            self.send_to_client(now, id, message);
        }
        self.connections.close_health_checks(proxy);
    }

    pub(super) fn schedule_restart(&mut self, now: Timestamp, proxy: usize) {
        if let Some(restart_after) = self.proxies[proxy].restart_after.take() {
            self.scheduled.push(now + restart_after, ScheduledEvent::StartProxy { proxy });
        }
    }

    /// Closes the server connection of a session from the side of the proxy.
    pub(super) fn close_connection(&mut self, now: Timestamp, id: u64) {
        let connection = self.sessions.get_mut(&id).and_then(|session| session.connection.take());
        let Some(connection) = connection else { return };
        if let Some(open) = self.connections.close(connection) {
            self.model.attempt_ended(now, open.server, connection, id, AttemptEnd::Abandoned);
        }
    }

    pub(super) fn client_disconnected(&mut self, now: Timestamp, id: u64) {
        self.close_connection(now, id);
        if let Some(session) = self.sessions.remove(&id) {
            let proxy = &mut self.proxies[session.proxy];
            if proxy.sessions.remove(&session.session).is_some() {
                proxy.engine.client_left(session.session);
            }
        }
    }

    /// Sends the final response to a session that was not accepted, and removes the session.
    pub(super) fn respond(
        &mut self,
        now: Timestamp,
        proxy: usize,
        session: SessionId,
        response: ClientResponse,
    ) {
        if let Some(id) = self.proxies[proxy].sessions.remove(&session) {
            self.sessions.remove(&id);
            self.send_to_client(now, id, ClientMessage::Response(response));
        }
    }

    pub(super) fn poll(&mut self, now: Timestamp, proxy: usize) {
        if self.proxies[proxy].alive {
            for action in self.proxies[proxy].engine.poll(engine_time(now)) {
                self.apply_proxy_action(now, proxy, action);
            }
        }
    }

    pub(super) fn apply_proxy_action(&mut self, now: Timestamp, proxy: usize, action: ProxyAction) {
        match action {
            ProxyAction::Connect { session, attempt, endpoint, timeout, .. } => {
                let Some(&id) = self.proxies[proxy].sessions.get(&session) else { return };
                let attempt = Attempt { proxy, session, number: attempt, id };
                self.start_attempt(now, attempt, server_of(endpoint), timeout.as_ticks());
            }
            ProxyAction::Reject { session, retry_after } => {
                let retry_after_ms = retry_after.as_millis_ceil();
                self.respond(now, proxy, session, ClientResponse::Rejected(retry_after_ms));
            }
            ProxyAction::Fail { session } => self.respond(now, proxy, session, ClientResponse::Failed),
            ProxyAction::Migrate { session } => {
                if let Some(id) = self.proxies[proxy].sessions.remove(&session) {
                    self.close_connection(now, id);
                    self.send_to_client(now, id, ClientMessage::Migrate);
                }
            }
            ProxyAction::CheckHealth { endpoint } => {
                let server = server_of(endpoint);
                let check = HealthCheck { proxy, sent_at: now };
                let connection = self.connections.open(server, ConnectionPurpose::HealthCheck(check));
                let timeout = self.scenario.rules.connect_timeout.0;
                self.connect(now, server, connection, timeout);
                self.scheduled.push(now + timeout, ScheduledEvent::TimedOut(connection));
            }
            ProxyAction::LimitSendDeadline { .. } | ProxyAction::PollEndpointList | ProxyAction::Log(_) => {}
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        attempt: Attempt,
        server: usize,
        timeout: TickDuration,
    ) {
        let connection = self.connections.open(server, ConnectionPurpose::Attempt(attempt));
        if let Some(session) = self.sessions.get_mut(&attempt.id) {
            session.connection = Some(connection);
            session.timeout_ms = timeout / TICKS_PER_MS;
        }
        self.connect(now, server, connection, timeout.min(self.scenario.rules.connect_timeout.0));
        self.scheduled.push(now + timeout, ScheduledEvent::TimedOut(connection));
    }

    /// Opens a connection to a server. A dead server refuses it at once; with a silent one it times out.
    pub(super) fn connect(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        timeout: TickDuration,
    ) {
        match self.model.servers[server].state() {
            ServerState::Dead => {
                self.scheduled.push(now + 2 * ONE_WAY_DELAY, ScheduledEvent::ConnectFailed(connection));
            }
            ServerState::Silent => {
                self.scheduled.push(now + timeout, ScheduledEvent::ConnectFailed(connection));
            }
            ServerState::Up | ServerState::Draining => {
                self.scheduled
                    .push(now + ONE_WAY_DELAY, ScheduledEvent::ReachesServer { server, connection });
            }
        }
    }
}

fn server_of(endpoint: u32) -> usize {
    endpoint as usize - 1
}

/// Endpoint ids start at 1, server indexes at 0.
pub(super) fn endpoint_of(server: usize) -> u32 {
    server as u32 + 1
}

fn endpoint_entry(entry: &EndpointListEntry, weight: f64, zones: usize) -> EndpointEntry {
    EndpointEntry {
        index: EndpointIndex(0),
        id: endpoint_of(entry.server),
        zone: (entry.server % zones) as u16,
        cell: 0,
        state: match entry.status {
            EndpointStatus::Up => EndpointState::Ready,
            EndpointStatus::Draining => EndpointState::Draining,
            EndpointStatus::Removed => EndpointState::Removed,
        },
        weight,
        started_at: if entry.started_at == 0 {
            larklink_balancer::Timestamp::ZERO
        } else {
            engine_time(entry.started_at)
        },
    }
}
