//! The audit on hand-written event logs: each kind of violation and, for many of them, the closest case that is not a
//! violation.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use larklink_simulation::audit::{Findings, ViolationKind, audit};
use larklink_simulation::duration::SECOND;
use larklink_simulation::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use larklink_simulation::scenario::Scenario;

const ID: u64 = 7;
const END: u64 = 20 * SECOND;

fn scenario(extra_toml: &str) -> Scenario {
    let listeners = "[[listeners]]\nname = 'r'\n[[listeners]]\nname = 'o'\nkind = 'once-only'\n\
                [[listeners]]\nname = 'f'\nkind = 'referenced'\nwindow = '1s'\n";
    Scenario::parse(&format!("{extra_toml}\n{listeners}")).unwrap()
}

fn opened(listener: usize) -> EventKind {
    let request = ClientRequest {
        client: 0,
        id: ID,
        key: 1,
        group: 1,
        listener,
        dial_timeout: 3 * SECOND,
        reconnecting: false,
        retry: false,
    };
    EventKind::Opened { request, proxy: 0 }
}

fn attempt(server: usize) -> EventKind {
    EventKind::AttemptStarted { id: ID, server, connection: server as u64, timeout_ms: 1000 }
}

fn attempt_ended(server: usize, end: AttemptEnd) -> EventKind {
    EventKind::AttemptEnded { id: ID, server, connection: server as u64, end }
}

fn answered(response: ClientResponse) -> EventKind {
    EventKind::Answered { id: ID, response }
}

fn ended(end: ConnectionEnd) -> EventKind {
    EventKind::ConnectionEnded { id: ID, end }
}

/// Audits a log of these events. Times are in milliseconds.
fn audit_events(events: Vec<(u64, EventKind)>) -> Findings {
    let mut event_log = EventLog::default();
    events.into_iter().for_each(|(ms, kind)| event_log.record(ms * 10, kind));
    audit(&scenario(""), &event_log, END)
}

/// The kinds of violations in a log of these events, without duplicates.
fn violations_of(events: Vec<(u64, EventKind)>) -> Vec<ViolationKind> {
    audit_events(events).counts().into_keys().collect()
}

#[test]
fn outcomes_are_counted_for_each_shape_of_proxies() {
    let mixed = scenario("[proxies]\ncount = 2\nmoved = 1\n");
    let shape_counts = |proxy, response| {
        let mut event_log = EventLog::default();
        let EventKind::Opened { request, .. } = opened(0) else { unreachable!() };
        event_log.record(0, EventKind::Opened { request, proxy });
        event_log.record(20, answered(response));
        audit(&mixed, &event_log, END).shapes.map(|s| (s.opened, s.accepted))
    };
    assert_eq!(shape_counts(0, ClientResponse::Accepted), [(1, 1), (0, 0)]);
    assert_eq!(shape_counts(1, ClientResponse::Rejected(0)), [(0, 0), (1, 0)]);
    for (text, key) in
        [("[proxies]\nmoved = 4\n", "proxies.moved"), ("[must]\neach_shape = 0.5\n", "must.each_shape")]
    {
        assert!(Scenario::parse(text).unwrap_err().problems.iter().any(|p| p.key == key), "{text}");
    }
}

#[test]
fn late_extra_missing_and_malformed_responses_are_violations() {
    let accepted_at = |ms, rest: Vec<(u64, EventKind)>| {
        let mut all = vec![(0, opened(0)), (1, attempt(0)), (2, attempt_ended(0, AttemptEnd::Accepted))];
        all.push((ms, answered(ClientResponse::Accepted)));
        all.extend(rest);
        violations_of(all)
    };
    assert_eq!(accepted_at(3049, vec![]), []);
    assert_eq!(accepted_at(3051, vec![]), [ViolationKind::LateResponse]);
    assert_eq!(
        accepted_at(10, vec![(11, answered(ClientResponse::Rejected(0)))]),
        [ViolationKind::ExtraResponse]
    );
    assert_eq!(
        accepted_at(10, vec![(11, EventKind::ExtraMessage { id: ID })]),
        [ViolationKind::ExtraResponse]
    );
    assert_eq!(violations_of(vec![(0, opened(0))]), [ViolationKind::NoResponse]);
    assert_eq!(
        violations_of(vec![(0, opened(0)), (5, ended(ConnectionEnd::Closed))]),
        [ViolationKind::NoResponse]
    );
    assert_eq!(
        violations_of(vec![
            (0, opened(0)),
            (5, EventKind::MalformedResponse { id: ID }),
            (5, ended(ConnectionEnd::Closed))
        ]),
        [ViolationKind::NoResponse, ViolationKind::MalformedResponse]
    );
    assert_eq!(
        violations_of(vec![(0, opened(0)), (9, answered(ClientResponse::Accepted))]),
        [ViolationKind::AcceptedWithoutAttempt]
    );
    // No violation: the client left, or the run ended before the response was due.
    assert_eq!(violations_of(vec![(0, opened(0)), (5, ended(ConnectionEnd::Left))]), []);
    assert_eq!(violations_of(vec![(18_000, opened(0))]), []);
}

#[test]
fn sessions_lost_with_a_killed_proxy_are_excused_but_not_at_a_planned_stop() {
    let exit = |planned| {
        let exited = EventKind::ProxyExited { proxy: 0, planned };
        audit_events(vec![(0, opened(0)), (100, exited), (101, ended(ConnectionEnd::Broken))])
    };
    assert_eq!(exit(false).listeners[0].lost_with_proxy, 1);
    assert!(exit(false).violations.is_empty());
    assert_eq!(exit(true).violations[0].kind, ViolationKind::NoResponse);
    let unreachable =
        audit_events(vec![(0, opened(0)), (1, EventKind::ProxyUnreachable { id: ID, proxy: 0 })]);
    assert_eq!((unreachable.listeners[0].proxy_unreachable, unreachable.violations.len()), (1, 0));
}

#[test]
fn repeating_a_session_that_may_have_run_depends_on_its_kind() {
    let retried = |listener, first: AttemptEnd, at| {
        let events = vec![
            (0, opened(listener)),
            (1, attempt(0)),
            (20, attempt_ended(0, first)),
            (at, attempt(1)),
            (at + 1, attempt_ended(1, AttemptEnd::Accepted)),
            (at + 1, answered(ClientResponse::Accepted)),
        ];
        violations_of(events)
    };
    assert_eq!(retried(0, AttemptEnd::Abandoned, 30), []);
    assert_eq!(retried(1, AttemptEnd::Rejected, 30), []);
    assert_eq!(retried(1, AttemptEnd::Abandoned, 30), [ViolationKind::MayRunTwice]);
    assert_eq!(retried(1, AttemptEnd::Reset, 30), [ViolationKind::MayRunTwice]);
    assert_eq!(retried(2, AttemptEnd::Abandoned, 900), []);
    assert_eq!(retried(2, AttemptEnd::Abandoned, 1060), [ViolationKind::MayRunTwice]);
    // The end of the first attempt may be logged up to 50 ms (the tolerance) after the start of the second.
    let overlapping = |first_ends| {
        violations_of(vec![
            (0, opened(0)),
            (1, attempt(0)),
            (30, attempt(1)),
            (first_ends, attempt_ended(0, AttemptEnd::Abandoned)),
            (90, attempt_ended(1, AttemptEnd::Accepted)),
            (90, answered(ClientResponse::Accepted)),
        ])
    };
    assert_eq!((overlapping(79), overlapping(81)), (vec![], vec![ViolationKind::ConcurrentAttempts]));
    let rejected = |listener, first, at| {
        violations_of(vec![
            (0, opened(listener)),
            (1, attempt(0)),
            (20, attempt_ended(0, first)),
            (at, answered(ClientResponse::Rejected(0))),
        ])
    };
    assert_eq!(rejected(1, AttemptEnd::Rejected, 30), []);
    assert_eq!(rejected(1, AttemptEnd::Failed, 30), [ViolationKind::RejectedThoughMayHaveRun]);
    assert_eq!(rejected(2, AttemptEnd::Failed, 30), []);
    assert_eq!(rejected(2, AttemptEnd::Failed, 1100), [ViolationKind::RejectedThoughMayHaveRun]);
    let many = (0..5).flat_map(|n| {
        [(n * 10, attempt(n as usize)), (n * 10 + 1, attempt_ended(n as usize, AttemptEnd::Failed))]
    });
    let many = std::iter::once((0, opened(0))).chain(many).chain([(60, answered(ClientResponse::Failed))]);
    assert_eq!(violations_of(many.collect()), [ViolationKind::TooManyAttempts]);
}

#[test]
fn attempts_after_drain_grace_overload_and_leftover_sessions_are_violations() {
    let notified = |ready| EventKind::EndpointNotified { proxy: 0, server: 0, ready };
    let attempted = |at| {
        violations_of(vec![
            (0, notified(false)),
            (0, opened(0)),
            (at, attempt(0)),
            (at + 1, attempt_ended(0, AttemptEnd::Failed)),
            (at + 1, answered(ClientResponse::Failed)),
        ])
    };
    assert_eq!((attempted(549), attempted(551)), (vec![], vec![ViolationKind::AttemptAfterDrainGrace]));
    // The grace counts from the first of two notifications. A notification that the server is ready again cancels it.
    let ready_again = vec![
        (0, notified(false)),
        (500, notified(false)),
        (600, notified(true)),
        (1000, opened(0)),
        (1001, attempt(0)),
        (1002, attempt_ended(0, AttemptEnd::Failed)),
        (1003, answered(ClientResponse::Failed)),
    ];
    assert_eq!(violations_of(ready_again), []);
    assert_eq!(
        violations_of(vec![(0, EventKind::Overloaded { server: 0, ratio: 5.0 })]),
        [ViolationKind::SlowStartOverloaded]
    );
    assert_eq!(
        violations_of(vec![(0, EventKind::SessionsLeftBehind { server: 0, sessions: 3 })]),
        [ViolationKind::SessionsLeftBehind]
    );
}

#[test]
fn wrong_ends_messages_silence_and_timeouts_of_established_sessions_are_violations() {
    let established = |rest: Vec<(u64, EventKind)>| {
        let mut all = vec![(0, opened(0)), (1, attempt(0)), (2, attempt_ended(0, AttemptEnd::Accepted))];
        all.push((3, answered(ClientResponse::Accepted)));
        all.extend(rest);
        violations_of(all)
    };
    assert_eq!(
        established(vec![(500, ended(ConnectionEnd::Closed))]),
        [ViolationKind::BrokenWithoutMigration]
    );
    assert_eq!(established(vec![(500, ended(ConnectionEnd::Migrated))]), []);
    let reset = |client_ends| {
        established(vec![
            (500, attempt_ended(0, AttemptEnd::Reset)),
            (client_ends, ended(ConnectionEnd::Broken)),
        ])
    };
    assert_eq!(
        (reset(501), reset(1540), reset(1560)),
        (vec![], vec![], vec![ViolationKind::EndNotifiedLate])
    );
    assert_eq!(
        established(vec![(499, EventKind::ServerDied { server: 0 }), (500, ended(ConnectionEnd::Broken))]),
        []
    );
    assert_eq!(
        established(vec![(
            5,
            EventKind::MessageDelayed { id: ID, direction: Direction::ToClient, took: 11_000 }
        )]),
        [ViolationKind::MessageDelayed]
    );
    assert_eq!(established(vec![(5, EventKind::MessageAltered { id: ID })]), [ViolationKind::MessageAltered]);
    assert_eq!(
        established(vec![(5, EventKind::ConnectionSilent { id: ID, duration: 71_000 })]),
        [ViolationKind::SilentTooLong]
    );
    // The server is given a longer timeout than the client's remaining time.
    let long = EventKind::AttemptStarted { id: ID, server: 0, connection: 0, timeout_ms: 3060 };
    let events = vec![
        (0, opened(0)),
        (1, long),
        (2, attempt_ended(0, AttemptEnd::Accepted)),
        (3, answered(ClientResponse::Accepted)),
    ];
    assert_eq!(violations_of(events), [ViolationKind::TimeoutTooLong]);
}

#[test]
fn the_exit_of_a_pass_through_proxy_may_break_its_sessions() {
    let mut event_log = EventLog::default();
    let events = [
        (0, opened(0)),
        (1, attempt(0)),
        (2, attempt_ended(0, AttemptEnd::Accepted)),
        (3, answered(ClientResponse::Accepted)),
        (500, ended(ConnectionEnd::Closed)),
        (520, EventKind::ProxyExited { proxy: 0, planned: true }),
    ];
    events.into_iter().for_each(|(ms, kind)| event_log.record(ms * 10, kind));
    let count = |extra_toml| audit(&scenario(extra_toml), &event_log, END).violations.len();
    assert_eq!((count(""), count("[rules]\npasses = true\n")), (1, 0));
}
