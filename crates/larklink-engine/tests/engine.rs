//! Seeded random runs of the engine: what it asks for is in order whatever it hears.
use std::collections::BTreeMap;

use larklink_balancer::{
    AttemptOutcome, AvailabilityNines, EndpointEntry, EndpointState, Idempotency, ListScope, Observation,
    RetryBudgetSettings, SessionRequest, TickDuration, Timestamp,
};
use larklink_engine::engine::{Engine, ProxyAction};
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

/// `old` is how far from the latest dial the word is: 0 is the latest.
#[derive(Clone, Debug)]
enum Step {
    Open(usize, u64),
    Adopt(u32),
    Stood(usize, u8),
    Settled(usize, u8, AttemptOutcome, bool),
    Left(usize),
    Noted(usize, u8, Observation),
    Probed(u32, AttemptOutcome, Vec<f64>),
    List(u32, EndpointState),
    Wait(TickDuration),
}

fn step() -> impl Strategy<Value = Step> {
    use AttemptOutcome::*;
    let how = || {
        prop::sample::select(vec![
            Succeeded,
            Failed,
            AtCapacity,
            TimedOut,
            ConnectFailed,
            Reset,
            Cancelled,
            NotSent,
        ])
    };
    let notes = vec![
        Observation::Load(900.0),
        Observation::Load(9000.0),
        Observation::MessageLatency(400),
        Observation::Unresponsive,
    ];
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    let (n, old) = (any::<usize>, || 0..2u8);
    prop_oneof![
        5 => (0..2usize, 1..30u64).prop_map(|(listener, key)| Step::Open(listener, key)),
        1 => (0..6u32).prop_map(Step::Adopt),
        4 => (n(), old()).prop_map(|(n, old)| Step::Stood(n, old)),
        4 => (n(), old(), how(), any::<bool>()).prop_map(|(n, old, how, over)| Step::Settled(n, old, how, over)),
        1 => n().prop_map(Step::Left),
        3 => (n(), old(), prop::sample::select(notes)).prop_map(|(n, old, note)| Step::Noted(n, old, note)),
        2 => (0..8u32, how(), prop::collection::vec(0.0..1.5f64, 0..3))
            .prop_map(|(server, how, report)| Step::Probed(server, how, report)),
        1 => (0..8u32, state).prop_map(|(server, state)| Step::List(server, state)),
        3 => (1..5_000u64).prop_map(Step::Wait),
    ]
}

/// A session that is not over: how many dials it has had, whether one is out, whether it stands.
#[derive(Default)]
struct Seen {
    dials: u8,
    out: bool,
    stands: bool,
}

struct Watch {
    engine: Engine,
    now: Timestamp,
    next: u32,
    open: BTreeMap<u32, Seen>,
    named: Vec<u32>,
}

impl Watch {
    fn check(&mut self, action: ProxyAction) {
        match action {
            ProxyAction::Connect {
                session,
                attempt: dial,
                endpoint: server,
                timeout: limit,
                send_deadline: by,
            } => {
                let seen = self.open.get_mut(&session).expect("a dial for a session that is over");
                assert!(!seen.out && !seen.stands, "two dials out at once");
                assert_eq!(dial, seen.dials, "dials are counted from 0");
                assert!(
                    by >= self.now && by <= self.now + limit,
                    "a permit that is over, or longer than the dial"
                );
                assert!(limit > 0 && self.named.contains(&server), "a dial to a server of no list");
                (seen.dials, seen.out) = (dial + 1, true);
            }
            ProxyAction::Reject { session, .. } | ProxyAction::Fail { session } => {
                let seen = self.open.remove(&session).expect("an answer for a session that is over");
                assert!(!seen.out && !seen.stands, "answered with a dial out");
            }
            ProxyAction::Migrate { session } => {
                let seen = self.open.remove(&session).expect("a move of a session that is over");
                assert!(seen.stands, "moved before it stood");
            }
            ProxyAction::CheckHealth { endpoint: server } => assert!(self.named.contains(&server)),
            ProxyAction::LimitSendDeadline { session, attempt: dial, send_deadline: by } => {
                let seen = &self.open[&session];
                assert!(seen.out && dial + 1 == seen.dials, "word on a dial that is not out");
                assert!(by <= self.now + 10_000, "no permit ends later than a grace from now");
            }
            ProxyAction::PollEndpointList | ProxyAction::Log(_) => {}
        }
    }

    fn pick(&self, n: usize) -> Option<u32> {
        self.open.keys().nth(n.checked_rem(self.open.len())?).copied()
    }

    fn list(&mut self, id: u32, state: EndpointState) {
        self.named.push(id);
        let entry = EndpointEntry { id, state, weight: 1.0, ..EndpointEntry::default() };
        self.engine.update_endpoints(self.now, ListScope::Changes, vec![entry]);
    }

    /// What the engine asks for in answer.
    fn hear(&mut self, step: Step) -> Option<ProxyAction> {
        let ask = |listener, client_key| SessionRequest {
            listener,
            client_key,
            dial_timeout: 20_000,
            ..SessionRequest::default()
        };
        let now = self.now;
        match step {
            Step::Open(listener, key) => {
                self.next += 1;
                self.open.insert(self.next, Seen::default());
                return self.engine.open_session(now, self.next, ask(listener, key));
            }
            Step::Adopt(server) => {
                self.next += 1;
                self.open.insert(self.next, Seen { dials: 1, out: false, stands: true });
                self.engine.adopt_established(now, self.next, ask(0, 1), server);
            }
            Step::Stood(n, old) => {
                let id = self.pick(n)?;
                let seen = self.open.get_mut(&id)?;
                if old > 0 {
                    self.engine.established(now, id, seen.dials + old);
                } else if seen.out {
                    (seen.out, seen.stands) = (false, true);
                    self.engine.established(now, id, seen.dials - 1);
                }
            }
            Step::Settled(n, old, how, over) => {
                let id = self.pick(n)?;
                let seen = self.open.get_mut(&id)?;
                if old > 0 || !(seen.out || seen.stands) {
                    let action = self.engine.attempt_ended(now, id, seen.dials + old, how, over);
                    assert_eq!(action, None, "word on a dial that is not the latest");
                    return None;
                }
                let (dial, over) = (seen.dials - 1, over || seen.stands);
                (seen.out, seen.stands) = (false, false);
                if over {
                    self.open.remove(&id);
                }
                return self.engine.attempt_ended(now, id, dial, how, over);
            }
            Step::Left(n) => {
                let id = self.pick(n)?;
                self.open.remove(&id);
                self.engine.client_left(id);
            }
            Step::Noted(n, old, note) => {
                let id = self.pick(n)?;
                let seen = &self.open[&id];
                if seen.stands {
                    self.engine.observe(now, id, seen.dials - 1 + old, note);
                }
            }
            Step::Probed(server, how, report) => self.engine.health_checked(now, server, how, 10, &report),
            Step::List(server, state) => self.list(server, state),
            Step::Wait(span) => self.now += span,
        }
        None
    }

    fn step(&mut self, step: Step) {
        let action = self.hear(step);
        action.into_iter().for_each(|a| self.check(a));
        for action in self.engine.poll(self.now) {
            self.check(action);
        }
        assert!(self.engine.next_wakeup() > self.now, "it would be asked again at once");
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
    fn each_action_is_for_a_session_that_may_have_it(steps in prop::collection::vec(step(), 1..200)) {
        let facts = ProxySettings::read(SETTINGS.as_bytes()).unwrap();
        let engine = Engine::new(&facts, 5, 0);
        let mut watch = Watch { engine, now: 0, next: 0, open: BTreeMap::new(), named: Vec::new() };
        (0..6).for_each(|id| watch.list(id, EndpointState::Ready));
        steps.into_iter().for_each(|step| watch.step(step));
    }
}

#[test]
fn settings_are_read_by_name_and_units() {
    let facts = ProxySettings::read(SETTINGS.as_bytes()).unwrap();
    let set = &facts.settings;
    assert_eq!((facts.listeners.len(), facts.longest, facts.passes), (2, 30_000, true));
    assert_eq!((facts.load_position, set.load_reports), (Some(1), true));
    assert_eq!((set.connect_timeout, set.message_objective, set.drain_grace), (2_500, 500, 5_000));
    assert_eq!(set.listeners[1].idempotency, Idempotency::OnceOnly);
    assert!(
        ProxySettings::read(b"{}").is_ok_and(|f| f.listeners.is_empty()),
        "what is missing has a cautious value"
    );
    // At 0 each told delay would have made its server silent.
    assert_eq!(
        (set.max_dial_timeout, ProxySettings::read(b"{}").unwrap().settings.max_dial_timeout),
        (30_000, Timestamp::MAX)
    );
    assert!(ProxySettings::read(b"[").is_err());
}

#[test]
fn a_ration_of_further_dials_and_the_nines_are_read_whole_or_absent() {
    let set = |text: &str| ProxySettings::read(text.as_bytes()).unwrap().settings;
    let all = set(r#"{"safety":{"budget_free":3,"extra_per_request":0.05,"counted_over_ns":5000000000},
            "result_mix":{"nines_part":0.3,"top_nines":3}}"#);
    assert_eq!(
        all.retry_budget,
        Some(RetryBudgetSettings { min_retries: 3.0, retry_ratio: 0.05, window: 50_000 })
    );
    assert_eq!(all.availability_nines, Some(AvailabilityNines { weight: 0.3, max_nines: 3.0 }));
    assert_eq!((set("{}").retry_budget, set("{}").availability_nines), (None, None));
}

#[test]
fn a_proxy_keeps_near_only_where_a_crossing_costs_no_less_than_a_move() {
    let zone = |more: &str| {
        ProxySettings::read(format!(r#"{{"zone":1,"zones":["a","b"]{more}}}"#).as_bytes())
            .unwrap()
            .settings
            .local_zone
    };
    assert_eq!(zone(""), None, "what is not priced is as before");
    assert_eq!(zone(r#","fees":{"cross_zone":0.03,"moves":0.038}"#), None);
    assert_eq!(zone(r#","fees":{"cross_zone":0.02,"moves":0.02}"#), Some(1));
}

/// Dials are numbered in a byte: the 256th would have been taken for the first.
#[test]
fn a_session_with_hundreds_of_dials_ends_before_their_numbers_do() {
    let text = SETTINGS.replace(r#""send_cap": 3"#, r#""send_cap": 1000"#);
    let mut engine = Engine::new(&ProxySettings::read(text.as_bytes()).unwrap(), 7, 0);
    let entry =
        |id| EndpointEntry { id, state: EndpointState::Ready, weight: 1.0, ..EndpointEntry::default() };
    engine.update_endpoints(0, ListScope::Cached, vec![entry(1), entry(2)]);
    let ask = SessionRequest { client_key: 5, dial_timeout: 1_000_000, ..SessionRequest::default() };
    let (mut now, mut dials, mut action) = (0, Vec::new(), engine.open_session(0, 9, ask));
    loop {
        now += 1;
        let waits = |a: ProxyAction| {
            matches!(a, ProxyAction::Connect { .. } | ProxyAction::Reject { .. }).then_some(a)
        };
        match action.take().or_else(|| engine.poll(now).into_iter().find_map(waits)) {
            Some(ProxyAction::Connect { attempt: dial, .. }) => {
                dials.push(dial);
                action = engine.attempt_ended(now, 9, dial, AttemptOutcome::AtCapacity, false);
            }
            Some(_) => break,
            None => [1, 2]
                .into_iter()
                .for_each(|id| engine.health_checked(now, id, AttemptOutcome::Succeeded, 1, &[])),
        }
    }
    assert!(
        dials.iter().enumerate().all(|(n, dial)| n == usize::from(*dial)) && !dials.is_empty(),
        "{dials:?}"
    );
}

#[test]
fn settings_that_cannot_be_are_told_with_their_place() {
    let wrong = |text: &str| ProxySettings::read(text.as_bytes()).unwrap_err().to_string();
    for (text, place) in [
        (r#"{"zone":2,"zones":["a","b"]}"#, "zone: 2 is no place among the 2"),
        (r#"{"zone":"b"}"#, "expected u16 at line 1 column 11"),
        (r#"{"fees":{"cross_zone":-0.1}}"#, "fees.cross_zone: -0.1 is no price"),
        (r#"{"fees":{"moves":"dear"}}"#, "expected f64"),
        (r#"{"grades":[{},{"deadline_ns":-1}]}"#, "grades[1].deadline_ns: -1 is under 0"),
        (r#"{"grades":[{"gain":-1}]}"#, "grades[0].gain: -1 is no utility"),
        (r#"{"grades":[{"name":"a"},{"name":"ab"},{"name":"a"}]}"#, "grades[2].name: \"a\" stands twice"),
        (r#"{"safety":{"budget_free":3,"extra_per_request":0.05}}"#, "safety.counted_over_ns: missing"),
        (r#"{"safety":{"counted_over_ns":5000000000}}"#, "safety.budget_free: missing"),
        (
            r#"{"safety":{"budget_free":-3,"extra_per_request":0.05,"counted_over_ns":5000000000}}"#,
            "safety.budget_free: -3 is no amount",
        ),
        (
            r#"{"safety":{"budget_free":3,"extra_per_request":0.05,"counted_over_ns":0}}"#,
            "safety.counted_over_ns: 0 is no period",
        ),
        (r#"{"safety":{"budget_free":"few"}}"#, "expected f64"),
        (
            r#"{"result_mix":{"nines_part":-0.3,"top_nines":3}}"#,
            "result_mix.nines_part: -0.3 must be 0 or more",
        ),
        (r#"{"result_mix":{"nines_part":0.3}}"#, "result_mix.top_nines: must be above 0"),
    ] {
        assert!(wrong(text).contains(place), "{text}: {}", wrong(text));
    }
}
