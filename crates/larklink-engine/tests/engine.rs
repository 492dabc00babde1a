//! Property tests of the engine: its actions are consistent for any sequence of events.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use larklink_balancer::{
    AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest, TickDuration,
    Timestamp,
};
use larklink_engine::engine::{AttemptNumber, EndpointId, Engine, ProxyAction, SessionId};
use larklink_engine::settings::ProxySettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SETTINGS: &str = r#"{
    "grades": [
        {"name": "a", "idempotency": "idempotent", "aim_ns": 500000000, "deadline_ns": 3000000000},
        {"name": "b", "idempotency": "at_most_once", "aim_ns": 500000000, "deadline_ns": 2000000000}],
    "feedback": {"names": ["inflight", "x0"]},
    "domain": {"mode": "pass", "message_aim_ns": [150000000, 50000000], "tells_delay": true},
    "policy_limits": {"dial_timeout_ns": 250000000, "max_retry_after_ns": 1500000000, "probing": true,
        "send_cap": 3},
    "safety": {"cold_ns": 20000000000, "drain_grace_ns": 500000000, "fall_multiple": 4.0,
        "start_capacity": 0.2}}"#;

/// The duration of a health check in these tests.
const HEALTH_CHECK_TOOK: TickDuration = TickDuration::from_ticks(10);
/// An upper bound on how far in the future a lowered send deadline may be. It exceeds the drain grace.
const MAX_SEND_DEADLINE: TickDuration = TickDuration::from_ticks(10_000);

/// A random event. `session` is an index into the open sessions, modulo their number. `offset` is the
/// distance of an attempt from the latest one.
#[derive(Clone, Debug)]
enum Step {
    Open { listener: usize, client_key: u64 },
    Adopt { endpoint: EndpointId },
    Established { session: usize, offset: AttemptNumber },
    AttemptEnded { session: usize, offset: AttemptNumber, outcome: AttemptOutcome, over: bool },
    ClientLeft { session: usize },
    Observed { session: usize, offset: AttemptNumber, observation: Observation },
    HealthChecked { endpoint: EndpointId, outcome: AttemptOutcome, load_report: Vec<f64> },
    EndpointChanged { endpoint: EndpointId, state: EndpointState },
    Wait { duration: TickDuration },
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
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

fn observation() -> impl Strategy<Value = Observation> {
    prop::sample::select(vec![
        Observation::Load(900.0),
        Observation::Load(9000.0),
        Observation::MessageLatency(TickDuration::from_ticks(400)),
        Observation::Unresponsive,
    ])
}

fn endpoint_state() -> impl Strategy<Value = EndpointState> {
    prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    let session = any::<usize>;
    let offset = || 0..2u8;
    let endpoint = || 0..8u32;
    prop_oneof![
        5 => (0..2usize, 1..30u64).prop_map(|(listener, client_key)| Step::Open { listener, client_key }),
        1 => (0..6u32).prop_map(|endpoint| Step::Adopt { endpoint }),
        4 => (session(), offset()).prop_map(|(session, offset)| Step::Established { session, offset }),
        4 => (session(), offset(), outcome(), any::<bool>())
            .prop_map(|(session, offset, outcome, over)| Step::AttemptEnded { session, offset, outcome, over }),
        1 => session().prop_map(|session| Step::ClientLeft { session }),
        3 => (session(), offset(), observation())
            .prop_map(|(session, offset, observation)| Step::Observed { session, offset, observation }),
        2 => (endpoint(), outcome(), prop::collection::vec(0.0..1.5f64, 0..3))
            .prop_map(|(endpoint, outcome, load_report)| Step::HealthChecked { endpoint, outcome, load_report }),
        1 => (endpoint(), endpoint_state())
            .prop_map(|(endpoint, state)| Step::EndpointChanged { endpoint, state }),
        3 => (1..5_000u64).prop_map(|duration| Step::Wait { duration: TickDuration::from_ticks(duration) }),
    ]
}

/// The expected state of a session that is not over.
#[derive(Default)]
struct OpenSession {
    attempts: AttemptNumber,
    in_flight: bool,
    established: bool,
}

/// Drives an engine and checks that each of its actions is allowed in the state of its session.
struct Checker {
    engine: Engine,
    now: Timestamp,
    latest_session: SessionId,
    open: BTreeMap<SessionId, OpenSession>,
    listed: Vec<EndpointId>,
}

impl Checker {
    fn new() -> Self {
        let settings = ProxySettings::from_json(SETTINGS.as_bytes()).unwrap();
        let engine = Engine::new(&settings, 5, Timestamp::ZERO);
        Self { engine, now: Timestamp::ZERO, latest_session: 0, open: BTreeMap::new(), listed: Vec::new() }
    }

    fn check(&mut self, action: ProxyAction) {
        match action {
            ProxyAction::Connect { session, attempt, endpoint, timeout, send_deadline } => {
                let open = self.open.get_mut(&session).expect("an attempt of a session that is over");
                assert!(!open.in_flight && !open.established, "two attempts in flight at once");
                assert_eq!(attempt, open.attempts, "attempts are counted from 0");
                assert!(
                    send_deadline >= self.now && send_deadline <= self.now + timeout,
                    "a send deadline that has passed, or after the end of the attempt"
                );
                assert!(
                    timeout > TickDuration::ZERO && self.listed.contains(&endpoint),
                    "an endpoint that was never listed"
                );
                open.attempts = attempt + 1;
                open.in_flight = true;
            }
            ProxyAction::Reject { session, .. } | ProxyAction::Fail { session } => {
                let open = self.open.remove(&session).expect("an answer to a session that is over");
                assert!(!open.in_flight && !open.established, "answered with an attempt in flight");
            }
            ProxyAction::Migrate { session } => {
                let open = self.open.remove(&session).expect("a migration of a session that is over");
                assert!(open.established, "migrated before it was established");
            }
            ProxyAction::CheckHealth { endpoint } => assert!(self.listed.contains(&endpoint)),
            ProxyAction::LimitSendDeadline { session, attempt, send_deadline } => {
                let open = &self.open[&session];
                assert!(open.in_flight && attempt + 1 == open.attempts, "an attempt that is not in flight");
                assert!(
                    send_deadline <= self.now + MAX_SEND_DEADLINE,
                    "later than the maximum send deadline"
                );
            }
            ProxyAction::PollEndpointList | ProxyAction::Log(_) => {}
        }
    }

    fn pick(&self, number: usize) -> Option<SessionId> {
        self.open.keys().nth(number.checked_rem(self.open.len())?).copied()
    }

    fn change_endpoint(&mut self, id: EndpointId, state: EndpointState) {
        self.listed.push(id);
        let entry = EndpointEntry { id, state, weight: 1.0, ..EndpointEntry::default() };
        self.engine.update_endpoints(self.now, ListScope::Changes, vec![entry]);
    }

    fn open_session(&mut self, listener: usize, client_key: u64) -> Option<ProxyAction> {
        self.latest_session += 1;
        self.open.insert(self.latest_session, OpenSession::default());
        self.engine.open_session(self.now, self.latest_session, request(listener, client_key))
    }

    fn adopt_established(&mut self, endpoint: EndpointId) {
        self.latest_session += 1;
        self.open
            .insert(self.latest_session, OpenSession { attempts: 1, in_flight: false, established: true });
        self.engine.adopt_established(self.now, self.latest_session, request(0, 1), endpoint);
    }

    fn established(&mut self, session: usize, offset: AttemptNumber) {
        let Some(id) = self.pick(session) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        if offset > 0 {
            self.engine.established(self.now, id, open.attempts + offset);
        } else if open.in_flight {
            open.in_flight = false;
            open.established = true;
            self.engine.established(self.now, id, open.attempts - 1);
        }
    }

    fn attempt_ended(
        &mut self,
        session: usize,
        offset: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
    ) -> Option<ProxyAction> {
        let id = self.pick(session)?;
        let open = self.open.get_mut(&id)?;
        if offset > 0 || !(open.in_flight || open.established) {
            let action = self.engine.attempt_ended(self.now, id, open.attempts + offset, outcome, over);
            assert_eq!(action, None, "an action for an attempt that is not the latest");
            return None;
        }
        let attempt = open.attempts - 1;
        let over = over || open.established;
        open.in_flight = false;
        open.established = false;
        if over {
            self.open.remove(&id);
        }
        self.engine.attempt_ended(self.now, id, attempt, outcome, over)
    }

    fn client_left(&mut self, session: usize) {
        if let Some(id) = self.pick(session) {
            self.open.remove(&id);
            self.engine.client_left(id);
        }
    }

    fn observed(&mut self, session: usize, offset: AttemptNumber, observation: Observation) {
        let Some(id) = self.pick(session) else { return };
        let open = &self.open[&id];
        if open.established {
            self.engine.observe(self.now, id, open.attempts - 1 + offset, observation);
        }
    }

    /// Applies a step and returns the action that the engine returns for it.
    fn apply(&mut self, step: Step) -> Option<ProxyAction> {
        match step {
            Step::Open { listener, client_key } => return self.open_session(listener, client_key),
            Step::Adopt { endpoint } => self.adopt_established(endpoint),
            Step::Established { session, offset } => self.established(session, offset),
            Step::AttemptEnded { session, offset, outcome, over } => {
                return self.attempt_ended(session, offset, outcome, over);
            }
            Step::ClientLeft { session } => self.client_left(session),
            Step::Observed { session, offset, observation } => self.observed(session, offset, observation),
            Step::HealthChecked { endpoint, outcome, load_report } => {
                self.engine.health_checked(self.now, endpoint, outcome, HEALTH_CHECK_TOOK, &load_report);
            }
            Step::EndpointChanged { endpoint, state } => self.change_endpoint(endpoint, state),
            Step::Wait { duration } => self.now += duration,
        }
        None
    }

    fn step(&mut self, step: Step) {
        if let Some(action) = self.apply(step) {
            self.check(action);
        }
        for action in self.engine.poll(self.now) {
            self.check(action);
        }
        assert!(self.engine.next_wakeup() > self.now, "the next wakeup is not in the future");
    }
}

fn request(listener: usize, client_key: u64) -> SessionRequest {
    SessionRequest {
        listener,
        client_key,
        dial_timeout: TickDuration::from_ticks(20_000),
        ..SessionRequest::default()
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn each_action_is_allowed_in_the_state_of_its_session(steps in prop::collection::vec(step(), 1..200)) {
        let mut checker = Checker::new();
        (0..6).for_each(|id| checker.change_endpoint(id, EndpointState::Ready));
        steps.into_iter().for_each(|step| checker.step(step));
    }
}

/// `AttemptNumber` is a byte: after 256 attempts the count would wrap around, and the next attempt would have the
/// number of the first.
#[test]
fn a_session_is_over_before_its_attempt_numbers_wrap_around() {
    let text = SETTINGS.replace(r#""send_cap": 3"#, r#""send_cap": 1000"#);
    let mut engine = Engine::new(&ProxySettings::from_json(text.as_bytes()).unwrap(), 7, Timestamp::ZERO);
    let entry =
        |id| EndpointEntry { id, state: EndpointState::Ready, weight: 1.0, ..EndpointEntry::default() };
    engine.update_endpoints(Timestamp::ZERO, ListScope::Cached, vec![entry(1), entry(2)]);
    let request = SessionRequest {
        client_key: 5,
        dial_timeout: TickDuration::from_ticks(1_000_000),
        ..SessionRequest::default()
    };
    let is_decision =
        |action: &ProxyAction| matches!(action, ProxyAction::Connect { .. } | ProxyAction::Reject { .. });
    let mut now = 0;
    let mut attempts = Vec::new();
    let mut action = engine.open_session(Timestamp::ZERO, 9, request);
    loop {
        now += 1;
        match action.take().or_else(|| engine.poll(Timestamp::from_ticks(now)).into_iter().find(is_decision))
        {
            Some(ProxyAction::Connect { attempt, .. }) => {
                attempts.push(attempt);
                action = engine.attempt_ended(
                    Timestamp::from_ticks(now),
                    9,
                    attempt,
                    AttemptOutcome::AtCapacity,
                    false,
                );
            }
            Some(_) => break,
            None => [1, 2].into_iter().for_each(|id| {
                engine.health_checked(
                    Timestamp::from_ticks(now),
                    id,
                    AttemptOutcome::Succeeded,
                    TickDuration::from_ticks(1),
                    &[],
                )
            }),
        }
    }
    assert!(
        attempts.iter().enumerate().all(|(index, attempt)| index == usize::from(*attempt))
            && !attempts.is_empty(),
        "{attempts:?}"
    );
}
