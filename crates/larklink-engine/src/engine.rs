//! The balancer of one proxy behind ids: what the proxy observes goes in, [`ProxyAction`]s come out.
//!
//! The caller hands each event to its [`Engine`] with the time, carries out the actions that it returns in their order,
//! and calls [`Engine::poll`] after each batch of events and when [`Engine::next_wakeup`] has come.
use std::collections::HashMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, HealthSummary, ListScope,
    LogEvent, Observation, SessionHandle, SessionRequest, TickDuration, Timestamp,
};

use crate::settings::ProxySettings;

/// The id of an endpoint, derived from its name and the same at every proxy.
pub type EndpointId = u32;

/// The id that the proxy gives a session.
pub type SessionId = u32;

/// The number of an attempt within its session, counted from 0.
pub type AttemptNumber = u8;

/// What the proxy is to do, by the ids that came in.
#[derive(Clone, Debug, PartialEq)]
pub enum ProxyAction {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The session to send.
        session: SessionId,
        /// The number of this attempt.
        attempt: AttemptNumber,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// How long the attempt may take.
        timeout: TickDuration,
        /// The latest time at which its first byte may be sent.
        send_deadline: Timestamp,
    },
    /// The attempt in flight may be sent only up to an earlier time.
    LimitSendDeadline {
        /// The session of the attempt.
        session: SessionId,
        /// The attempt in flight.
        attempt: AttemptNumber,
        /// The latest time at which its first byte may be sent.
        send_deadline: Timestamp,
    },
    /// Reject a session; it is over.
    Reject {
        /// The session to reject.
        session: SessionId,
        /// How long its client should wait before it retries; 0 if nothing is to be said.
        retry_after: TickDuration,
    },
    /// Fail a session; it is over.
    Fail {
        /// The session to fail.
        session: SessionId,
    },
    /// Tell the client of an established session to reconnect; the session is over.
    Migrate {
        /// The session to migrate.
        session: SessionId,
    },
    /// Check the health of an endpoint.
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list, and subscribe to its changes.
    PollEndpointList,
    /// Something an operator should know.
    Log(LogEvent),
}

/// A session as the balancer knows it.
#[derive(Clone, Copy, Debug)]
struct OpenSession {
    handle: SessionHandle,
    /// Attempts so far.
    attempts: AttemptNumber,
}

/// The balancer of one proxy, and the ids of its endpoints and sessions.
pub struct Engine {
    balancer: Balancer,
    listeners: usize,
    load_position: Option<usize>,
    in_flight_position: Option<usize>,
    endpoints: HashMap<EndpointId, EndpointIndex>,
    endpoint_ids: Vec<EndpointId>,
    sessions: HashMap<SessionId, OpenSession>,
    session_ids: HashMap<SessionHandle, SessionId>,
}

impl Engine {
    /// An engine with no endpoints yet; `seed` makes its random choices repeatable.
    pub fn new(settings: &ProxySettings, seed: u64, now: Timestamp) -> Self {
        Self {
            balancer: Balancer::new(settings.settings.clone(), seed, now),
            listeners: settings.settings.listeners.len(),
            load_position: settings.load_position,
            in_flight_position: settings.in_flight_position,
            endpoints: HashMap::new(),
            endpoint_ids: Vec::new(),
            sessions: HashMap::new(),
            session_ids: HashMap::new(),
        }
    }

    /// Whether the settings have a listener at this place; a session of any other must not be opened.
    pub fn has_listener(&self, listener: usize) -> bool {
        listener < self.listeners
    }

    /// The endpoint list, or what changed in it. The index in each entry is filled in here.
    pub fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, mut entries: Vec<EndpointEntry>) {
        for entry in &mut entries {
            entry.endpoint = self.endpoint_index(entry.id);
        }
        self.balancer.update_endpoints(now, scope, &entries);
    }

    /// A poll of the endpoint list failed, or its subscription broke.
    pub fn discovery_failed(&mut self, now: Timestamp) {
        self.balancer.discovery_failed(now);
    }

    /// This process takes over from another one of the same proxy, which may still make attempts.
    pub fn take_over(&mut self, now: Timestamp) {
        self.balancer.take_over(now);
    }

    /// A session has come in: returns what to do with it, or nothing if it has to wait.
    pub fn open_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        request: SessionRequest,
    ) -> Option<ProxyAction> {
        let (handle, decision) = self.balancer.place(now, request);
        self.insert_session(session, OpenSession { handle, attempts: 0 });
        self.decided(session, decision)
    }

    /// A session that is established at an endpoint already.
    pub fn adopt_established(
        &mut self,
        now: Timestamp,
        session: SessionId,
        request: SessionRequest,
        endpoint: EndpointId,
    ) {
        let endpoint = self.endpoint_index(endpoint);
        let handle = self.balancer.adopt_established(now, request, endpoint);
        self.insert_session(session, OpenSession { handle, attempts: 1 });
    }

    /// An attempt was accepted by its endpoint: the session is established.
    pub fn established(&mut self, now: Timestamp, session: SessionId, attempt: AttemptNumber) {
        if let Some(handle) = self.latest_attempt(session, attempt) {
            self.balancer.established(now, handle);
        }
    }

    /// An attempt or its connection ended. Returns what comes next, unless the session is over with it.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        session_over: bool,
    ) -> Option<ProxyAction> {
        let handle = self.latest_attempt(session, attempt)?;
        match self.balancer.attempt_ended(now, handle, outcome, session_over) {
            Some(decision) => self.decided(session, decision),
            None => {
                self.remove_session(session);
                None
            }
        }
    }

    /// The client has left; the session is over.
    pub fn client_left(&mut self, session: SessionId) {
        if let Some(&OpenSession { handle, .. }) = self.sessions.get(&session) {
            self.balancer.client_left(handle);
            self.remove_session(session);
        }
    }

    /// Something was observed of an established session.
    pub fn observe(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        observation: Observation,
    ) {
        if let Some(handle) = self.latest_attempt(session, attempt) {
            self.balancer.observe(now, handle, observation);
        }
    }

    /// A health check ended after `took`; `load_report` has the values of its answer in the order of the settings,
    /// and is empty if there were none.
    pub fn health_checked(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        took: TickDuration,
        load_report: &[f64],
    ) {
        let Some(&endpoint) = self.endpoints.get(&endpoint) else { return };
        let value = |position: Option<usize>| {
            let value = position.and_then(|position| load_report.get(position));
            value.copied().unwrap_or(0.0)
        };
        let load = value(self.load_position);
        let in_flight = value(self.in_flight_position);
        self.balancer.health_checked(now, endpoint, outcome, took, load, in_flight);
    }

    /// How many endpoints the list has, and how many of them are avoided now.
    pub fn health_summary(&self) -> HealthSummary {
        self.balancer.health_summary()
    }

    /// When [`Engine::poll`] has to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.balancer.next_wakeup()
    }

    /// What is due now apart from the answers to events.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ProxyAction> {
        let actions = self.balancer.poll(now);
        actions.into_iter().filter_map(|action| self.translate(action)).collect()
    }

    fn translate(&mut self, action: Action) -> Option<ProxyAction> {
        match action {
            Action::CheckHealth(endpoint) => {
                Some(ProxyAction::CheckHealth { endpoint: self.endpoint_ids[endpoint.0] })
            }
            Action::Migrate(handle) => {
                let session = self.session_ids[&handle];
                self.client_left(session);
                Some(ProxyAction::Migrate { session })
            }
            Action::Decided(handle, decision) => self.decided(self.session_ids[&handle], decision),
            Action::LimitSendDeadline(handle, send_deadline) => {
                let session = self.session_ids[&handle];
                let attempt = self.sessions[&session].attempts - 1;
                Some(ProxyAction::LimitSendDeadline { session, attempt, send_deadline })
            }
            Action::PollEndpointList => Some(ProxyAction::PollEndpointList),
            Action::Log(event) => Some(ProxyAction::Log(event)),
        }
    }

    fn decided(&mut self, session: SessionId, decision: Decision) -> Option<ProxyAction> {
        match decision {
            Decision::Wait => None,
            Decision::Connect { endpoint, timeout, send_deadline } => {
                let open = self.sessions.get_mut(&session)?;
                let attempt = open.attempts;
                open.attempts += 1;
                let endpoint = self.endpoint_ids[endpoint.0];
                Some(ProxyAction::Connect { session, attempt, endpoint, timeout, send_deadline })
            }
            Decision::Reject { retry_after } => {
                self.remove_session(session);
                Some(ProxyAction::Reject { session, retry_after })
            }
            Decision::Fail => {
                self.remove_session(session);
                Some(ProxyAction::Fail { session })
            }
        }
    }

    fn insert_session(&mut self, session: SessionId, open: OpenSession) {
        self.sessions.insert(session, open);
        self.session_ids.insert(open.handle, session);
    }

    fn remove_session(&mut self, session: SessionId) {
        if let Some(open) = self.sessions.remove(&session) {
            self.session_ids.remove(&open.handle);
        }
    }

    /// The handle of a session if this is its latest attempt; what is said of any other is ignored.
    fn latest_attempt(&self, session: SessionId, attempt: AttemptNumber) -> Option<SessionHandle> {
        let open = self.sessions.get(&session)?;
        (attempt + 1 == open.attempts).then_some(open.handle)
    }

    fn endpoint_index(&mut self, id: EndpointId) -> EndpointIndex {
        *self.endpoints.entry(id).or_insert_with(|| {
            self.endpoint_ids.push(id);
            EndpointIndex(self.endpoint_ids.len() - 1)
        })
    }
}
