//! The forms in which scenarios are read and findings written, held against files: every key, byte for byte.
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation, ViolationKind};
use larklink_simulation::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use larklink_simulation::scenario::{FaultKind, RetryBehavior, Scenario, SessionKind};

/// What can be broken, in the order of its numbers, and the rule that it breaks.
const BROKEN: [(ViolationKind, u8); 18] = [
    (ViolationKind::NoAnswer, 1),
    (ViolationKind::TwoAnswers, 1),
    (ViolationKind::LateAnswer, 1),
    (ViolationKind::NotAnAnswer, 1),
    (ViolationKind::TwoDialsOut, 2),
    (ViolationKind::MayRunTwice, 2),
    (ViolationKind::RefusedThoughItMayHaveRun, 2),
    (ViolationKind::AcceptedByNobody, 1),
    (ViolationKind::TooManyDials, 2),
    (ViolationKind::ToldTooLong, 0),
    (ViolationKind::AfterDrain, 3),
    (ViolationKind::ColdRushed, 4),
    (ViolationKind::CutWithoutMove, 0),
    (ViolationKind::LineHeld, 0),
    (ViolationKind::LineChanged, 0),
    (ViolationKind::EndedLate, 0),
    (ViolationKind::SilentTooLong, 0),
    (ViolationKind::LeftBehind, 0),
];

fn answers() -> SessionOutcomes {
    SessionOutcomes {
        opened: 1,
        accepted: 2,
        refused: 3,
        torn_down: 4,
        with_proxy: 5,
        nobody_there: 6,
        open: 7,
        dials: 8,
        retries: 9,
        moved: 10,
        ran_late: 11,
        // Not written.
        took: vec![12, 13],
    }
}

fn breach(at: u64, (what, _): (ViolationKind, u8)) -> Violation {
    let session = if at == 0 { String::new() } else { format!("{:x}", at * 0xabc) };
    Violation { kind: what, rule: what.rule(), session, at, observed: format!("\u{e9} \"seen\" {at}") }
}

fn findings() -> Findings {
    Findings {
        listeners: vec![answers(), SessionOutcomes::default()],
        shapes: [ShapeOutcomes { opened: 14, accepted: 15 }, ShapeOutcomes { opened: 16, accepted: 17 }],
        violations: (0..).zip(BROKEN).map(|(at, broken)| breach(at, broken)).collect(),
    }
}

#[test]
fn findings_are_written_as_in_the_file() {
    let text = serde_json::to_string_pretty(&findings()).unwrap() + "\n";
    assert_eq!(text, include_str!("fixtures/findings.json"));
    for (what, rule) in BROKEN {
        assert_eq!(what.rule(), rule, "{what:?}");
    }
    // In this order they are counted.
    assert!(BROKEN.windows(2).all(|pair| pair[0].0 < pair[1].0));
    assert_eq!(ShapeOutcomes::NAMES, ["old", "moved"]);
}

/// One of each thing that is noted, with each way in which it can be.
fn event_log() -> EventLog {
    let id = u64::MAX;
    let ask = |again, retry| ClientRequest {
        client: 1,
        id: 2,
        key: 3,
        group: 4,
        listener: 5,
        patience: 6,
        reconnecting: again,
        retry,
    };
    let mut all = vec![
        EventKind::Opened { request: ask(true, false), proxy: 7 },
        EventKind::Opened { request: ask(false, true), proxy: 0 },
        EventKind::ProxyUnreachable { id, proxy: 8 },
    ];
    let answers = [
        ClientResponse::Accepted,
        ClientResponse::Rejected(0),
        ClientResponse::Rejected(1500),
        ClientResponse::Failed,
    ];
    all.extend(answers.map(|answer| EventKind::Answered { id, response: answer }));
    all.extend([EventKind::ExtraMessage { id }, EventKind::MalformedResponse { id }]);
    all.extend(
        [ConnectionEnd::Migrated, ConnectionEnd::Closed, ConnectionEnd::Broken, ConnectionEnd::Left]
            .map(|how| EventKind::ConnectionEnded { id, end: how }),
    );
    all.extend([EventKind::ClientTimedOut { id }, EventKind::MessageLate { id, took: 9 }]);
    all.extend([Direction::ToServer, Direction::ToClient].map(|way| EventKind::MessageDelayed {
        id,
        direction: way,
        took: 10,
    }));
    all.extend([EventKind::MessageAltered { id }, EventKind::ConnectionSilent { id, duration: 11 }]);
    all.push(EventKind::AttemptStarted { id, server: 12, connection: 13, timeout_ms: 14 });
    let ends = [
        AttemptEnd::Rejected,
        AttemptEnd::Failed,
        AttemptEnd::Accepted,
        AttemptEnd::Reset,
        AttemptEnd::Migrated,
        AttemptEnd::Abandoned,
    ];
    all.extend(ends.map(|how| EventKind::AttemptEnded { id, server: 15, connection: 16, end: how }));
    all.extend([
        EventKind::SessionRan { id, server: 17 },
        EventKind::RanAfterAbandoned { id, server: 18 },
        EventKind::Overloaded { server: 19, ratio: 2.5 },
        EventKind::ServerDied { server: 20 },
        EventKind::ServerStarted { server: 21 },
        EventKind::ServerSilent { server: 22, until: 23 },
        EventKind::SessionsLeftBehind { server: 24, sessions: 25 },
        EventKind::EndpointNotified { proxy: 26, server: 27, ready: true },
        EventKind::ProxyUp { proxy: 28 },
        EventKind::ProxyExited { proxy: 29, planned: false },
        EventKind::FaultInjected("\u{e9} \"fault\"".into()),
    ]);
    let mut event_log = EventLog::default();
    (0..).zip(all).for_each(|(at, what)| event_log.record(at, what));
    event_log
}

#[test]
fn a_book_is_written_as_in_the_file() {
    assert_eq!(event_log().to_json_lines(), include_str!("fixtures/book.jsonl"));
}

#[test]
fn every_key_of_a_scenario_is_read_from_the_file() {
    let s = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    assert_eq!(
        (s.name.as_str(), s.about.as_str(), s.seed, s.length.0),
        ("all of it", "Every key.", 77, 900_000)
    );
    let p = &s.proxies;
    assert_eq!((p.count, p.zones, p.memory_mb, p.descriptors, p.doors, p.moved), (5, 2, 64, 512, true, 2));
    let r = &s.rules;
    assert_eq!((r.connect_timeout.0, r.dials, r.retry_after.0, r.drain_grace.0), (3000, 7, 20_000, 7505));
    assert_eq!((r.probes, r.must_ask_in.0, r.passes), (false, 80_000, true));
    let [one, other] = &s.servers[..] else { panic!("{:?}", s.servers) };
    let v = one.get_ref();
    assert_eq!((v.count, v.cores, v.speed, v.holds), (3, 4, 1.5, 100));
    assert_eq!((v.setup_work.0, v.queue.0, v.start_capacity, v.warm_up.0), (5, 10_000, 0.5, 90_000));
    assert_eq!((v.fall_multiple, v.fall_after.0, v.falls, v.back_after.0), (2.5, 12_000, false, 30_000));
    assert_eq!((v.report_every.0, v.listed, v.weight), (1500, false, 0.25));
    let v = other.get_ref();
    assert_eq!((v.count, v.cores, v.speed, v.holds), (6, 2, 1.0, 5000));
    assert_eq!((v.setup_work.0, v.queue.0, v.start_capacity, v.warm_up.0), (20, 15_000, 0.12, 200_000));
    assert_eq!((v.fall_multiple, v.fall_after.0, v.falls, v.back_after.0), (4.0, 10_000, true, 20_000));
    assert_eq!((v.report_every.0, v.listed, v.weight), (2000, true, 1.0));
    assert_eq!((s.store.rate, s.store.bound.0), (123.5, 12_500));
    assert_eq!((s.list.lag.0, s.front.notices_after.0), (500, 7000));
    let m = &s.must;
    assert_eq!((m.service, m.accepted, m.each_shape), (Some(0.9), Some(0.95), Some(0.8)));
    assert_eq!((m.answer_p99.map(|l| l.0), m.recovers.map(|l| l.0)), (Some(11_000), Some(60_000)));
}

#[test]
fn every_key_of_its_listeners_is_read_from_the_file() {
    let s = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    let [one, other, last] = &s.listeners[..] else { panic!("{:?}", s.listeners) };
    let l = one.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.window.0), ("pay_1.x", SessionKind::Referenced, 40_000));
    assert_eq!((l.handshake_target.0, l.dial_timeout.0), (2500, 50_000));
    assert_eq!((l.standing, l.spread.0, l.rate, l.life.0), (9, 1000, 2.5, 450_000));
    assert_eq!((l.every.0, l.line_target.0, l.load, l.utility), (20_000, 800, 0.125, 3.5));
    assert_eq!((l.retry, l.wait.0, l.tries, l.again_after.0), (RetryBehavior::AtOnce, 9000, 3, 600));
    assert_eq!((l.group, l.deaf_kb), (2, 64));
    let l = other.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.window.0), ("pick-list", SessionKind::OnceOnly, 10_000));
    assert_eq!((l.handshake_target.0, l.dial_timeout.0), (5000, 30_000));
    assert_eq!((l.standing, l.spread.0, l.rate, l.life.0), (200, 30_000, 20.0, 150_000));
    assert_eq!((l.every.0, l.line_target.0, l.load, l.utility), (10_000, 1000, 0.004, 1.0));
    assert_eq!((l.retry, l.wait.0, l.tries, l.again_after.0), (RetryBehavior::Never, 5000, 8, 2000));
    assert_eq!((l.group, l.deaf_kb), (4, 0));
    let l = last.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.retry), ("last", SessionKind::Repeatable, RetryBehavior::After));
}

#[test]
fn every_key_of_its_faults_is_read_from_the_file() {
    use FaultKind::*;
    let s = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    // What, when, for how long, and by what factor.
    let seen: Vec<_> = s.faults.iter().map(|f| f.get_ref()).collect();
    let seen: Vec<_> = seen.iter().map(|f| (f.kind, f.at.0, f.lasts.map(|l| l.0), f.factor)).collect();
    assert_eq!(
        seen,
        [
            (ProxyKilled, 10_000, Some(20_000), None),
            (ServerDrops, 20_000, Some(10_000), Some(3.0)),
            (ProxyStopped, 30_000, None, None),
            (ProxyReloaded, 40_000, None, None),
            (ProxyReplaced, 50_000, None, None),
            (ServerSilent, 60_000, Some(10_000), None),
            (ServerPaused, 70_000, Some(10_000), None),
            (ServerDied, 80_000, None, None),
            (ServerDrains, 90_000, Some(10_000), None),
            (ServersJoin, 100_000, None, None),
            (StoreSlow, 110_000, Some(10_000), Some(8.0)),
            (ListLost, 120_000, Some(10_000), None),
            (ListStill, 130_000, Some(10_000), None),
            (ClientsDropped, 140_000, None, None),
        ]
    );
    let (first, second) = (s.faults[0].get_ref(), s.faults[1].get_ref());
    assert_eq!((first.which.as_deref(), first.share), (Some(&[0, 4][..]), None));
    assert_eq!((first.apart.map(|l| l.0), first.together), (Some(100), Some(2)));
    assert_eq!((first.every.map(|l| l.0), first.times, first.at_accept), (Some(200_000), Some(3), true));
    assert_eq!((second.which.as_deref(), second.share), (None, Some(0.5)));
    assert_eq!((second.apart.map(|l| l.0), second.together), (None, None));
    assert_eq!((second.every.map(|l| l.0), second.times, second.at_accept), (None, None, false));
    assert_eq!(s.faults[13].get_ref().share, Some(0.75));
}
