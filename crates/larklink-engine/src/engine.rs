//! [`Engine`], which wraps the balancer of one proxy and maps its handles to the proxy's ids.
//!
//! The caller reports each event to its [`Engine`] together with the time, carries out the returned
//! [`ProxyAction`]s in order, and calls [`Engine::poll`] after each batch of events and at
//! [`Engine::next_wakeup`].
use std::collections::HashMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, HealthSummary,
    ListScope, LogEvent, Observation, SessionHandle, SessionRequest, TickDuration, Timestamp,
};

use crate::settings::ProxySettings;

/// The id of an endpoint, derived from its name (by `endpoint_id` in `larklink-proxy`). It is the same at
/// every proxy.
pub type EndpointId = u32;

/// The id that the proxy assigns to a session.
pub type SessionId = u32;

/// The number of an attempt within its session, starting from 0.
pub type AttemptNumber = u8;

/// An action for the proxy to carry out, in terms of the proxy's ids.
#[derive(Clone, Debug, PartialEq)]
pub enum ProxyAction {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The session to forward.
        session: SessionId,
        /// The number of this attempt.
        attempt: AttemptNumber,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// How long the attempt may take.
        timeout: TickDuration,
        /// The latest time at which the first byte may be sent.
        send_deadline: Timestamp,
    },
    /// Lower the send deadline of the attempt in flight.
    LimitSendDeadline {
        /// The session of the attempt.
        session: SessionId,
        /// The attempt in flight.
        attempt: AttemptNumber,
        /// The latest time at which the first byte may be sent.
        send_deadline: Timestamp,
    },
    /// Reject a session. It is over.
    Reject {
        /// The session to reject.
        session: SessionId,
        /// How long the client should wait before it retries; 0 to send no Retry-After.
        retry_after: TickDuration,
    },
    /// Fail a session. It is over.
    Fail {
        /// The session to fail.
        session: SessionId,
    },
    /// Migrate an established session by asking its client to reconnect. The session is over.
    Migrate {
        /// The session to migrate.
        session: SessionId,
    },
    /// Check the health of an endpoint.
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list and subscribe to its changes.
    PollEndpointList,
    /// Log an event for operators.
    Log(LogEvent),
}

/// A session that is not over.
#[derive(Clone, Copy, Debug)]
struct OpenSession {
    handle: SessionHandle,
    /// The number of attempts so far.
    attempts: AttemptNumber,
}

/// The balancer of one proxy and the ids of its endpoints and sessions.
pub struct Engine {
    balancer: Balancer,
    listener_count: usize,
    load_position: Option<usize>,
    in_flight_position: Option<usize>,
    endpoints: HashMap<EndpointId, EndpointIndex>,
    endpoint_ids: Vec<EndpointId>,
    /// The indices of forgotten endpoints, to be assigned to new ones.
    free_indices: Vec<EndpointIndex>,
    sessions: HashMap<SessionId, OpenSession>,
    session_ids: HashMap<SessionHandle, SessionId>,
}

impl Engine {
    /// Creates an engine without endpoints. `seed` determines its random choices.
    pub fn new(settings: &ProxySettings, seed: u64, now: Timestamp) -> Self {
        Self {
            balancer: Balancer::new(settings.balancer.clone(), seed, now),
            listener_count: settings.balancer.listeners.len(),
            load_position: settings.load_position,
            in_flight_position: settings.in_flight_position,
            endpoints: HashMap::new(),
            endpoint_ids: Vec::new(),
            free_indices: Vec::new(),
            sessions: HashMap::new(),
            session_ids: HashMap::new(),
        }
    }

    /// Returns whether the settings have a listener with this index. A session of any other listener must not
    /// be opened.
    pub fn has_listener(&self, listener: usize) -> bool {
        listener < self.listener_count
    }

    /// Applies an endpoint list or its changes. The engine sets the index in each entry. Returns the endpoints that are
    /// forgotten, since they were removed long ago and no session uses them.
    pub fn update_endpoints(
        &mut self,
        now: Timestamp,
        scope: ListScope,
        mut entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointId> {
        for entry in &mut entries {
            entry.index = self.endpoint_index(entry.id);
        }
        self.balancer.update_endpoints(now, scope, &entries);
        let forgotten = self.balancer.forget_removed_endpoints(now);
        let ids: Vec<_> = forgotten.iter().map(|index| self.endpoint_ids[index.0]).collect();
        for id in &ids {
            self.endpoints.remove(id);
        }
        self.free_indices.extend(forgotten);
        ids
    }

    /// Returns the state of an endpoint; removed if no list has contained it.
    pub fn endpoint_state(&self, id: EndpointId) -> EndpointState {
        let index = self.endpoints.get(&id);
        index.map_or(EndpointState::Removed, |index| self.balancer.endpoint_state(*index))
    }

    /// Reports that a poll of the endpoint list failed or the subscription to it broke.
    pub fn discovery_failed(&mut self, now: Timestamp) {
        self.balancer.discovery_failed(now);
    }

    /// Reports that this process takes over from the predecessor, an earlier process of the same proxy, which
    /// may still send retries.
    pub fn take_over_from_predecessor(&mut self, now: Timestamp) {
        self.balancer.take_over_from_predecessor(now);
    }

    /// Opens a session that has reached the proxy. Returns the action to take, or `None` if the session must
    /// wait.
    pub fn open_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        request: SessionRequest,
    ) -> Option<ProxyAction> {
        let (handle, decision) = self.balancer.place(now, request);
        self.insert_session(session, OpenSession { handle, attempts: 0 });
        self.apply_decision(session, decision)
    }

    /// Adopts a session that is already established on an endpoint.
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

    /// Reports that the endpoint accepted an attempt and the session is established.
    pub fn established(&mut self, now: Timestamp, session: SessionId, attempt: AttemptNumber) {
        if let Some(handle) = self.handle_of_latest_attempt(session, attempt) {
            self.balancer.established(now, handle);
        }
    }

    /// Reports that an attempt or its connection has ended. Returns the next action, or `None` if the session
    /// is over or must wait.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        session_over: bool,
    ) -> Option<ProxyAction> {
        let handle = self.handle_of_latest_attempt(session, attempt)?;
        match self.balancer.attempt_ended(now, handle, outcome, session_over) {
            Some(decision) => self.apply_decision(session, decision),
            None => {
                self.remove_session(session);
                None
            }
        }
    }

    /// Reports that the client has left and the session is over.
    pub fn client_left(&mut self, session: SessionId) {
        if let Some(&OpenSession { handle, .. }) = self.sessions.get(&session) {
            self.balancer.client_left(handle);
            self.remove_session(session);
        }
    }

    /// Reports an observation of an established session.
    pub fn observe(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        observation: Observation,
    ) {
        if let Some(handle) = self.handle_of_latest_attempt(session, attempt) {
            self.balancer.observe(now, handle, observation);
        }
    }

    /// Reports the result of a health check and how long it `took`. `load_report` holds the values of the
    /// answer in the order of [`ProxySettings::load_report_names`], and is empty if there were none. An
    /// unknown endpoint is ignored.
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
        let utilization = value(self.load_position);
        let sessions = value(self.in_flight_position);
        self.balancer.health_checked(now, endpoint, outcome, took, utilization, sessions);
    }

    /// Counts the listed endpoints, and those of them that are avoided now.
    pub fn health_summary(&self) -> HealthSummary {
        self.balancer.health_summary()
    }

    /// Returns when [`Engine::poll`] must be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.balancer.next_wakeup()
    }

    /// Returns the actions that are due now, other than those that the event methods return.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ProxyAction> {
        let actions = self.balancer.poll(now);
        actions.into_iter().filter_map(|action| self.translate_action(action)).collect()
    }

    fn translate_action(&mut self, action: Action) -> Option<ProxyAction> {
        match action {
            Action::CheckHealth(endpoint) => {
                Some(ProxyAction::CheckHealth { endpoint: self.endpoint_ids[endpoint.0] })
            }
            Action::Migrate(handle) => {
                let session = self.session_ids[&handle];
                self.client_left(session);
                Some(ProxyAction::Migrate { session })
            }
            Action::Decided(handle, decision) => self.apply_decision(self.session_ids[&handle], decision),
            Action::LimitSendDeadline(handle, send_deadline) => {
                let session = self.session_ids[&handle];
                let attempt = self.sessions[&session].attempts - 1;
                Some(ProxyAction::LimitSendDeadline { session, attempt, send_deadline })
            }
            Action::PollEndpointList => Some(ProxyAction::PollEndpointList),
            Action::Log(event) => Some(ProxyAction::Log(event)),
        }
    }

    fn apply_decision(&mut self, session: SessionId, decision: Decision) -> Option<ProxyAction> {
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

    /// Returns the handle of a session if `attempt` is its latest one. An event of an earlier attempt is
    /// ignored.
    fn handle_of_latest_attempt(&self, session: SessionId, attempt: AttemptNumber) -> Option<SessionHandle> {
        let open = self.sessions.get(&session)?;
        (attempt + 1 == open.attempts).then_some(open.handle)
    }

    fn endpoint_index(&mut self, id: EndpointId) -> EndpointIndex {
        *self.endpoints.entry(id).or_insert_with(|| match self.free_indices.pop() {
            Some(index) => {
                self.endpoint_ids[index.0] = id;
                index
            }
            None => {
                self.endpoint_ids.push(id);
                EndpointIndex(self.endpoint_ids.len() - 1)
            }
        })
    }
}
