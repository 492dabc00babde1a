//! [`Balancer`]: takes events and calls the modules that decide, in order.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::action::{Action, Decision, HealthSummary, LogEvent};
use crate::bucket_table::{self, BUCKET_COUNT, BucketPopulation, BucketTable};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::discovery_schedule::DiscoverySchedule;
use crate::endpoint::EndpointSet;
use crate::event::{AttemptOutcome, EndpointEntry, ListScope, Observation, SessionRequest};
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

/// Where the sessions of one proxy go. See the [crate documentation](crate) for how to call it.
///
/// All times are passed in and must not decrease from call to call.
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
    /// A list has come since the last poll.
    list_changed: bool,
    /// Sessions that wait for the result of a health check, in the order in which they came.
    awaiting_health_check: Vec<SessionHandle>,
    /// When the endpoints are next looked after.
    next_maintenance_at: Timestamp,
    /// What the next poll returns.
    actions: Vec<Action>,
}

impl Balancer {
    /// A balancer without endpoints. `seed` makes its random choices; each proxy needs its own.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // At random, so that proxies that start together do not look after the endpoints in step.
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

    /// Takes in the endpoint list, or what changed in it.
    pub fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, entries: &[EndpointEntry]) {
        self.endpoints.update(now, scope, entries);
        self.bucket_table.clear();
        self.discovery.record_list(scope);
        self.list_changed = true;
    }

    /// A poll of the endpoint list failed, or the subscription to it broke.
    pub fn discovery_failed(&mut self, now: Timestamp) {
        self.discovery.record_failure(now, &mut self.rng);
    }

    /// Takes in a session that another process of this proxy has established on an endpoint.
    ///
    /// # Panics
    ///
    /// If the settings have no listener of the request's index.
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

    /// Another process of this proxy has received its sessions until now, and may still send retries for them.
    pub fn take_over(&mut self, now: Timestamp) {
        self.retry_budget.take_over(now, self.settings.max_dial_timeout);
    }

    /// Takes in a session that has reached this proxy, and decides what to do with it.
    ///
    /// # Panics
    ///
    /// If the settings have no listener of the request's index.
    pub fn place(&mut self, now: Timestamp, request: SessionRequest) -> (SessionHandle, Decision) {
        let handle = self.insert_session(now, request);
        self.retry_budget.record_session(now);
        let turn = self.arrivals.next_turn(now, self.settings.overload_window, &mut self.rng);
        self.sessions[handle].set_slow_start_turn(turn);
        (handle, self.decide(now, handle))
    }

    /// An attempt or a connection has ended. Returns what to do with the session next, unless it is over; its
    /// handle is free if it is, or if the decision is final.
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
        self.release(&ended);
        if matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::TimedOut) {
            // Counted with the whole dial timeout, since the session store still processes it.
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

    /// The session's attempt has succeeded: it is established on its endpoint.
    pub fn established(&mut self, now: Timestamp, handle: SessionHandle) {
        let Some(session) = self.sessions.get_mut(handle) else { return };
        session.establish();
        let established = *session;
        self.concurrency_limit.attempt_left_flight();
        self.endpoints[established.endpoint()].outlier.record_sign_of_life(now);
        if established.used_session_store() {
            let took = now - established.started_at();
            self.record_attempt(now, &established, AttemptOutcome::Succeeded, took);
        }
    }

    /// The client has left or was migrated: the session is over.
    pub fn client_left(&mut self, handle: SessionHandle) {
        let Some(session) = self.remove_session(handle) else { return };
        if matches!(session.state(), SessionState::Connecting | SessionState::Established) {
            self.release(&session);
        }
    }

    /// Takes in what is observed of an established session.
    pub fn observe(&mut self, now: Timestamp, handle: SessionHandle, observation: Observation) {
        let Some(session) = self.sessions.get_mut(handle) else { return };
        let endpoint = &mut self.endpoints[session.endpoint()];
        match observation {
            Observation::Unresponsive => endpoint.outlier.record_late_message(),
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

    /// Takes in the result of a health check that `took` so long. Where checks report load, `utilization` is the
    /// endpoint's load over its capacity and `sessions` the number of its sessions, of all proxies; else both
    /// are 0.
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

    /// How many endpoints the list has, and how many of them are avoided now.
    pub fn health_summary(&self) -> HealthSummary {
        self.endpoints.health_summary()
    }

    /// When [`Balancer::poll`] has to be called next, if no other call comes before.
    pub fn next_wakeup(&self) -> Timestamp {
        self.discovery.next_poll_at().min(self.next_maintenance_at)
    }

    /// Returns what the proxy has to do now, in this order. To be called after every other call and at
    /// [`Balancer::next_wakeup`].
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        if std::mem::take(&mut self.list_changed) {
            self.limit_send_deadlines(now);
        }
        self.decide_on_waiting(now);
        if self.discovery.take_due_poll(now) {
            self.actions.push(Action::PollEndpointList);
        }
        if self.next_maintenance_at <= now {
            self.next_maintenance_at = now + self.settings.connect_timeout;
            self.maintain(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Attempts in flight to endpoints that the list has closed must not be sent later than these accept them.
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

    /// Decides on the sessions whose health check has a result or takes longer than a connect timeout.
    fn decide_on_waiting(&mut self, now: Timestamp) {
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
                session.give_up_health_checks();
            }
            let decision = self.decide(now, handle);
            self.actions.push(Action::Decided(handle, decision));
        }
    }

    /// Maintenance of each endpoint, once a connect timeout: decay, health checks and migrations.
    fn maintain(&mut self, now: Timestamp) {
        let elapsed = self.settings.connect_timeout;
        self.migration_budget.replenish(elapsed);
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[EndpointIndex(index)];
            endpoint.outlier.decay(elapsed);
            endpoint.load.grow_limit(elapsed);
            self.check_health_if_due(now, EndpointIndex(index));
            let endpoint = &self.endpoints[EndpointIndex(index)];
            let must_leave = endpoint.outlier.is_ejected() || endpoint.is_closed(&self.settings);
            if must_leave && endpoint.load.sessions() > 0 {
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
        let is_of_use = endpoint.load.sessions() > 0 || endpoint.outlier.has_consecutive_failures();
        let may_check = self.settings.health_checks && !endpoint.is_closed(&self.settings);
        if may_check && is_of_use && due_at <= now {
            endpoint.health_check.start(now);
            self.actions.push(Action::CheckHealth(index));
        }
    }

    /// Migrates sessions off an endpoint that is ejected or closed.
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

    /// Migrates sessions off an endpoint that is overloaded.
    fn relieve(&mut self, now: Timestamp, index: EndpointIndex) {
        let selection = ReliefSelection {
            settings: &self.settings,
            endpoints: &self.endpoints,
            sessions: &self.sessions,
            budget: &mut self.migration_budget,
            concurrency: self.concurrency_limit.fraction_of_one(),
            rng: &mut self.rng,
        };
        if let Some(relief) = selection.select(now, index) {
            self.endpoints[index].load.record_relief(now, relief.load);
            self.actions.extend(relief.sessions.into_iter().map(Action::Migrate));
        }
    }

    fn insert_session(&mut self, now: Timestamp, request: SessionRequest) -> SessionHandle {
        // A session with neither key shares nothing: any bucket will do.
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

    /// An attempt or a connection of the session has ended.
    fn release(&mut self, session: &Session) {
        if session.state() == SessionState::Connecting {
            self.concurrency_limit.attempt_left_flight();
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

    /// What to do with a queued session: an attempt, a health check first, or its final answer at once.
    fn decide(&mut self, now: Timestamp, handle: SessionHandle) -> Decision {
        let session = self.sessions[handle];
        let Some(endpoint) = self.endpoint_for(now, &session) else {
            self.concurrency_limit.record_rejection();
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

    /// The endpoint for the session's next attempt, if one admits it and the limits on attempts and retries do.
    fn endpoint_for(&mut self, now: Timestamp, session: &Session) -> Option<EndpointIndex> {
        let admitted = retry_policy::has_attempt_left(now, session, &self.settings)
            && (session.resumes_established() || self.concurrency_limit.admits(now, &mut self.rng));
        if !admitted {
            return None;
        }
        let placement = Placement {
            settings: &self.settings,
            endpoints: &mut self.endpoints,
            bucket_table: &mut self.bucket_table,
            population: &self.population,
            reported_capacity: &self.reported_capacity,
            migration_budget: &self.migration_budget,
            rng: &mut self.rng,
        };
        let endpoint = placement.choose(now, session)?;
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
