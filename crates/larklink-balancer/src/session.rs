//! The sessions of a proxy and their state machine.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

use slab::Slab;

use crate::event::{AttemptOutcome, SessionRequest};
use crate::ids::{EndpointIndex, SessionHandle};
use crate::slow_start::SlowStartArrival;
use crate::time::{TickDuration, Timestamp};

/// The maximum number of health checks that a session waits for.
const MAX_HEALTH_CHECKS: u32 = 3;

/// The state of a session.
///
/// - `Queued` -> `Connecting` -> `Established`: the attempt needs no health check first.
/// - `Queued` -> `AwaitingHealthCheck` -> `Connecting`: a health check comes first. The endpoint is chosen
///   again after it, so further checks may follow, up to `MAX_HEALTH_CHECKS`.
/// - `Connecting` -> `Queued`: the attempt ended without success, and the session is not over.
/// - `Established` -> `Queued`: the connection ended, and the caller reports that the session is not over
///   (`session_over` is false in [`Balancer::attempt_ended`](crate::Balancer::attempt_ended)).
///
/// A session that is adopted from the predecessor starts as `Established`.
///
/// A session that is over or has got its final decision is removed from the table, whatever its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// The session has no endpoint and needs a decision.
    Queued,
    /// The endpoint is being health-checked before the first attempt.
    AwaitingHealthCheck,
    /// An attempt is in flight.
    Connecting,
    /// The session is established on its endpoint.
    Established,
}

/// The session's first attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) endpoint: EndpointIndex,
    pub(crate) started_at: Timestamp,
}

/// A session, from its request until it is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    request: SessionRequest,
    bucket: u64,
    /// When the client gives up.
    deadline: Timestamp,
    state: SessionState,
    /// The endpoint of the latest attempt or health check.
    endpoint: EndpointIndex,
    /// When the latest attempt or health check started; before the first one, when the session was received.
    started_at: Timestamp,
    attempts: u32,
    /// The number of health checks that the session has waited for.
    health_checks: u32,
    /// The reported load, or the mean of the listener if none is reported, in mean session loads.
    load: f64,
    slow_start_arrival: SlowStartArrival,
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
            slow_start_arrival: SlowStartArrival::default(),
            possible_run: None,
        }
    }

    /// Sets the arrival data that slow start quotas depend on.
    pub(crate) fn set_slow_start_arrival(&mut self, arrival: SlowStartArrival) {
        self.slow_start_arrival = arrival;
    }

    /// Records that the predecessor established the session.
    pub(crate) fn adopt(&mut self, endpoint: EndpointIndex) {
        self.state = SessionState::Established;
        self.endpoint = endpoint;
        self.attempts = 1;
    }

    /// Starts to wait for a health check of the endpoint.
    pub(crate) fn await_health_check(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        self.state = SessionState::AwaitingHealthCheck;
        self.endpoint = endpoint;
        self.started_at = now;
        self.health_checks += 1;
    }

    /// Prevents the session from waiting for further health checks.
    pub(crate) fn skip_health_checks(&mut self) {
        self.health_checks = MAX_HEALTH_CHECKS;
    }

    /// Starts an attempt at the endpoint.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        self.state = SessionState::Connecting;
        self.endpoint = endpoint;
        self.started_at = now;
        self.attempts += 1;
    }

    /// Records that the attempt in flight has succeeded.
    pub(crate) fn establish(&mut self) {
        self.state = SessionState::Established;
    }

    /// Records that the attempt or the connection has ended.
    pub(crate) fn end_attempt(&mut self, outcome: AttemptOutcome) {
        self.state = SessionState::Queued;
        if !outcome.proves_not_run() {
            let run = PossibleRun { endpoint: self.endpoint, started_at: self.started_at };
            self.possible_run.get_or_insert(run);
        }
    }

    /// Sets the load, in mean session loads, and returns the change.
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

    /// Returns when the client gives up.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns how long the client still waits.
    pub(crate) fn time_left(&self, now: Timestamp) -> TickDuration {
        self.deadline.saturating_since(now)
    }

    pub(crate) fn state(&self) -> SessionState {
        self.state
    }

    /// Returns the endpoint of the latest attempt or health check.
    pub(crate) fn endpoint(&self) -> EndpointIndex {
        self.endpoint
    }

    /// Returns when the latest attempt or health check started.
    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the load in mean session loads.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    pub(crate) fn slow_start_arrival(&self) -> SlowStartArrival {
        self.slow_start_arrival
    }

    /// Returns the first attempt that may have run, or `None` if the session certainly had no effect so far.
    pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
        self.possible_run
    }

    pub(crate) fn may_await_health_check(&self) -> bool {
        self.health_checks < MAX_HEALTH_CHECKS
    }

    /// Returns whether the session has waited for a health check of the endpoint and made no attempt yet.
    pub(crate) fn has_awaited(&self, endpoint: EndpointIndex) -> bool {
        self.health_checks > 0 && self.attempts == 0 && self.endpoint == endpoint
    }

    /// Returns whether the next attempt resumes a connection that was established through another proxy. Such
    /// an attempt does not load the session store.
    pub(crate) fn resumes_established(&self) -> bool {
        self.request.established && self.attempts == 0
    }

    /// Returns whether the latest attempt needed a handshake from the session store.
    pub(crate) fn used_session_store(&self) -> bool {
        !self.request.established || self.attempts > 1
    }
}

/// All sessions, by handle.
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

    /// Returns the endpoints that sessions refer to.
    pub(crate) fn endpoints_in_use(&self) -> BTreeSet<EndpointIndex> {
        let endpoints = |(_, session): (SessionHandle, &Session)| {
            std::iter::once(session.endpoint).chain(session.possible_run.map(|run| run.endpoint))
        };
        self.iter().flat_map(endpoints).collect()
    }

    /// Returns the sessions that have an attempt in flight.
    pub(crate) fn connecting(&self) -> impl Iterator<Item = (SessionHandle, &Session)> {
        self.iter().filter(|(_, session)| session.state == SessionState::Connecting)
    }

    /// Returns the sessions that are established on the endpoint.
    pub(crate) fn established_on(
        &self,
        endpoint: EndpointIndex,
    ) -> impl Iterator<Item = (SessionHandle, &Session)> {
        self.iter().filter(move |(_, session)| {
            session.state == SessionState::Established && session.endpoint == endpoint
        })
    }
}

// Indexing does not panic: a handle used as an index was inserted or found in the same call and not removed.
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
