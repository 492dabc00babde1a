//! Random runs that check the safety rules after every step.
use std::collections::BTreeMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, DeduplicationGroup, EndpointIndex, EndpointState,
    Idempotency, ListScope, Observation, SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use proptest::prelude::{Strategy, any, prop, prop_oneof};
use proptest::proptest;
use proptest::test_runner::{Config, RngSeed};

use crate::fixture::{IDEMPOTENCY_OF_LISTENERS, SECOND, balancer_with, entry, request, settings};

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
            .prop_map(|(endpoint, state, restarts)| Step::UpdateEndpoint { endpoint, state, restarts }),
        1 => (any::<usize>(), 0..2_000u64).prop_map(|(n, d)| Step::MessageLatency(n, d)),
        1 => any::<usize>().prop_map(Step::Unresponsive),
        1 => (0..6usize, any_outcome(), 0.0..1.5f64).prop_map(|(s, outcome, load)| Step::HealthChecked(s, outcome, load)),
        3 => (1..SECOND).prop_map(Step::Wait),
    ]
}

/// A session that is not over.
struct OpenSession {
    ask: SessionRequest,
    deadline: Timestamp,
    attempts: u32,
    in_flight: Option<(EndpointIndex, TickDuration)>,
    /// The latest time at which the attempt in flight may be sent.
    send_deadline: Timestamp,
    established: bool,
    /// It waits for a health check.
    waiting: bool,
    /// The first attempt that may have run, and when it was sent.
    may_have_run: Option<(EndpointIndex, TickDuration)>,
}

struct RuleChecker {
    balancer: Balancer,
    now: Timestamp,
    open: BTreeMap<SessionHandle, OpenSession>,
    notified: BTreeMap<EndpointIndex, TickDuration>,
    removal_not_binding: bool,
}

impl RuleChecker {
    fn new(removal_not_binding: bool) -> Self {
        let set = Settings { health_checks: true, removal_not_binding, ..settings() };
        let (open, notified) = (BTreeMap::new(), BTreeMap::new());
        Self { balancer: balancer_with(set, 6), now: 0, open, notified, removal_not_binding }
    }

    /// The four rules, as far as one proxy can break them.
    fn check(&mut self, handle: SessionHandle, decision: Decision) {
        let (now, set) = (self.now, settings());
        let seen = self.open.get_mut(&handle).expect("a decision on a session that is over");
        let kind = IDEMPOTENCY_OF_LISTENERS[seen.ask.listener];
        match decision {
            Decision::Connect { endpoint, timeout: limit, send_deadline } => {
                assert!(seen.in_flight.is_none() && !seen.established, "two attempts in flight");
                assert!(now + limit <= seen.deadline && limit > 0, "an attempt past the dial timeout");
                assert!(
                    now <= send_deadline && send_deadline <= seen.deadline,
                    "a send deadline that is over, or after the client gives up"
                );
                if let Some(notified) = self.notified.get(&endpoint) {
                    assert!(
                        send_deadline <= notified + set.drain_grace,
                        "an attempt that may be sent past the drain grace"
                    );
                }
                if let Some((first, sent)) = seen.may_have_run {
                    let (a, b) =
                        (entry(first, EndpointState::Ready, 0), entry(endpoint, EndpointState::Ready, 0));
                    match kind {
                        Idempotency::Idempotent => {}
                        Idempotency::OnceOnly => {
                            panic!("a once-only session that may have run was retried")
                        }
                        Idempotency::WithKey { group, window } => {
                            assert!(
                                now < sent + window && send_deadline <= sent + window,
                                "retried after the window"
                            );
                            assert!(
                                group != DeduplicationGroup::Zone || a.zone == b.zone,
                                "retried outside its zone"
                            );
                            assert!(
                                group != DeduplicationGroup::Cell || a.cell == b.cell,
                                "retried outside its cell"
                            );
                        }
                    }
                }
                seen.attempts += 1;
                assert!(seen.attempts <= set.max_attempts, "too many attempts");
                seen.in_flight = Some((endpoint, now));
                seen.send_deadline = send_deadline;
            }
            Decision::Reject { retry_after } => {
                let harmless = match (kind, seen.may_have_run) {
                    (_, None) | (Idempotency::Idempotent, _) => true,
                    (Idempotency::WithKey { group: DeduplicationGroup::All, window }, Some((_, sent))) => {
                        now + retry_after < sent + window
                    }
                    _ => false,
                };
                assert!(harmless, "a rejection of a session that may have run");
                assert!(retry_after <= set.max_retry_after);
                self.open.remove(&handle);
            }
            Decision::Wait => seen.waiting = true,
            Decision::Fail => drop(self.open.remove(&handle)),
        }
    }

    fn pick(&self, n: usize, what: impl Fn(&OpenSession) -> bool) -> Option<SessionHandle> {
        let fit: Vec<_> = self.open.iter().filter(|(_, s)| what(s)).map(|(handle, _)| *handle).collect();
        (!fit.is_empty()).then(|| fit[n % fit.len()])
    }

    fn end_attempt(&mut self, handle: SessionHandle, outcome: AttemptOutcome) {
        let seen = self.open.get_mut(&handle).expect("picked from the open");
        let (endpoint, sent) = seen.in_flight.take().expect("picked with an attempt");
        if !outcome.never_ran() {
            seen.may_have_run.get_or_insert((endpoint, sent));
        }
        let over = outcome == AttemptOutcome::Succeeded || seen.established;
        seen.established = false;
        let decision = self.balancer.attempt_ended(self.now, handle, outcome, over);
        match decision {
            Some(decision) => self.check(handle, decision),
            None => drop(self.open.remove(&handle)),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Place { key, listener, established } => {
                let ask = SessionRequest { established, ..request(key, listener) };
                let (handle, decision) = self.balancer.place(self.now, ask);
                let deadline = self.now + ask.dial_timeout;
                let seen = OpenSession {
                    ask,
                    deadline,
                    attempts: 0,
                    in_flight: None,
                    send_deadline: 0,
                    established: false,
                    waiting: false,
                    may_have_run: None,
                };
                assert!(self.open.insert(handle, seen).is_none(), "a handle given twice");
                self.check(handle, decision);
            }
            Step::Establish(n) => {
                if let Some(handle) = self.pick(n, |s| s.in_flight.is_some() && !s.established) {
                    let seen = self.open.get_mut(&handle).expect("picked from the open");
                    seen.established = true;
                    self.balancer.established(self.now, handle);
                }
            }
            Step::EndAttempt(n, outcome) => {
                if let Some(handle) = self.pick(n, |s| s.in_flight.is_some()) {
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
                let line = entry(endpoint, state, if restarts { self.now } else { 0 });
                self.balancer.update_endpoints(self.now, ListScope::Changes, &[line]);
                match state {
                    EndpointState::Ready => drop(self.notified.remove(&endpoint)),
                    EndpointState::Removed if self.removal_not_binding => {}
                    _ => drop(self.notified.entry(endpoint).or_insert(self.now)),
                }
            }
            Step::MessageLatency(n, d) => {
                if let Some(handle) = self.pick(n, |s| s.established) {
                    self.balancer.observe(self.now, handle, Observation::MessageLatency(d));
                }
            }
            Step::Unresponsive(n) => {
                if let Some(handle) = self.pick(n, |s| s.established) {
                    self.balancer.observe(self.now, handle, Observation::Unresponsive);
                }
            }
            Step::HealthChecked(endpoint, outcome, load) => {
                self.balancer.health_checked(self.now, endpoint, outcome, 10, load, 0.0)
            }
            Step::Wait(duration) => {
                let end = self.now + duration;
                while self.now < end {
                    let next = self
                        .open
                        .values()
                        .filter(|s| s.in_flight.is_some() && !s.established)
                        .map(|s| s.deadline)
                        .min();
                    self.now =
                        end.min(self.balancer.next_wakeup()).min(next.unwrap_or(end)).max(self.now + 1);
                    while let Some(handle) =
                        self.pick(0, |s| s.in_flight.is_some() && !s.established && s.deadline <= self.now)
                    {
                        self.end_attempt(handle, AttemptOutcome::TimedOut);
                    }
                    self.poll();
                }
            }
        }
        self.poll();
        for s in self.open.values().filter(|s| !s.established) {
            assert!(s.in_flight.is_some() || s.waiting, "a session neither answered nor forwarded");
            assert!(self.now <= s.deadline, "a session without its answer past its dial timeout");
        }
    }

    fn poll(&mut self) {
        for action in self.balancer.poll(self.now) {
            match action {
                Action::Migrate(handle) => {
                    assert!(
                        self.open.remove(&handle).expect("migrated while open").established,
                        "migrated before it was established"
                    );
                    self.balancer.client_left(handle);
                }
                Action::Decided(handle, decision) => {
                    let seen = self.open.get_mut(&handle).expect("decided while open");
                    assert!(std::mem::take(&mut seen.waiting), "decided without waiting");
                    self.check(handle, decision);
                }
                Action::LimitSendDeadline(handle, earlier) => {
                    let seen = self.open.get_mut(&handle).expect("an attempt of a session that is over");
                    assert!(
                        seen.in_flight.is_some() && !seen.established,
                        "a send deadline without an attempt in flight"
                    );
                    seen.send_deadline = seen.send_deadline.min(earlier);
                }
                _ => {}
            }
        }
        for seen in self.open.values().filter(|s| !s.established) {
            let notified = seen.in_flight.and_then(|(endpoint, _)| self.notified.get(&endpoint));
            let late =
                notified.is_some_and(|notified| seen.send_deadline > notified + settings().drain_grace);
            assert!(!late, "an attempt that connects late may be sent past the drain grace");
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
