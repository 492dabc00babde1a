//! Sessions and their state machine.

use std::ops::{Index, IndexMut};

use slab::Slab;

use crate::event::{AttemptOutcome, SessionRequest};
use crate::ids::{EndpointIndex, SessionHandle};
use crate::slow_start::SlowStartTurn;
use crate::time::{TickDuration, Timestamp};

/// Health checks that one session may wait for.
const MAX_HEALTH_CHECKS: u32 = 3;

/// The state of a session.
///
/// - `Queued` -> `Connecting` -> `Established`: an attempt without a health check before it.
/// - `Queued` -> `AwaitingHealthCheck` -> `Connecting`: the check comes first. After it the endpoint is chosen
///   again, so another check may follow, up to `MAX_HEALTH_CHECKS`.
/// - `Connecting` -> `Queued`: the attempt ended without success, and the session is not over.
/// - `Established` -> `Queued`: the connection ended, and the caller reports that the session is not over
///   (`session_over` is false in [`Balancer::attempt_ended`](crate::Balancer::attempt_ended)).
///
/// A session that is over, or has its final answer, is removed from the table in any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// It has no endpoint; a decision is due.
    Queued,
    /// Its endpoint is being health-checked before its first attempt.
    AwaitingHealthCheck,
    /// An attempt is in flight.
    Connecting,
    /// It is established on its endpoint.
    Established,
}

/// The first attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) endpoint: EndpointIndex,
    pub(crate) started_at: Timestamp,
}

/// One session, from its request until its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    request: SessionRequest,
    bucket: u64,
    /// When its client gives up.
    deadline: Timestamp,
    state: SessionState,
    /// The endpoint of its latest attempt or health check.
    endpoint: EndpointIndex,
    /// When its latest attempt or health check started; first when it was received.
    started_at: Timestamp,
    attempts: u32,
    /// Health checks that it has waited for.
    health_checks: u32,
    /// In mean session loads: as reported, else its listener's mean.
    load: f64,
    slow_start_turn: SlowStartTurn,
    possible_run: Option<PossibleRun>,
}

impl Session {
    pub(crate) fn new(now: Timestamp, request: SessionRequest, bucket: u64, load: f64) -> Self {
        Self {
            request,
            bucket,
            deadline: now + request.dial_timeout,
            state: SessionState::Queued,
            endpoint: EndpointIndex(0),
            started_at: now,
            attempts: 0,
            health_checks: 0,
            load,
            slow_start_turn: SlowStartTurn::default(),
            possible_run: None,
        }
    }

    /// Gives it its turn at endpoints in slow start.
    pub(crate) fn set_slow_start_turn(&mut self, turn: SlowStartTurn) {
        self.slow_start_turn = turn;
    }

    /// It was established by another process of this proxy.
    pub(crate) fn adopt(&mut self, endpoint: EndpointIndex) {
        self.state = SessionState::Established;
        self.endpoint = endpoint;
        self.attempts = 1;
    }

    /// It waits for a health check of the endpoint.
    pub(crate) fn await_health_check(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        self.state = SessionState::AwaitingHealthCheck;
        self.endpoint = endpoint;
        self.started_at = now;
        self.health_checks += 1;
    }

    /// It waits for no further health check.
    pub(crate) fn give_up_health_checks(&mut self) {
        self.health_checks = MAX_HEALTH_CHECKS;
    }

    /// An attempt at the endpoint starts.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        self.state = SessionState::Connecting;
        self.endpoint = endpoint;
        self.started_at = now;
        self.attempts += 1;
    }

    /// The attempt in flight has succeeded.
    pub(crate) fn establish(&mut self) {
        self.state = SessionState::Established;
    }

    /// Its attempt or its connection has ended.
    pub(crate) fn end_attempt(&mut self, outcome: AttemptOutcome) {
        self.state = SessionState::Queued;
        if !outcome.never_ran() {
            let run = PossibleRun { endpoint: self.endpoint, started_at: self.started_at };
            self.possible_run.get_or_insert(run);
        }
    }

    /// Sets its load, in mean session loads, and returns the change.
    pub(crate) fn set_load(&mut self, load: f64) -> f64 {
        let change = load - self.load;
        self.load = load;
        change
    }

    pub(crate) fn request(&self) -> &SessionRequest {
        &self.request
    }

    pub(crate) fn bucket(&self) -> u64 {
        self.bucket
    }

    /// When its client gives up.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// How long its client still waits.
    pub(crate) fn time_left(&self, now: Timestamp) -> TickDuration {
        self.deadline.saturating_since(now)
    }

    pub(crate) fn state(&self) -> SessionState {
        self.state
    }

    /// The endpoint of its latest attempt or health check.
    pub(crate) fn endpoint(&self) -> EndpointIndex {
        self.endpoint
    }

    /// When its latest attempt or health check started.
    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// In mean session loads.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    pub(crate) fn slow_start_turn(&self) -> SlowStartTurn {
        self.slow_start_turn
    }

    /// The first attempt that may have run; none if it certainly had no effect so far.
    pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
        self.possible_run
    }

    pub(crate) fn may_await_health_check(&self) -> bool {
        self.health_checks < MAX_HEALTH_CHECKS
    }

    /// Whether it has waited for a health check of the endpoint and made no attempt yet.
    pub(crate) fn has_awaited(&self, endpoint: EndpointIndex) -> bool {
        self.health_checks > 0 && self.attempts == 0 && self.endpoint == endpoint
    }

    /// Whether its next attempt resumes a connection that was established through another proxy. That asks
    /// nothing of the session store.
    pub(crate) fn resumes_established(&self) -> bool {
        self.request.established && self.attempts == 0
    }

    /// Whether its latest attempt asked the session store for a handshake.
    pub(crate) fn used_session_store(&self) -> bool {
        !self.request.established || self.attempts > 1
    }
}

/// All sessions, by their handle.
#[derive(Debug, Default)]
pub(crate) struct SessionTable {
    sessions: Slab<Session>,
}

impl SessionTable {
    pub(crate) fn insert(&mut self, session: Session) -> SessionHandle {
        SessionHandle(self.sessions.insert(session))
    }

    pub(crate) fn get_mut(&mut self, handle: SessionHandle) -> Option<&mut Session> {
        self.sessions.get_mut(handle.0)
    }

    pub(crate) fn remove(&mut self, handle: SessionHandle) -> Option<Session> {
        self.sessions.try_remove(handle.0)
    }

    fn iter(&self) -> impl Iterator<Item = (SessionHandle, &Session)> {
        self.sessions.iter().map(|(number, session)| (SessionHandle(number), session))
    }

    /// The sessions that have an attempt in flight.
    pub(crate) fn connecting(&self) -> impl Iterator<Item = (SessionHandle, &Session)> {
        self.iter().filter(|(_, session)| session.state == SessionState::Connecting)
    }

    /// The sessions that are established on an endpoint.
    pub(crate) fn established_on(
        &self,
        endpoint: EndpointIndex,
    ) -> impl Iterator<Item = (SessionHandle, &Session)> {
        self.iter().filter(move |(_, session)| {
            session.state == SessionState::Established && session.endpoint == endpoint
        })
    }
}

// A handle that is used as an index was inserted or found in the same call and not removed since.
impl Index<SessionHandle> for SessionTable {
    type Output = Session;

    fn index(&self, handle: SessionHandle) -> &Session {
        &self.sessions[handle.0]
    }
}

impl IndexMut<SessionHandle> for SessionTable {
    fn index_mut(&mut self, handle: SessionHandle) -> &mut Session {
        &mut self.sessions[handle.0]
    }
}
