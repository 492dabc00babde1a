//! Property tests that check the safety rules after every step of a random run.
use std::collections::BTreeMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, DeduplicationGroup, EndpointIndex, EndpointState,
    Idempotency, ListScope, Observation, SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use proptest::prelude::{Strategy, any, prop, prop_oneof};
use proptest::proptest;
use proptest::test_runner::{Config, RngSeed};

use crate::fixture::{
    IDEMPOTENCY_OF_LISTENERS, SECOND, START, at, balancer_with, entry, request, settings, ticks,
};

#[derive(Clone, Debug)]
enum Step {
    Place { key: u64, listener: usize, established: bool },
    Establish(usize),
    EndAttempt(usize, AttemptOutcome),
    ClientLeaves(usize),
    UpdateEndpoint { endpoint: EndpointIndex, state: EndpointState, restarts: bool },
    MessageLatency(usize, TickDuration),
    Unresponsive(usize),
    HealthChecked(EndpointIndex, AttemptOutcome, f64),
    Wait(TickDuration),
}

fn any_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        AttemptOutcome::Succeeded,
        AttemptOutcome::Failed,
        AttemptOutcome::AtCapacity,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    prop_oneof![
        6 => (0..40u64, 0..IDEMPOTENCY_OF_LISTENERS.len(), any::<bool>())
            .prop_map(|(key, listener, established)| Step::Place { key, listener, established }),
        4 => any::<usize>().prop_map(Step::Establish),
        4 => (any::<usize>(), any_outcome()).prop_map(|(n, outcome)| Step::EndAttempt(n, outcome)),
        1 => any::<usize>().prop_map(Step::ClientLeaves),
        1 => (0..6usize, state, any::<bool>())
            .prop_map(|(endpoint, state, restarts)| Step::UpdateEndpoint { endpoint: EndpointIndex(endpoint), state, restarts }),
        1 => (any::<usize>(), 0..2_000u64).prop_map(|(n, d)| Step::MessageLatency(n, ticks(d))),
        1 => any::<usize>().prop_map(Step::Unresponsive),
        1 => (0..6usize, any_outcome(), 0.0..1.5f64).prop_map(|(s, outcome, load)| Step::HealthChecked(EndpointIndex(s), outcome, load)),
        3 => (1..SECOND.as_ticks()).prop_map(|count| Step::Wait(ticks(count))),
    ]
}

/// An attempt that may have run, or is in flight.
#[derive(Clone, Copy)]
struct Attempt {
    endpoint: EndpointIndex,
    sent_at: Timestamp,
}

/// The expected state of a session that is not over.
struct OpenSession {
    request: SessionRequest,
    deadline: Timestamp,
    attempts: u32,
    in_flight: Option<Attempt>,
    /// The latest time at which the attempt in flight may be sent.
    send_deadline: Timestamp,
    established: bool,
    /// Whether the session waits for a health check.
    waiting: bool,
    /// The first attempt that may have run.
    may_have_run: Option<Attempt>,
}

impl OpenSession {
    fn new(request: SessionRequest, now: Timestamp) -> Self {
        Self {
            request,
            deadline: now + request.dial_timeout,
            attempts: 0,
            in_flight: None,
            send_deadline: START,
            established: false,
            waiting: false,
            may_have_run: None,
        }
    }

    fn idempotency(&self) -> Idempotency {
        IDEMPOTENCY_OF_LISTENERS[self.request.listener]
    }

    fn is_connecting(&self) -> bool {
        self.in_flight.is_some() && !self.established
    }

    /// Checks that a session that may have run is retried only within its deduplication group and window.
    fn check_retry(&self, now: Timestamp, endpoint: EndpointIndex, send_deadline: Timestamp) {
        let Some(first) = self.may_have_run else { return };
        let ran_at = entry(first.endpoint.0, EndpointState::Ready, at(TickDuration::ZERO));
        let retried_at = entry(endpoint.0, EndpointState::Ready, at(TickDuration::ZERO));
        match self.idempotency() {
            Idempotency::Idempotent => {}
            Idempotency::OnceOnly => panic!("a once-only session that may have run was retried"),
            Idempotency::WithKey { group, window } => {
                let known_until = first.sent_at + window;
                assert!(now < known_until && send_deadline <= known_until, "retried after the window");
                let same_zone = ran_at.zone == retried_at.zone;
                assert!(group != DeduplicationGroup::Zone || same_zone, "retried outside its zone");
                let same_cell = ran_at.cell == retried_at.cell;
                assert!(group != DeduplicationGroup::Cell || same_cell, "retried outside its cell");
            }
        }
    }

    /// Checks that a session is rejected only if a retry by its client has no second effect.
    fn check_rejection(&self, now: Timestamp, retry_after: TickDuration) {
        let harmless = match (self.idempotency(), self.may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey { group: DeduplicationGroup::All, window }, Some(first)) => {
                now + retry_after < first.sent_at + window
            }
            _ => false,
        };
        assert!(harmless, "a rejection of a session that may have run");
        assert!(retry_after <= settings().max_retry_after);
    }
}

struct RuleChecker {
    balancer: Balancer,
    now: Timestamp,
    open: BTreeMap<SessionHandle, OpenSession>,
    /// When the balancer was notified that an endpoint is draining or removed.
    notified: BTreeMap<EndpointIndex, Timestamp>,
    removal_not_binding: bool,
}

impl RuleChecker {
    fn new(removal_not_binding: bool) -> Self {
        let settings = Settings { health_checks: true, removal_not_binding, ..settings() };
        let balancer = balancer_with(settings, 6);
        Self { balancer, now: START, open: BTreeMap::new(), notified: BTreeMap::new(), removal_not_binding }
    }

    /// Checks a decision against the safety rules, as far as a single proxy can break them.
    fn check(&mut self, handle: SessionHandle, decision: Decision) {
        let session = self.open.get_mut(&handle).expect("a decision on a session that is over");
        match decision {
            Decision::Connect { endpoint, timeout, send_deadline } => {
                self.check_attempt(handle, endpoint, timeout, send_deadline);
            }
            Decision::Reject { retry_after } => {
                session.check_rejection(self.now, retry_after);
                self.open.remove(&handle);
            }
            Decision::Wait => session.waiting = true,
            Decision::Fail => drop(self.open.remove(&handle)),
        }
    }

    fn check_attempt(
        &mut self,
        handle: SessionHandle,
        endpoint: EndpointIndex,
        timeout: TickDuration,
        send_deadline: Timestamp,
    ) {
        let (now, settings) = (self.now, settings());
        let session = self.open.get_mut(&handle).expect("an attempt of a session that is over");
        assert!(session.in_flight.is_none() && !session.established, "two attempts in flight");
        let in_time = now + timeout <= session.deadline && timeout > TickDuration::ZERO;
        assert!(in_time, "an attempt past the dial timeout");
        let may_be_sent = now <= send_deadline && send_deadline <= session.deadline;
        assert!(may_be_sent, "a send deadline that is over, or after the client gives up");
        if let Some(notified) = self.notified.get(&endpoint) {
            let within_grace = send_deadline <= *notified + settings.drain_grace;
            assert!(within_grace, "an attempt that may be sent past the drain grace");
        }
        session.check_retry(now, endpoint, send_deadline);
        session.attempts += 1;
        assert!(session.attempts <= settings.max_attempts, "too many attempts");
        session.in_flight = Some(Attempt { endpoint, sent_at: now });
        session.send_deadline = send_deadline;
    }

    /// Returns the n-th open session that satisfies `fits`, modulo their number.
    fn pick(&self, n: usize, fits: impl Fn(&OpenSession) -> bool) -> Option<SessionHandle> {
        let fit: Vec<_> =
            self.open.iter().filter(|(_, session)| fits(session)).map(|(handle, _)| *handle).collect();
        (!fit.is_empty()).then(|| fit[n % fit.len()])
    }

    fn end_attempt(&mut self, handle: SessionHandle, outcome: AttemptOutcome) {
        let session = self.open.get_mut(&handle).expect("picked from the open");
        let attempt = session.in_flight.take().expect("picked with an attempt");
        if !outcome.proves_not_run() {
            session.may_have_run.get_or_insert(attempt);
        }
        let over = outcome == AttemptOutcome::Succeeded || session.established;
        session.established = false;
        let decision = self.balancer.attempt_ended(self.now, handle, outcome, over);
        match decision {
            Some(decision) => self.check(handle, decision),
            None => drop(self.open.remove(&handle)),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Place { key, listener, established } => self.place(key, listener, established),
            Step::Establish(n) => self.establish(n),
            Step::EndAttempt(n, outcome) => {
                if let Some(handle) = self.pick(n, |session| session.in_flight.is_some()) {
                    self.end_attempt(handle, outcome);
                }
            }
            Step::ClientLeaves(n) => {
                if let Some(handle) = self.pick(n, |_| true) {
                    self.balancer.client_left(handle);
                    self.open.remove(&handle);
                }
            }
            Step::UpdateEndpoint { endpoint, state, restarts } => {
                self.update_endpoint(endpoint, state, restarts);
            }
            Step::MessageLatency(n, latency) => self.observe(n, Observation::MessageLatency(latency)),
            Step::Unresponsive(n) => self.observe(n, Observation::Unresponsive),
            Step::HealthChecked(endpoint, outcome, load) => {
                self.balancer.health_checked(self.now, endpoint, outcome, ticks(10), load, 0.0);
            }
            Step::Wait(duration) => self.wait(duration),
        }
        self.poll();
        for session in self.open.values().filter(|session| !session.established) {
            let forwarded = session.in_flight.is_some() || session.waiting;
            assert!(forwarded, "a session without a decision");
            assert!(
                self.now <= session.deadline,
                "a session without a final decision after its dial timeout"
            );
        }
    }

    fn place(&mut self, key: u64, listener: usize, established: bool) {
        let request = SessionRequest { established, ..request(key, listener) };
        let (handle, decision) = self.balancer.place(self.now, request);
        let session = OpenSession::new(request, self.now);
        assert!(self.open.insert(handle, session).is_none(), "a handle given twice");
        self.check(handle, decision);
    }

    fn establish(&mut self, n: usize) {
        if let Some(handle) = self.pick(n, OpenSession::is_connecting) {
            self.open.get_mut(&handle).expect("picked from the open").established = true;
            self.balancer.established(self.now, handle);
        }
    }

    fn observe(&mut self, n: usize, observation: Observation) {
        if let Some(handle) = self.pick(n, |session| session.established) {
            self.balancer.observe(self.now, handle, observation);
        }
    }

    fn update_endpoint(&mut self, endpoint: EndpointIndex, state: EndpointState, restarts: bool) {
        let started_at = if restarts { self.now } else { START };
        let changed = entry(endpoint.0, state, started_at);
        self.balancer.update_endpoints(self.now, ListScope::Changes, &[changed]);
        match state {
            EndpointState::Ready => drop(self.notified.remove(&endpoint)),
            EndpointState::Removed if self.removal_not_binding => {}
            _ => drop(self.notified.entry(endpoint).or_insert(self.now)),
        }
    }

    /// Advances the time, polls whenever it is due, and ends the attempts whose clients give up.
    fn wait(&mut self, duration: TickDuration) {
        let end = self.now + duration;
        while self.now < end {
            let connecting = self.open.values().filter(|session| session.is_connecting());
            let next = connecting.map(|session| session.deadline).min().unwrap_or(end);
            self.now = end.min(self.balancer.next_wakeup()).min(next).max(self.now + ticks(1));
            let now = self.now;
            let given_up = |session: &OpenSession| session.is_connecting() && session.deadline <= now;
            while let Some(handle) = self.pick(0, given_up) {
                self.end_attempt(handle, AttemptOutcome::TimedOut);
            }
            self.poll();
        }
    }

    fn poll(&mut self) {
        for action in self.balancer.poll(self.now) {
            self.carry_out(action);
        }
        for session in self.open.values().filter(|session| !session.established) {
            let notified = session.in_flight.and_then(|attempt| self.notified.get(&attempt.endpoint));
            let grace = settings().drain_grace;
            let late = notified.is_some_and(|&notified| session.send_deadline > notified + grace);
            assert!(!late, "an attempt that connects late may be sent past the drain grace");
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Migrate(handle) => {
                let session = self.open.remove(&handle).expect("migrated while open");
                assert!(session.established, "migrated before it was established");
                self.balancer.client_left(handle);
            }
            Action::Decided(handle, decision) => {
                let session = self.open.get_mut(&handle).expect("decided while open");
                assert!(std::mem::take(&mut session.waiting), "decided without waiting");
                self.check(handle, decision);
            }
            Action::LimitSendDeadline(handle, send_deadline) => {
                let session = self.open.get_mut(&handle).expect("an attempt of a session that is over");
                assert!(session.is_connecting(), "a send deadline without an attempt in flight");
                session.send_deadline = session.send_deadline.min(send_deadline);
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn rules_hold_after_every_step(removal_not_binding in any::<bool>(), steps in prop::collection::vec(step(), 1..200)) {
        let mut checker = RuleChecker::new(removal_not_binding);
        for step in steps {
            checker.step(step);
        }
    }
}
