//! The complete model of the environment of the proxies. It is advanced in time and returns actions, which the caller
//! performs: the simulation or the testbed.
use std::iter::Peekable;
use std::vec::IntoIter;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{ClientAction, Clients};
use crate::duration::SECOND;
use crate::endpoint_list::{EndpointList, EndpointListEntry, EndpointStatus};
use crate::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use crate::external_load_balancer::ExternalLoadBalancer;
use crate::faults::{FaultBand, FaultEvent, ProxyFault, TimedFault, timeline};
use crate::scenario::{Scenario, ServerGroup};
use crate::server::{ConnectionId, Server, ServerMessage, ServerOutput, ServerProfile};
use crate::session_store::SessionStore;
use crate::time::{TickDuration, Timestamp};

/// A message that takes longer one way is logged as delayed: 1 s, plus 50 ms for delays of the sockets.
const MAX_MESSAGE_DELAY: TickDuration = SECOND + SECOND / 20;
/// Microseconds in one tick of a tenth of a millisecond.
const MICROS_PER_TICK: f64 = 100.0;
/// Random number streams. Faults and clients have separate ones, so that a change of the faults does not change the
/// clients.
const FAULT_STREAM: u64 = 1;
const CLIENT_STREAM: u64 = 2;

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelAction {
    /// Send a server's message on one of its connections.
    Send {
        /// The index of the server.
        server: usize,
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: ServerMessage,
    },
    /// Close a server's listening socket and reset all its connections.
    StopListening {
        /// The index of the server.
        server: usize,
    },
    /// Let a server listen.
    Listen {
        /// The index of the server.
        server: usize,
    },
    /// Perform an action of a client.
    Client(ClientAction),
    /// Reset the client connections of these sessions.
    DisconnectClients(Vec<u64>),
    /// Apply a fault to the proxy with this index.
    Proxy(usize, ProxyFault),
    /// Notify the proxies of a new version of the endpoint list.
    EndpointListChanged,
}

/// The model of a scenario run, except for the proxies.
pub struct Model {
    /// The servers, by index.
    pub servers: Vec<Server>,
    /// The session store that they share.
    pub session_store: SessionStore,
    /// The clients.
    pub clients: Clients,
    /// The external load balancer.
    pub load_balancer: ExternalLoadBalancer,
    /// The endpoint list.
    pub endpoint_list: EndpointList,
    /// What all parts observed.
    pub event_log: EventLog,
    /// The time spans of the faults, for plots.
    pub fault_bands: Vec<FaultBand>,
    faults: Peekable<IntoIter<TimedFault>>,
}

fn server_profile(group: &ServerGroup) -> ServerProfile {
    ServerProfile {
        cores: group.cores,
        speed: group.speed,
        max_sessions: group.max_sessions,
        setup_work: group.setup_work.0 as f64 * MICROS_PER_TICK,
        max_queue_wait: group.max_queue_wait.0,
        initial_capacity: group.initial_capacity,
        slow_start_duration: group.slow_start_duration.0,
        overload_multiple: group.overload_multiple,
        overload_window: group.overload_window.0,
        dies_when_overloaded: group.dies_when_overloaded,
        restart_after: group.restart_after.0,
        report_interval: group.report_interval.0,
    }
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

impl Model {
    /// Creates the model of a scenario. All random choices derive from `seed`.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let timeline = timeline(scenario, &mut random_stream(seed, FAULT_STREAM));
        let listeners = scenario.listeners.iter().map(|listener| listener.get_ref().clone()).collect();
        let mut servers: Vec<_> =
            scenario.server_groups_by_index().map(|group| Server::new(server_profile(group))).collect();
        let mut endpoint_list = EndpointList::new(servers.len(), scenario.endpoint_list.lag.0);
        for (index, _) in scenario.server_groups_by_index().enumerate().filter(|(_, group)| !group.listed) {
            servers[index].stop(0, &mut Vec::new());
            endpoint_list.mark_unlisted(index);
        }
        Self {
            servers,
            endpoint_list,
            session_store: SessionStore::new(scenario.session_store.rate, scenario.session_store.bound.0),
            clients: Clients::new(listeners, scenario.length.0, random_stream(seed, CLIENT_STREAM)),
            load_balancer: ExternalLoadBalancer::new(
                scenario.proxies.count,
                scenario.proxies.zones,
                scenario.load_balancer.detection_delay.0,
            ),
            event_log: EventLog::default(),
            fault_bands: timeline.bands,
            faults: timeline.faults.into_iter().peekable(),
        }
    }

    /// Returns when [`advance`](Self::advance) has to be called next.
    pub fn next_event_at(&mut self) -> Timestamp {
        let servers = self.servers.iter().map(Server::next_event_at).min().unwrap_or(Timestamp::MAX);
        let fault = self.faults.peek().map_or(Timestamp::MAX, |fault| fault.at);
        servers.min(fault).min(self.clients.next_event_at()).min(self.endpoint_list.next_event_at())
    }

    /// Handles everything that is due by `now` and returns the resulting actions.
    pub fn advance(&mut self, now: Timestamp) -> Vec<ModelAction> {
        let mut actions = Vec::new();
        while let Some(fault) = self.faults.next_if(|fault| fault.at <= now) {
            self.event_log.record(now, EventKind::FaultInjected(format!("{:?}", fault.event)));
            self.inject(now, fault.event, &mut actions);
        }
        let mut outputs = Vec::new();
        for server in 0..self.servers.len() {
            self.servers[server].advance(now, &mut outputs);
            self.apply_outputs(now, server, &mut outputs, &mut actions);
        }
        let mut client_actions = Vec::new();
        self.clients.advance(now, &mut client_actions);
        for action in client_actions {
            self.record_client_action(now, &action);
            actions.push(ModelAction::Client(action));
        }
        if self.endpoint_list.advance(now) {
            actions.push(ModelAction::EndpointListChanged);
        }
        actions
    }

    fn record_client_action(&mut self, now: Timestamp, action: &ClientAction) {
        let kind = match *action {
            ClientAction::TimeOut { id } => EventKind::ClientTimedOut { id },
            ClientAction::Leave { id } => EventKind::ConnectionEnded { id, end: ConnectionEnd::Left },
            ClientAction::Silent { id, duration } => EventKind::ConnectionSilent { id, duration },
            ClientAction::Connect(_) | ClientAction::SendMessage { .. } => return,
        };
        self.event_log.record(now, kind);
    }

    fn inject(&mut self, now: Timestamp, event: FaultEvent, actions: &mut Vec<ModelAction>) {
        let mut outputs = Vec::new();
        match event {
            FaultEvent::Proxy(proxy, fault) => {
                if matches!(fault, ProxyFault::Stop { .. }) {
                    self.load_balancer.remove_proxy(proxy);
                }
                actions.push(ModelAction::Proxy(proxy, fault));
            }
            FaultEvent::Silence { server, until } => {
                if self.servers[server].is_listening() {
                    self.servers[server].silence(until);
                    self.event_log.record(now, EventKind::ServerSilent { server, until });
                }
            }
            FaultEvent::Pause { server, until } => self.servers[server].pause(until),
            FaultEvent::Die { server } => {
                self.servers[server].stop(now, &mut outputs);
                self.apply_outputs(now, server, &mut outputs, actions);
            }
            FaultEvent::Back { server } => {
                self.servers[server].start(now, &mut outputs);
                self.apply_outputs(now, server, &mut outputs, actions);
            }
            FaultEvent::Drain { server } => {
                self.servers[server].drain();
                self.schedule_list_update(now, server, EndpointStatus::Draining);
            }
            FaultEvent::Gone { server } => {
                let sessions = self.servers[server].established_sessions();
                if sessions > 0 {
                    self.event_log.record(now, EventKind::SessionsLeftBehind { server, sessions });
                }
                self.servers[server].migrate_sessions(&mut outputs);
                self.servers[server].stop(now, &mut outputs);
                self.apply_outputs(now, server, &mut outputs, actions);
            }
            FaultEvent::Drops { server, one_in } => self.servers[server].set_reset_one_in(one_in),
            FaultEvent::StoreSlow { factor } => self.session_store.set_slowdown(factor),
            FaultEvent::ListLost { until } => self.endpoint_list.set_unreachable_until(until),
            FaultEvent::ListStill { until } => self.endpoint_list.freeze_until(until),
            FaultEvent::DropClients { share } => {
                let ids = self.disconnect_clients(now, share);
                actions.push(ModelAction::DisconnectClients(ids));
            }
        }
    }

    fn disconnect_clients(&mut self, now: Timestamp, share: f64) -> Vec<u64> {
        let ids = self.clients.sample_established(share);
        for &id in &ids {
            self.event_log.record(now, EventKind::ConnectionEnded { id, end: ConnectionEnd::Left });
            self.clients.connection_ended(now, id, ConnectionEnd::Broken);
        }
        ids
    }

    fn schedule_list_update(&mut self, now: Timestamp, server: usize, status: EndpointStatus) {
        let started_at = self.servers[server].started().unwrap_or(0);
        self.endpoint_list.schedule_update(now, EndpointListEntry { server, status, started_at });
    }

    /// Logs the outputs of a server and adds the actions that follow from them.
    fn apply_outputs(
        &mut self,
        now: Timestamp,
        server: usize,
        outputs: &mut Vec<ServerOutput>,
        actions: &mut Vec<ModelAction>,
    ) {
        for output in outputs.drain(..) {
            match output {
                ServerOutput::Send(connection, message) => {
                    actions.push(ModelAction::Send { server, connection, message });
                }
                ServerOutput::SessionRan(id) => {
                    self.event_log.record(now, EventKind::SessionRan { id, server })
                }
                ServerOutput::RanAfterAbandoned(id) => {
                    self.event_log.record(now, EventKind::RanAfterAbandoned { id, server });
                }
                ServerOutput::Overloaded(ratio) => {
                    self.event_log.record(now, EventKind::Overloaded { server, ratio });
                }
                ServerOutput::Died => {
                    self.event_log.record(now, EventKind::ServerDied { server });
                    self.schedule_list_update(now, server, EndpointStatus::Removed);
                    actions.push(ModelAction::StopListening { server });
                }
                ServerOutput::Started => {
                    self.event_log.record(now, EventKind::ServerStarted { server });
                    self.schedule_list_update(now, server, EndpointStatus::Up);
                    actions.push(ModelAction::Listen { server });
                }
            }
        }
    }

    /// Handles the first line of an attempt at its server. `timeout_ms` is how long the proxy waits for the response.
    pub fn attempt_started(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        id: u64,
        timeout_ms: u64,
        listener: usize,
    ) -> Vec<ModelAction> {
        self.event_log.record(now, EventKind::AttemptStarted { id, server, connection, timeout_ms });
        let mut outputs = Vec::new();
        let mut actions = Vec::new();
        let load = self.clients.load(listener);
        self.servers[server].receive_request(
            now,
            connection,
            id,
            load,
            &mut self.session_store,
            &mut outputs,
        );
        self.apply_outputs(now, server, &mut outputs, &mut actions);
        actions
    }

    /// Handles the end of an attempt, or of the connection of an established session, at its server.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        id: u64,
        end: AttemptEnd,
    ) {
        if end == AttemptEnd::Abandoned {
            self.servers[server].connection_closed(connection);
        }
        self.event_log.record(now, EventKind::AttemptEnded { id, server, connection, end });
    }

    /// Handles a client's message at the server of its session. `sent_at` is when it was sent, if known.
    pub fn message_to_server(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        id: u64,
        sent_at: Option<Timestamp>,
        payload: Vec<u8>,
    ) -> Vec<ModelAction> {
        self.record_message_delay(now, id, Direction::ToServer, sent_at);
        let listener = self.clients.listener_of(id);
        let work = listener.map_or(0.0, |listener| self.clients.message_work(listener));
        let mut outputs = Vec::new();
        let mut actions = Vec::new();
        self.servers[server].receive_message(now, connection, work, payload, &mut outputs);
        self.apply_outputs(now, server, &mut outputs, &mut actions);
        actions
    }

    fn record_message_delay(
        &mut self,
        now: Timestamp,
        id: u64,
        direction: Direction,
        sent_at: Option<Timestamp>,
    ) {
        let took = sent_at.map_or(0, |at| now.saturating_sub(at));
        if took > MAX_MESSAGE_DELAY {
            self.event_log.record(now, EventKind::MessageDelayed { id, direction, took });
        }
    }

    /// Handles the final response at a client.
    pub fn response_received(&mut self, now: Timestamp, id: u64, response: ClientResponse) {
        self.event_log.record(now, EventKind::Answered { id, response });
        self.clients.response_received(now, id, response);
    }

    /// Handles a message that has come back to its client. `sent_at` is when the server sent it, if known. Returns the
    /// round-trip time if the message was in flight.
    pub fn message_returned(
        &mut self,
        now: Timestamp,
        id: u64,
        number: u64,
        sent_at: Option<Timestamp>,
    ) -> Option<TickDuration> {
        self.record_message_delay(now, id, Direction::ToClient, sent_at);
        let returned = self.clients.message_returned(now, id, number)?;
        let took = returned.took;
        if returned.late {
            self.event_log.record(now, EventKind::MessageLate { id, took });
        }
        Some(took)
    }

    /// Handles the end of a client connection before the final response.
    pub fn ended_without_response(&mut self, now: Timestamp, id: u64, end: ConnectionEnd) {
        self.event_log.record(now, EventKind::ConnectionEnded { id, end });
        self.clients.ended_without_response(now, id);
    }

    /// Handles a request whose proxy was unreachable.
    pub fn proxy_unreachable(&mut self, now: Timestamp, id: u64, proxy: usize) {
        self.event_log.record(now, EventKind::ProxyUnreachable { id, proxy });
        self.clients.ended_without_response(now, id);
    }

    /// Handles the end of the connection of an established session at its client.
    pub fn connection_ended(&mut self, now: Timestamp, id: u64, end: ConnectionEnd) {
        self.event_log.record(now, EventKind::ConnectionEnded { id, end });
        self.clients.connection_ended(now, id, end);
    }

    /// Returns the proxy to which the external load balancer sends a request. If there is none, the client retries as
    /// after a connection that ended without a response.
    pub fn assign_proxy(&mut self, now: Timestamp, request: &ClientRequest) -> Option<usize> {
        let proxy = self.load_balancer.next_proxy(now, request.key);
        if proxy.is_none() {
            self.clients.ended_without_response(now, request.id);
        }
        proxy
    }

    /// Handles a proxy that has started and answers.
    pub fn proxy_up(&mut self, now: Timestamp, proxy: usize) {
        self.load_balancer.add_proxy(proxy);
        self.event_log.record(now, EventKind::ProxyUp { proxy });
    }

    /// Handles the exit of a proxy.
    pub fn proxy_exited(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        self.load_balancer.proxy_died(now, proxy);
        self.event_log.record(now, EventKind::ProxyExited { proxy, planned });
    }

    /// Returns the version of the endpoint list and the entries that changed after the version that the proxy knows,
    /// and logs that the proxy was notified of them.
    pub fn notify_proxy(
        &mut self,
        now: Timestamp,
        proxy: usize,
        known_version: Option<u64>,
    ) -> (u64, Vec<EndpointListEntry>) {
        let entries = self.endpoint_list.entries_after(known_version);
        for entry in &entries {
            let ready = entry.status == EndpointStatus::Up;
            self.event_log.record(now, EventKind::EndpointNotified { proxy, server: entry.server, ready });
        }
        (self.endpoint_list.version(), entries)
    }
}
