//! The simulation: delivers messages between the clients and servers of the model and the engines of the proxies.
use larklink_balancer::{AttemptOutcome, Observation, SessionRequest};

use crate::clients::ClientAction;
use crate::duration::{SECOND, TICKS_PER_MS};
use crate::event_log::{AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, EventKind};
use crate::faults::ProxyFault;
use crate::model::{Model, ModelAction};
use crate::scenario::Scenario;
use crate::server::{ConnectionId, ServerMessage};
use crate::simulate::connections::{Attempt, ConnectionPurpose, HealthCheck, OpenConnection};
use crate::simulate::proxy::{Proxy, ProxySession, engine_duration, engine_time};
use crate::simulate::scheduled_event::{ClientMessage, ScheduledEvent};
use crate::simulate::shutdown;
use crate::simulate::state::{ONE_WAY_DELAY, SimulationState, endpoint_of};
use crate::time::{TickDuration, Timestamp};

/// The interval at which proxies that are behind poll the endpoint list again.
const LIST_RETRY_INTERVAL: TickDuration = SECOND / 10;

/// A run in progress.
pub(super) struct Simulation<'a> {
    state: SimulationState<'a>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        Self { state: SimulationState::new(scenario, seed) }
    }

    pub(super) fn into_model(self) -> Model {
        self.state.model
    }

    pub(super) fn start_all_proxies(&mut self) {
        for proxy in 0..self.state.scenario.proxies.count {
            let engine = self.state.new_engine(0, proxy);
            self.state.proxies.push(Proxy::new(engine, 0));
            self.state.model.proxy_up(0, proxy);
            self.state.update_endpoints(0, proxy);
        }
    }

    /// Handles everything that is due by `now`.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while let Some((_, event)) = self.state.scheduled.pop_due(now) {
            self.handle(now, event);
        }
        let actions = self.state.model.advance(now);
        self.apply(now, actions);
        for proxy in 0..self.state.proxies.len() {
            self.state.poll(now, proxy);
        }
    }

    /// Returns when [`advance`](Self::advance) has to be called next.
    pub(super) fn next_event_at(&mut self) -> Timestamp {
        let proxies = self.state.proxies.iter().map(Proxy::next_wakeup).min().unwrap_or(Timestamp::MAX);
        self.state.model.next_event_at().min(self.state.scheduled.next_due_at()).min(proxies)
    }

    fn apply(&mut self, now: Timestamp, actions: Vec<ModelAction>) {
        for action in actions {
            self.apply_model_action(now, action);
        }
        let version = self.state.model.endpoint_list.version();
        if self.state.proxies.iter().any(|proxy| proxy.alive && proxy.list_version != Some(version)) {
            self.state.scheduled.push(now + LIST_RETRY_INTERVAL, ScheduledEvent::RetryEndpointLists);
        }
    }

    fn apply_model_action(&mut self, now: Timestamp, action: ModelAction) {
        match action {
            ModelAction::Send { server, connection, message } => {
                self.state
                    .scheduled
                    .push(now + ONE_WAY_DELAY, ScheduledEvent::ReachesProxy { server, connection, message });
            }
            ModelAction::StopListening { server } => {
                for connection in self.state.connections.of_server(server) {
                    let message = ServerMessage::Reset;
                    self.state.scheduled.push(
                        now + ONE_WAY_DELAY,
                        ScheduledEvent::ReachesProxy { server, connection, message },
                    );
                }
            }
            ModelAction::Listen { .. } => {}
            ModelAction::Client(action) => self.apply_client_action(now, action),
            ModelAction::DisconnectClients(ids) => {
                ids.into_iter().for_each(|id| self.state.client_disconnected(now, id));
            }
            ModelAction::Proxy(proxy, fault) => self.apply_proxy_fault(now, proxy, fault),
            ModelAction::EndpointListChanged => {
                for proxy in 0..self.state.proxies.len() {
                    self.state
                        .scheduled
                        .push(now + ONE_WAY_DELAY, ScheduledEvent::EndpointListChanged { proxy });
                }
            }
        }
    }

    fn apply_proxy_fault(&mut self, now: Timestamp, proxy: usize, fault: ProxyFault) {
        match fault {
            ProxyFault::KillAtAccept { back } => {
                let proxy = &mut self.state.proxies[proxy];
                proxy.killed_at_accept = proxy.alive;
                proxy.restart_after = back;
            }
            ProxyFault::Kill => self.state.proxy_exited(now, proxy, false),
            ProxyFault::Stop { back } => shutdown::shut_down_proxy(&mut self.state, now, proxy, back),
            ProxyFault::Start => self.state.start_proxy(now, proxy),
            ProxyFault::Reload | ProxyFault::Replace => {}
        }
    }

    fn apply_client_action(&mut self, now: Timestamp, action: ClientAction) {
        match action {
            ClientAction::Connect(request) => {
                if let Some(proxy) = self.state.model.assign_proxy(now, &request) {
                    let opened = EventKind::Opened { request: request.clone(), proxy };
                    self.state.model.event_log.record(now, opened);
                    self.state
                        .scheduled
                        .push(now + ONE_WAY_DELAY, ScheduledEvent::ClientConnects { proxy, request });
                }
            }
            ClientAction::SendMessage { id, number } => {
                self.state.scheduled.push(now + ONE_WAY_DELAY, ScheduledEvent::ClientMessage { id, number });
            }
            ClientAction::TimeOut { id } | ClientAction::Leave { id } => {
                self.state.client_disconnected(now, id)
            }
            ClientAction::Silent { .. } => {}
        }
    }

    fn handle(&mut self, now: Timestamp, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RetryEndpointLists => {
                (0..self.state.proxies.len()).for_each(|proxy| self.state.update_endpoints(now, proxy));
            }
            ScheduledEvent::EndpointListChanged { proxy } => self.state.update_endpoints(now, proxy),
            ScheduledEvent::StartProxy { proxy } => self.state.start_proxy(now, proxy),
            ScheduledEvent::MigrateSession { id } => shutdown::migrate_at_shutdown(&mut self.state, now, id),
            ScheduledEvent::CheckShutdown { proxy } => shutdown::check_shutdown(&mut self.state, now, proxy),
            ScheduledEvent::ClientConnects { proxy, request } => self.client_connects(now, proxy, request),
            ScheduledEvent::ClientMessage { id, number } => self.client_message(now, id, number),
            ScheduledEvent::ReachesServer { server, connection } => {
                self.reaches_server(now, server, connection);
            }
            ScheduledEvent::ReachesProxy { server, connection, message } => {
                self.server_message(now, server, connection, message);
            }
            ScheduledEvent::ReachesClient { id, message } => self.reaches_client(now, id, message),
            ScheduledEvent::TimedOut(connection) => {
                self.connection_ended(now, connection, AttemptOutcome::TimedOut);
            }
            ScheduledEvent::ConnectFailed(connection) => {
                self.connection_ended(now, connection, AttemptOutcome::ConnectFailed);
            }
        }
    }

    fn client_message(&mut self, now: Timestamp, id: u64, number: u64) {
        let connection = self.state.sessions.get(&id).and_then(|session| session.connection);
        let Some(connection) = connection else { return };
        if let Some(open) = self.state.connections.get(connection) {
            let payload = number.to_le_bytes().to_vec();
            let actions = self.state.model.message_to_server(now, open.server, connection, id, None, payload);
            self.apply(now, actions);
        }
    }

    fn reaches_client(&mut self, now: Timestamp, id: u64, message: ClientMessage) {
        match message {
            ClientMessage::Response(response) => self.state.model.response_received(now, id, response),
            ClientMessage::Message(number) => {
                self.state.model.message_returned(now, id, number, None);
            }
            ClientMessage::Migrate => {
                self.state.sessions.remove(&id);
                self.state.model.connection_ended(now, id, ConnectionEnd::Migrated);
            }
            ClientMessage::ConnectionEnded => {
                self.state.sessions.remove(&id);
                self.state.model.connection_ended(now, id, ConnectionEnd::Broken);
            }
        }
    }

    fn client_connects(&mut self, now: Timestamp, proxy: usize, request: ClientRequest) {
        if !self.state.proxies[proxy].alive {
            return self.state.model.proxy_unreachable(now, request.id, proxy);
        }
        let session = self.state.proxies[proxy].next_session;
        self.state.proxies[proxy].next_session += 1;
        self.state.proxies[proxy].sessions.insert(session, request.id);
        let engine_request = session_request(&request);
        let proxy_session = ProxySession {
            proxy,
            session,
            timeout_ms: request.dial_timeout / TICKS_PER_MS,
            connection: None,
            established_on: None,
            may_have_run: false,
            request,
        };
        self.state.sessions.insert(proxy_session.request.id, proxy_session);
        if std::mem::take(&mut self.state.proxies[proxy].killed_at_accept) {
            self.state.proxy_exited(now, proxy, false);
            return self.state.schedule_restart(now, proxy);
        }
        let engine = &mut self.state.proxies[proxy].engine;
        if let Some(action) = engine.open_session(engine_time(now), session, engine_request) {
            self.state.apply_proxy_action(now, proxy, action);
        }
    }

    fn reaches_server(&mut self, now: Timestamp, server: usize, connection: ConnectionId) {
        match self.state.connections.get(connection).map(|open| open.purpose) {
            Some(ConnectionPurpose::HealthCheck(_)) => {
                self.state.model.servers[server].check_health(now, connection)
            }
            Some(ConnectionPurpose::Attempt(Attempt { id, .. })) => {
                let Some(session) = self.state.sessions.get(&id) else { return };
                let timeout_ms = session.timeout_ms;
                let listener = session.request.listener;
                let actions =
                    self.state.model.attempt_started(now, server, connection, id, timeout_ms, listener);
                self.apply(now, actions);
            }
            None => {}
        }
    }

    fn server_message(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        message: ServerMessage,
    ) {
        match self.state.connections.get(connection).map(|open| open.purpose) {
            Some(ConnectionPurpose::Attempt(attempt)) => {
                self.attempt_message(now, server, connection, attempt, message);
            }
            Some(ConnectionPurpose::HealthCheck(check)) => {
                self.state.connections.close(connection);
                self.health_check_message(now, server, check, &message);
            }
            None => {}
        }
    }

    fn health_check_message(
        &mut self,
        now: Timestamp,
        server: usize,
        check: HealthCheck,
        message: &ServerMessage,
    ) {
        let (outcome, load_report) = match message {
            ServerMessage::HealthReport(report) => {
                (AttemptOutcome::Succeeded, vec![report.sessions as f64, report.utilization, report.load])
            }
            _ => (AttemptOutcome::Reset, Vec::new()),
        };
        let took = now + ONE_WAY_DELAY - check.sent_at;
        let engine = &mut self.state.proxies[check.proxy].engine;
        engine.health_checked(
            engine_time(now),
            endpoint_of(server),
            outcome,
            engine_duration(took),
            &load_report,
        );
    }

    fn attempt_message(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        attempt: Attempt,
        message: ServerMessage,
    ) {
        let engine = &mut self.state.proxies[attempt.proxy].engine;
        match message {
            ServerMessage::Accepted => {
                engine.established(engine_time(now), attempt.session, attempt.number);
                self.attempt_accepted(now, server, connection, attempt);
            }
            ServerMessage::HealthReport(_) => {}
            ServerMessage::Load(load) => {
                let observation = Observation::Load(load);
                engine.observe(engine_time(now), attempt.session, attempt.number, observation);
            }
            ServerMessage::Message(payload) => {
                let number = u64::from_le_bytes(payload.try_into().unwrap_or_default());
                self.state.send_to_client(now, attempt.id, ClientMessage::Message(number));
            }
            ServerMessage::AtCapacity => self.connection_ended(now, connection, AttemptOutcome::AtCapacity),
            ServerMessage::Failed => self.connection_ended(now, connection, AttemptOutcome::Failed),
            ServerMessage::Reset => self.connection_ended(now, connection, AttemptOutcome::Reset),
            ServerMessage::Migrate => self.connection_ended(now, connection, AttemptOutcome::Cancelled),
        }
    }

    fn attempt_accepted(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        attempt: Attempt,
    ) {
        let id = attempt.id;
        let Some(session) = self.state.sessions.get_mut(&id) else { return };
        session.established_on = Some(connection);
        shutdown::schedule_migration(&mut self.state, now, attempt.proxy, id);
        let accepted = EventKind::AttemptEnded { id, server, connection, end: AttemptEnd::Accepted };
        self.state.model.event_log.record(now, accepted);
        self.state.send_to_client(now, id, ClientMessage::Response(ClientResponse::Accepted));
    }

    /// Handles the end of an attempt, a health check or the connection of an established session.
    fn connection_ended(&mut self, now: Timestamp, connection: ConnectionId, outcome: AttemptOutcome) {
        let Some(OpenConnection { server, purpose }) = self.state.connections.get(connection) else { return };
        match purpose {
            ConnectionPurpose::Attempt(attempt) => {
                self.attempt_ended(now, server, connection, attempt, outcome)
            }
            ConnectionPurpose::HealthCheck(check) => {
                self.state.connections.close(connection);
                let took = now - check.sent_at;
                let engine = &mut self.state.proxies[check.proxy].engine;
                engine.health_checked(
                    engine_time(now),
                    endpoint_of(server),
                    outcome,
                    engine_duration(took),
                    &[],
                );
            }
        }
    }

    fn attempt_ended(
        &mut self,
        now: Timestamp,
        server: usize,
        connection: ConnectionId,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) {
        let Attempt { proxy, session, id, .. } = attempt;
        let proxy_session = self.state.sessions.get_mut(&id);
        let established =
            proxy_session.as_ref().is_some_and(|session| session.established_on == Some(connection));
        if outcome == AttemptOutcome::TimedOut && established {
            return;
        }
        if let Some(proxy_session) = proxy_session {
            proxy_session.connection = None;
            proxy_session.may_have_run |= !outcome.proves_not_run();
        }
        self.state.connections.close(connection);
        if let Some(end) = attempt_end(outcome) {
            self.state.model.attempt_ended(now, server, connection, id, end);
        }
        let engine = &mut self.state.proxies[proxy].engine;
        let action = engine.attempt_ended(engine_time(now), session, attempt.number, outcome, established);
        if let Some(action) = action {
            self.state.apply_proxy_action(now, proxy, action);
        } else if established && self.state.proxies[proxy].sessions.remove(&session).is_some() {
            let migrated = outcome == AttemptOutcome::Cancelled;
            let message = if migrated { ClientMessage::Migrate } else { ClientMessage::ConnectionEnded };
            self.state.send_to_client(now, id, message);
        }
    }
}

fn session_request(request: &ClientRequest) -> SessionRequest {
    SessionRequest {
        listener: request.listener,
        group_key: request.group,
        client_key: request.key,
        dial_timeout: engine_duration(request.dial_timeout),
        established: false,
        reconnecting: request.reconnecting,
        client_retry: request.retry,
    }
}

/// Returns the end of an attempt as the event log has it, or `None` if the server never received the attempt.
fn attempt_end(outcome: AttemptOutcome) -> Option<AttemptEnd> {
    match outcome {
        AttemptOutcome::AtCapacity => Some(AttemptEnd::Rejected),
        AttemptOutcome::Failed => Some(AttemptEnd::Failed),
        AttemptOutcome::Reset => Some(AttemptEnd::Reset),
        AttemptOutcome::Cancelled => Some(AttemptEnd::Migrated),
        AttemptOutcome::TimedOut => Some(AttemptEnd::Abandoned),
        _ => None,
    }
}
