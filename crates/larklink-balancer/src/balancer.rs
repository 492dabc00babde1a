//! [`Balancer`], the entry point of the crate: it combines the other modules.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::action::{Action, Decision, HealthSummary, LogEvent};
use crate::bucket_table::{self, BUCKET_COUNT, BucketPopulation, BucketTable};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::discovery_schedule::DiscoverySchedule;
use crate::endpoint::EndpointSet;
use crate::event::{AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest};
use crate::ids::{EndpointIndex, SessionHandle};
use crate::load::{ReportedCapacity, SessionLoads};
use crate::migration::{self, MigrationBudget, ReliefSelection};
use crate::outlier::EvidenceSource;
use crate::placement::Placement;
use crate::random::random_duration;
use crate::retry_budget::RetryBudget;
use crate::retry_policy;
use crate::session::{Session, SessionState, SessionTable};
use crate::settings::Settings;
use crate::slow_start::SessionArrivals;
use crate::time::{TickDuration, Timestamp};

/// Assigns the sessions of one proxy to endpoints. The [crate documentation](crate) describes how to use it.
///
/// Callers pass the current time to each method. It must not decrease from call to call.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: ChaCha8Rng,
    endpoints: EndpointSet,
    sessions: SessionTable,
    bucket_table: BucketTable,
    population: BucketPopulation,
    session_loads: SessionLoads,
    reported_capacity: ReportedCapacity,
    arrivals: SessionArrivals,
    concurrency_limit: ConcurrencyLimit,
    retry_budget: RetryBudget,
    migration_budget: MigrationBudget,
    discovery: DiscoverySchedule,
    /// Whether the endpoint list was updated since the last poll.
    list_changed: bool,
    /// The sessions that wait for the result of a health check, in order of arrival.
    awaiting_health_check: Vec<SessionHandle>,
    /// When [`Balancer::run_maintenance`] is next due.
    next_maintenance_at: Timestamp,
    /// The actions that the next poll returns.
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer without endpoints. `seed` determines its random choices; each proxy needs its own.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random, so that proxies that start together do not run maintenance in lockstep.
        let next_maintenance_at =
            now + random_duration(TickDuration::ZERO..=settings.connect_timeout, &mut rng);
        Self {
            rng,
            endpoints: EndpointSet::new(&settings),
            sessions: SessionTable::default(),
            bucket_table: BucketTable::default(),
            population: BucketPopulation::new(),
            session_loads: SessionLoads::new(settings.listeners.len()),
            reported_capacity: ReportedCapacity::new(),
            arrivals: SessionArrivals::new(now),
            concurrency_limit: ConcurrencyLimit::new(&settings, now),
            retry_budget: RetryBudget::new(&settings),
            migration_budget: MigrationBudget::new(),
            discovery: DiscoverySchedule::new(&settings, now),
            list_changed: false,
            awaiting_health_check: Vec::new(),
            next_maintenance_at,
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies an endpoint list or its changes.
    pub fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, entries: &[EndpointEntry]) {
        self.endpoints.update(now, scope, entries);
        self.bucket_table.clear();
        self.discovery.record_list(scope);
        self.list_changed = true;
    }

    /// Returns the state of an endpoint; removed if no list has contained it.
    pub fn endpoint_state(&self, endpoint: EndpointIndex) -> EndpointState {
        if endpoint.0 < self.endpoints.len() {
            self.endpoints[endpoint].entry().state
        } else {
            EndpointState::Removed
        }
    }

    /// Forgets what is known of endpoints that were removed from the list at least a minute ago and that no
    /// session uses, if there are many of them. Returns their indices, which may be assigned to other endpoints.
    pub fn forget_removed_endpoints(&mut self, now: Timestamp) -> Vec<EndpointIndex> {
        if !self.endpoints.has_excess_removed() {
            return Vec::new();
        }
        self.endpoints.forget_removed(now, &self.sessions.endpoints_in_use())
    }

    /// Reports that a poll of the endpoint list failed or the subscription to it broke.
    pub fn discovery_failed(&mut self, now: Timestamp) {
        self.discovery.record_failure(now, &mut self.rng);
    }

    /// Adopts a session that the predecessor, an earlier process of this proxy, has established on an
    /// endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the settings have no listener with the request's index.
    pub fn adopt_established(
        &mut self,
        now: Timestamp,
        request: SessionRequest,
        endpoint: EndpointIndex,
    ) -> SessionHandle {
        let handle = self.insert_session(now, request);
        let session = &mut self.sessions[handle];
        session.adopt(endpoint);
        self.endpoints.get_or_insert(endpoint).load.add_session(now, session.load());
        handle
    }

    /// Reports that the predecessor received this proxy's sessions until now. It may still send retries for
    /// them, which count towards the retry budget.
    pub fn take_over_from_predecessor(&mut self, now: Timestamp) {
        self.retry_budget.take_over_from_predecessor(now, self.settings.max_dial_timeout);
    }

    /// Accepts a session that has reached this proxy and decides on it.
    ///
    /// # Panics
    ///
    /// Panics if the settings have no listener with the request's index.
    pub fn place(&mut self, now: Timestamp, request: SessionRequest) -> (SessionHandle, Decision) {
        let handle = self.insert_session(now, request);
        self.retry_budget.record_session(now);
        let arrival = self.arrivals.record(now, self.settings.overload_window, &mut self.rng);
        self.sessions[handle].set_slow_start_arrival(arrival);
        (handle, self.decide(now, handle))
    }

    /// Reports that an attempt or a connection has ended. Returns the next decision on the session, or `None`
    /// if it is over. The handle is invalid once the session is over or the decision is final (Reject or
    /// Fail).
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        handle: SessionHandle,
        outcome: AttemptOutcome,
        session_over: bool,
    ) -> Option<Decision> {
        let session = self.sessions.get_mut(handle)?;
        let ended = *session;
        session.end_attempt(outcome);
        self.release_endpoint(&ended);
        if matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::TimedOut) {
            // Counted with the whole dial timeout, as the session store may still process the handshake.
            // Resumed and established sessions are counted too.
            self.record_attempt(now, &ended, outcome, ended.request().dial_timeout);
        }
        let endpoint = &mut self.endpoints[ended.endpoint()];
        endpoint.outlier.record_outcome(now, outcome, EvidenceSource::Session);
        if outcome == AttemptOutcome::NotSent && ended.attempts() > 1 {
            self.retry_budget.refund(ended.started_at());
        }
        if session_over {
            self.remove_session(handle);
            return None;
        }
        Some(self.decide(now, handle))
    }

    /// Reports that the attempt in flight has succeeded and the session is established.
    pub fn established(&mut self, now: Timestamp, handle: SessionHandle) {
        let Some(session) = self.sessions.get_mut(handle) else { return };
        session.establish();
        let established = *session;
        self.concurrency_limit.attempt_completed();
        self.endpoints[established.endpoint()].outlier.record_response(now);
        if established.used_session_store() {
            let took = now - established.started_at();
            self.record_attempt(now, &established, AttemptOutcome::Succeeded, took);
        }
    }

    /// Reports that the client has left or was migrated, and that the session is over.
    pub fn client_left(&mut self, handle: SessionHandle) {
        let Some(session) = self.remove_session(handle) else { return };
        if matches!(session.state(), SessionState::Connecting | SessionState::Established) {
            self.release_endpoint(&session);
        }
    }

    /// Reports an observation of an established session.
    pub fn observe(&mut self, now: Timestamp, handle: SessionHandle, observation: Observation) {
        let Some(session) = self.sessions.get_mut(handle) else { return };
        let endpoint = &mut self.endpoints[session.endpoint()];
        match observation {
            Observation::Unresponsive => endpoint.outlier.record_unanswered_message(),
            Observation::Load(load) => {
                let load = self.session_loads.record(session.request().listener, load);
                endpoint.load.change_session_load(session.set_load(load));
                endpoint.outlier.record_success(now, session.started_at());
            }
            Observation::MessageLatency(latency) if latency > self.settings.max_dial_timeout => {
                endpoint.outlier.record_unusable_latency(now);
            }
            Observation::MessageLatency(latency) => {
                endpoint.outlier.record_success(now, session.started_at());
                endpoint.load.record_message_latency(now, latency, self.settings.message_objective / 2);
            }
        }
    }

    /// Reports the result of a health check and how long it `took`. If health checks report load,
    /// `utilization` is the endpoint's load over its capacity and `sessions` is the number of its sessions
    /// from all proxies. A value that is not reported is 0.
    pub fn health_checked(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        took: TickDuration,
        utilization: f64,
        sessions: f64,
    ) {
        self.endpoints.get_or_insert(endpoint);
        let weight = self.endpoints.weight(&self.endpoints[endpoint]);
        let endpoint = &mut self.endpoints[endpoint];
        if endpoint.age(now) >= self.settings.slow_start_duration {
            self.reported_capacity.record(sessions, utilization, weight);
        }
        endpoint.health_check.finish();
        if outcome == AttemptOutcome::Succeeded {
            let slow = took > self.settings.message_objective / 2;
            endpoint.load.record_health_check(now, utilization, slow, self.settings.load_reports);
        }
        endpoint.outlier.record_outcome(now, outcome, EvidenceSource::HealthCheck);
    }

    /// Counts the listed endpoints, and those of them that are avoided now.
    pub fn health_summary(&self) -> HealthSummary {
        self.endpoints.health_summary()
    }

    /// Returns when [`Balancer::poll`] must be called next, if no other method is called before.
    pub fn next_wakeup(&self) -> Timestamp {
        self.discovery.next_poll_at().min(self.next_maintenance_at)
    }

    /// Returns the actions that the proxy must carry out now, in order. Must be called after every other
    /// method that takes `&mut self`, and at [`Balancer::next_wakeup`].
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        if std::mem::take(&mut self.list_changed) {
            self.limit_send_deadlines(now);
        }
        self.decide_after_health_checks(now);
        if self.discovery.take_due_poll(now) {
            self.actions.push(Action::PollEndpointList);
        }
        if self.next_maintenance_at <= now {
            self.next_maintenance_at = now + self.settings.connect_timeout;
            self.run_maintenance(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Lowers the send deadlines of attempts in flight to endpoints that are draining or, if removal is
    /// binding, removed.
    fn limit_send_deadlines(&mut self, now: Timestamp) {
        for (handle, session) in self.sessions.connecting() {
            let endpoint = &self.endpoints[session.endpoint()];
            if endpoint.is_closed(&self.settings) {
                let deadline =
                    retry_policy::send_deadline_once_closed(now, session, endpoint, &self.settings);
                self.actions.push(Action::LimitSendDeadline(handle, deadline));
            }
        }
    }

    /// Decides on the sessions whose health check has a result or has taken longer than a connect timeout.
    fn decide_after_health_checks(&mut self, now: Timestamp) {
        for handle in std::mem::take(&mut self.awaiting_health_check) {
            let Some(session) = self.sessions.get_mut(handle) else { continue };
            if session.state() != SessionState::AwaitingHealthCheck {
                continue;
            }
            if self.endpoints[session.endpoint()].health_check.is_pending() {
                if now < session.started_at() + self.settings.connect_timeout {
                    self.awaiting_health_check.push(handle);
                    continue;
                }
                session.skip_health_checks();
            }
            let decision = self.decide(now, handle);
            self.actions.push(Action::Decided(handle, decision));
        }
    }

    /// Decays failures, grows load limits, replenishes the migration budget, checks health and migrates
    /// sessions. Runs once per connect timeout.
    fn run_maintenance(&mut self, now: Timestamp) {
        let elapsed = self.settings.connect_timeout;
        self.migration_budget.replenish(elapsed);
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[EndpointIndex(index)];
            endpoint.outlier.decay(elapsed);
            endpoint.load.grow_limit(elapsed);
            self.check_health_if_due(now, EndpointIndex(index));
            let endpoint = &self.endpoints[EndpointIndex(index)];
            let must_evacuate = endpoint.outlier.is_ejected() || endpoint.is_closed(&self.settings);
            if must_evacuate && endpoint.load.sessions() > 0 {
                self.evacuate(now, EndpointIndex(index));
            } else if endpoint.is_ready() && endpoint.load.relief_is_due(now) {
                self.relieve(now, EndpointIndex(index));
            }
        }
    }

    fn check_health_if_due(&mut self, now: Timestamp, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        let due_at = endpoint.health_check.next_check_at(
            &self.settings,
            &endpoint.outlier,
            &endpoint.load,
            &mut self.rng,
        );
        let worth_checking = endpoint.load.sessions() > 0 || endpoint.outlier.has_consecutive_failures();
        let may_check = self.settings.health_checks && !endpoint.is_closed(&self.settings);
        if may_check && worth_checking && due_at <= now {
            endpoint.health_check.start(now);
            self.actions.push(Action::CheckHealth(index));
        }
    }

    /// Migrates sessions off an ejected or closed endpoint.
    fn evacuate(&mut self, now: Timestamp, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.outlier.take_ejection() {
            let endpoint_id = endpoint.entry().id;
            let sessions = endpoint.load.sessions();
            self.actions.push(Action::Log(LogEvent::EndpointEjected { endpoint_id, sessions }));
        }
        let count = migration::evacuation_count(now, endpoint, &self.settings, &mut self.rng);
        let leaving = self.sessions.established_on(index).take(count);
        self.actions.extend(leaving.map(|(handle, _)| Action::Migrate(handle)));
    }

    /// Migrates sessions off an overloaded endpoint.
    fn relieve(&mut self, now: Timestamp, index: EndpointIndex) {
        let selection = ReliefSelection {
            settings: &self.settings,
            endpoints: &self.endpoints,
            sessions: &self.sessions,
            budget: &mut self.migration_budget,
            capped_concurrency_limit: self.concurrency_limit.capped_at_one(),
            rng: &mut self.rng,
        };
        if let Some(relief) = selection.select(now, index) {
            self.endpoints[index].load.record_relief(now, relief.load);
            self.actions.extend(relief.sessions.into_iter().map(Action::Migrate));
        }
    }

    fn insert_session(&mut self, now: Timestamp, request: SessionRequest) -> SessionHandle {
        // A session with neither key shares no state, so any bucket will do.
        let bucket =
            bucket_table::bucket_of(&request).unwrap_or_else(|| self.rng.random_range(0..BUCKET_COUNT));
        self.population.add(bucket);
        let load = self.session_loads.expected(request.listener);
        self.sessions.insert(Session::new(now, request, bucket, load))
    }

    fn remove_session(&mut self, handle: SessionHandle) -> Option<Session> {
        let session = self.sessions.remove(handle)?;
        self.population.remove(session.bucket());
        Some(session)
    }

    /// Removes the session's attempt or connection from the load of its endpoint and from the attempts in
    /// flight.
    fn release_endpoint(&mut self, session: &Session) {
        if session.state() == SessionState::Connecting {
            self.concurrency_limit.attempt_completed();
        }
        self.endpoints[session.endpoint()].load.remove_session(session.load());
    }

    fn record_attempt(
        &mut self,
        now: Timestamp,
        session: &Session,
        outcome: AttemptOutcome,
        took: TickDuration,
    ) {
        let dial_timeout = session.request().dial_timeout;
        let endpoint = session.endpoint();
        if self.concurrency_limit.record_attempt(now, endpoint, outcome, took, dial_timeout) {
            self.actions.push(Action::Log(LogEvent::AttemptsLimited));
        }
    }

    /// Decides on a queued session: an attempt, a health check before it, or the final decision.
    fn decide(&mut self, now: Timestamp, handle: SessionHandle) -> Decision {
        let session = self.sessions[handle];
        let Some(endpoint) = self.select_endpoint(now, &session) else {
            self.concurrency_limit.record_final_decision();
            self.remove_session(handle);
            let limited = self.concurrency_limit.is_below_one();
            return retry_policy::final_decision(now, &session, &self.settings, limited, &mut self.rng);
        };
        let chosen = &self.endpoints[endpoint];
        let must_wait = chosen.health_check.must_precede_attempt(
            now,
            &self.settings,
            &session,
            &chosen.outlier,
            &chosen.load,
        );
        if must_wait {
            self.await_health_check(now, handle, endpoint);
            return Decision::Wait;
        }
        self.start_attempt(now, handle, endpoint)
    }

    /// Selects the endpoint for the session's next attempt. `None` if no endpoint admits the session, or if a
    /// limit on attempts or retries forbids it.
    fn select_endpoint(&mut self, now: Timestamp, session: &Session) -> Option<EndpointIndex> {
        let admitted = retry_policy::has_attempt_left(now, session, &self.settings)
            && (session.resumes_established() || self.concurrency_limit.admits(now, &mut self.rng));
        if !admitted {
            return None;
        }
        let placement = Placement {
            settings: &self.settings,
            endpoints: &mut self.endpoints,
            population: &self.population,
            reported_capacity: &self.reported_capacity,
            migration_budget: &self.migration_budget,
            rng: &mut self.rng,
        };
        let endpoint = placement.choose(now, session, &mut self.bucket_table)?;
        if session.attempts() == 0 {
            return Some(endpoint);
        }
        let value = retry_policy::retry_value(now, session, &self.endpoints[endpoint], &self.settings);
        self.retry_budget.try_acquire(now, value).then_some(endpoint)
    }

    fn await_health_check(&mut self, now: Timestamp, handle: SessionHandle, index: EndpointIndex) {
        self.sessions[handle].await_health_check(now, index);
        self.awaiting_health_check.push(handle);
        let health_check = &mut self.endpoints[index].health_check;
        if !health_check.is_pending() {
            health_check.start(now);
            self.actions.push(Action::CheckHealth(index));
        }
    }

    fn start_attempt(&mut self, now: Timestamp, handle: SessionHandle, index: EndpointIndex) -> Decision {
        let session = &mut self.sessions[handle];
        let endpoint = &mut self.endpoints[index];
        let timeout = retry_policy::attempt_timeout(now, session, endpoint, &self.settings);
        let send_deadline = retry_policy::send_deadline(session, endpoint, &self.settings).min(now + timeout);
        self.concurrency_limit.attempt_started(now);
        endpoint.load.add_session(now, session.load());
        session.start_attempt(now, index);
        Decision::Connect { endpoint: index, timeout, send_deadline }
    }
}
