//! Compares the file formats with fixtures: every key of a scenario, and findings and event log byte for byte.
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation, ViolationKind};
use larklink_simulation::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use larklink_simulation::scenario::{FaultKind, RetryBehavior, Scenario, SessionKind};

/// All kinds of violations in their sort order, each with the number of its rule.
const VIOLATION_RULES: [(ViolationKind, u8); 18] = [
    (ViolationKind::NoResponse, 1),
    (ViolationKind::ExtraResponse, 1),
    (ViolationKind::LateResponse, 1),
    (ViolationKind::MalformedResponse, 1),
    (ViolationKind::ConcurrentAttempts, 2),
    (ViolationKind::MayRunTwice, 2),
    (ViolationKind::RejectedThoughMayHaveRun, 2),
    (ViolationKind::AcceptedWithoutAttempt, 1),
    (ViolationKind::TooManyAttempts, 2),
    (ViolationKind::TimeoutTooLong, 0),
    (ViolationKind::AttemptAfterDrainGrace, 3),
    (ViolationKind::SlowStartOverloaded, 4),
    (ViolationKind::BrokenWithoutMigration, 0),
    (ViolationKind::MessageDelayed, 0),
    (ViolationKind::MessageAltered, 0),
    (ViolationKind::EndNotifiedLate, 0),
    (ViolationKind::SilentTooLong, 0),
    (ViolationKind::SessionsLeftBehind, 0),
];

fn session_outcomes() -> SessionOutcomes {
    SessionOutcomes {
        opened: 1,
        accepted: 2,
        rejected: 3,
        failed: 4,
        lost_with_proxy: 5,
        proxy_unreachable: 6,
        unfinished: 7,
        attempts: 8,
        retries: 9,
        migrated: 10,
        ran_after_abandoned: 11,
        // Not serialized.
        response_times: vec![12, 13],
    }
}

fn violation(at: u64, (kind, _): (ViolationKind, u8)) -> Violation {
    let session = if at == 0 { String::new() } else { format!("{:x}", at * 0xabc) };
    Violation { kind, rule: kind.rule(), session, at, observed: format!("\u{e9} \"seen\" {at}") }
}

fn findings() -> Findings {
    Findings {
        listeners: vec![session_outcomes(), SessionOutcomes::default()],
        shapes: [ShapeOutcomes { opened: 14, accepted: 15 }, ShapeOutcomes { opened: 16, accepted: 17 }],
        violations: (0..).zip(VIOLATION_RULES).map(|(at, expected)| violation(at, expected)).collect(),
    }
}

#[test]
fn findings_serialize_as_in_the_fixture() {
    let text = serde_json::to_string_pretty(&findings()).unwrap() + "\n";
    assert_eq!(text, include_str!("fixtures/findings.json"));
    for (kind, rule) in VIOLATION_RULES {
        assert_eq!(kind.rule(), rule, "{kind:?}");
    }
    // Counts are listed in this order.
    assert!(VIOLATION_RULES.windows(2).all(|pair| pair[0].0 < pair[1].0));
    assert_eq!(ShapeOutcomes::NAMES, ["old", "moved"]);
}

/// Converts a serialized name to the form used in tables: `two_answers` becomes `TwoAnswers`.
fn camel_case(name: &str) -> String {
    let parts = name.split('_').map(|part| part[..1].to_uppercase() + &part[1..]);
    parts.collect()
}

#[test]
fn displayed_violation_names_match_serialized_names() {
    for (kind, _) in VIOLATION_RULES {
        let name = serde_json::to_value(kind).unwrap();
        assert_eq!(kind.to_string(), camel_case(name.as_str().unwrap()));
    }
}

/// Session events of every kind, with every value of their enums.
fn session_events(id: u64) -> Vec<EventKind> {
    let request = |reconnecting, retry| ClientRequest {
        client: 1,
        id: 2,
        key: 3,
        group: 4,
        listener: 5,
        dial_timeout: 6,
        reconnecting,
        retry,
    };
    let mut all = vec![
        EventKind::Opened { request: request(true, false), proxy: 7 },
        EventKind::Opened { request: request(false, true), proxy: 0 },
        EventKind::ProxyUnreachable { id, proxy: 8 },
    ];
    let responses = [
        ClientResponse::Accepted,
        ClientResponse::Rejected(0),
        ClientResponse::Rejected(1500),
        ClientResponse::Failed,
    ];
    all.extend(responses.map(|response| EventKind::Answered { id, response }));
    all.extend([EventKind::ExtraMessage { id }, EventKind::MalformedResponse { id }]);
    all.extend(
        [ConnectionEnd::Migrated, ConnectionEnd::Closed, ConnectionEnd::Broken, ConnectionEnd::Left]
            .map(|end| EventKind::ConnectionEnded { id, end }),
    );
    all.extend([EventKind::ClientTimedOut { id }, EventKind::MessageLate { id, took: 9 }]);
    all.extend([Direction::ToServer, Direction::ToClient].map(|direction| EventKind::MessageDelayed {
        id,
        direction,
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
    all.extend(ends.map(|end| EventKind::AttemptEnded { id, server: 15, connection: 16, end }));
    all
}

fn fleet_events(id: u64) -> Vec<EventKind> {
    vec![
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
    ]
}

fn event_log() -> EventLog {
    let id = u64::MAX;
    let mut kinds = session_events(id);
    kinds.extend(fleet_events(id));
    let mut event_log = EventLog::default();
    (0..).zip(kinds).for_each(|(at, kind)| event_log.record(at, kind));
    event_log
}

#[test]
fn event_log_serializes_as_in_the_fixture() {
    assert_eq!(event_log().to_json_lines(), include_str!("fixtures/event_log.jsonl"));
}

#[test]
fn every_scenario_key_is_read() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    assert_eq!(
        (scenario.name.as_str(), scenario.about.as_str(), scenario.seed, scenario.length.0),
        ("all of it", "Every key.", 77, 900_000)
    );
    let proxies = &scenario.proxies;
    assert_eq!(
        (
            proxies.count,
            proxies.zones,
            proxies.memory_mb,
            proxies.descriptors,
            proxies.admin_endpoints,
            proxies.moved
        ),
        (5, 2, 64, 512, true, 2)
    );
    let rules = &scenario.rules;
    assert_eq!(
        (rules.connect_timeout.0, rules.max_attempts, rules.max_retry_after.0, rules.drain_grace.0),
        (3000, 7, 20_000, 7505)
    );
    assert_eq!((rules.health_checks, rules.discovery_deadline.0, rules.passthrough), (false, 80_000, true));
    let [one, other] = &scenario.servers[..] else { panic!("{:?}", scenario.servers) };
    let group = one.get_ref();
    assert_eq!((group.count, group.cores, group.speed, group.max_sessions), (3, 4, 1.5, 100));
    assert_eq!(
        (group.setup_work.0, group.max_queue_wait.0, group.initial_capacity, group.slow_start_duration.0),
        (5, 10_000, 0.5, 90_000)
    );
    assert_eq!(
        (group.overload_multiple, group.overload_window.0, group.dies_when_overloaded, group.restart_after.0),
        (2.5, 12_000, false, 30_000)
    );
    assert_eq!((group.report_interval.0, group.listed, group.weight), (1500, false, 0.25));
    let group = other.get_ref();
    assert_eq!((group.count, group.cores, group.speed, group.max_sessions), (6, 2, 1.0, 5000));
    assert_eq!(
        (group.setup_work.0, group.max_queue_wait.0, group.initial_capacity, group.slow_start_duration.0),
        (20, 15_000, 0.12, 200_000)
    );
    assert_eq!(
        (group.overload_multiple, group.overload_window.0, group.dies_when_overloaded, group.restart_after.0),
        (4.0, 10_000, true, 20_000)
    );
    assert_eq!((group.report_interval.0, group.listed, group.weight), (2000, true, 1.0));
    assert_eq!((scenario.session_store.rate, scenario.session_store.bound.0), (123.5, 12_500));
    assert_eq!((scenario.endpoint_list.lag.0, scenario.load_balancer.detection_delay.0), (500, 7000));
    let must = &scenario.requirements;
    assert_eq!(
        (must.min_service, must.min_accepted, must.min_accepted_per_shape),
        (Some(0.9), Some(0.95), Some(0.8))
    );
    assert_eq!(
        (must.max_response_p99.map(|l| l.0), must.max_recovery_time.map(|l| l.0)),
        (Some(11_000), Some(60_000))
    );
}

#[test]
fn every_listener_key_is_read() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    let [one, other, last] = &scenario.listeners[..] else { panic!("{:?}", scenario.listeners) };
    let listener = one.get_ref();
    assert_eq!(
        (listener.name.as_str(), listener.kind, listener.window.0),
        ("pay_1.x", SessionKind::Deduplicated, 40_000)
    );
    assert_eq!((listener.handshake_objective.0, listener.dial_timeout.0), (2500, 50_000));
    assert_eq!(
        (
            listener.initial_clients,
            listener.initial_spread.0,
            listener.arrivals_per_second,
            listener.mean_session_duration.0
        ),
        (9, 1000, 2.5, 450_000)
    );
    assert_eq!(
        (listener.message_interval.0, listener.message_objective.0, listener.load, listener.priority_weight),
        (20_000, 800, 0.125, 3.5)
    );
    assert_eq!(
        (listener.retry, listener.retry_wait.0, listener.max_client_attempts, listener.reconnect_wait.0),
        (RetryBehavior::AtOnce, 9000, 3, 600)
    );
    assert_eq!((listener.clients_per_group, listener.unread_kb), (2, 64));
    let listener = other.get_ref();
    assert_eq!(
        (listener.name.as_str(), listener.kind, listener.window.0),
        ("pick-list", SessionKind::OnceOnly, 10_000)
    );
    assert_eq!((listener.handshake_objective.0, listener.dial_timeout.0), (5000, 30_000));
    assert_eq!(
        (
            listener.initial_clients,
            listener.initial_spread.0,
            listener.arrivals_per_second,
            listener.mean_session_duration.0
        ),
        (200, 30_000, 20.0, 150_000)
    );
    assert_eq!(
        (listener.message_interval.0, listener.message_objective.0, listener.load, listener.priority_weight),
        (10_000, 1000, 0.004, 1.0)
    );
    assert_eq!(
        (listener.retry, listener.retry_wait.0, listener.max_client_attempts, listener.reconnect_wait.0),
        (RetryBehavior::Never, 5000, 8, 2000)
    );
    assert_eq!((listener.clients_per_group, listener.unread_kb), (4, 0));
    let listener = last.get_ref();
    assert_eq!(
        (listener.name.as_str(), listener.kind, listener.retry),
        ("last", SessionKind::Idempotent, RetryBehavior::After)
    );
}

#[test]
fn every_fault_key_is_read() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml")).unwrap();
    // Kind, time, duration and factor.
    let faults: Vec<_> = scenario.faults.iter().map(|f| f.get_ref()).collect();
    let faults: Vec<_> = faults.iter().map(|f| (f.kind, f.at.0, f.duration.map(|l| l.0), f.factor)).collect();
    assert_eq!(
        faults,
        [
            (FaultKind::ProxyKilled, 10_000, Some(20_000), None),
            (FaultKind::ServerDrops, 20_000, Some(10_000), Some(3.0)),
            (FaultKind::ProxyStopped, 30_000, None, None),
            (FaultKind::ProxyReloaded, 40_000, None, None),
            (FaultKind::ProxyReplaced, 50_000, None, None),
            (FaultKind::ServerSilent, 60_000, Some(10_000), None),
            (FaultKind::ServerPaused, 70_000, Some(10_000), None),
            (FaultKind::ServerDied, 80_000, None, None),
            (FaultKind::ServerDrains, 90_000, Some(10_000), None),
            (FaultKind::ServersJoin, 100_000, None, None),
            (FaultKind::StoreSlow, 110_000, Some(10_000), Some(8.0)),
            (FaultKind::ListLost, 120_000, Some(10_000), None),
            (FaultKind::ListStill, 130_000, Some(10_000), None),
            (FaultKind::ClientsDropped, 140_000, None, None),
        ]
    );
    let (first, second) = (scenario.faults[0].get_ref(), scenario.faults[1].get_ref());
    assert_eq!((first.targets.as_deref(), first.share), (Some(&[0, 4][..]), None));
    assert_eq!((first.interval.map(|l| l.0), first.batch_size), (Some(100), Some(2)));
    assert_eq!(
        (first.repeat_interval.map(|l| l.0), first.repeats, first.at_accept),
        (Some(200_000), Some(3), true)
    );
    assert_eq!((second.targets.as_deref(), second.share), (None, Some(0.5)));
    assert_eq!((second.interval.map(|l| l.0), second.batch_size), (None, None));
    assert_eq!((second.repeat_interval.map(|l| l.0), second.repeats, second.at_accept), (None, None, false));
    assert_eq!(scenario.faults[13].get_ref().share, Some(0.75));
}
