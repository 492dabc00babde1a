//! The audit on event logs written by hand: each violation, beside the nearest thing that is none.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use larklink_simulation::audit::{Findings, ViolationKind, audit};
use larklink_simulation::duration::SECOND;
use larklink_simulation::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use larklink_simulation::scenario::Scenario;

const ID: u64 = 7;
const END: u64 = 20 * SECOND;

fn scenario(more: &str) -> Scenario {
    let text = "[[listeners]]\nname = 'r'\n[[listeners]]\nname = 'o'\nkind = 'once-only'\n\
                [[listeners]]\nname = 'f'\nkind = 'referenced'\nwindow = '1s'\n";
    Scenario::parse(&format!("{more}\n{text}")).unwrap()
}

fn opened(listener: usize) -> EventKind {
    let request = ClientRequest {
        client: 0,
        id: ID,
        key: 1,
        group: 1,
        listener,
        patience: 3 * SECOND,
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

/// The findings in a log of these events, at their milliseconds.
fn judge(events: Vec<(u64, EventKind)>) -> Findings {
    let mut event_log = EventLog::default();
    events.into_iter().for_each(|(ms, kind)| event_log.record(ms * 10, kind));
    audit(&scenario(""), &event_log, END)
}

/// The kinds of violations, once each.
fn broken(events: Vec<(u64, EventKind)>) -> Vec<ViolationKind> {
    judge(events).counts().into_keys().collect()
}

#[test]
fn what_each_shape_of_proxies_got_is_told_apart() {
    let mixed = scenario("[proxies]\ncount = 2\nmoved = 1\n");
    let got = |proxy, answer| {
        let mut event_log = EventLog::default();
        let EventKind::Opened { request, .. } = opened(0) else { unreachable!() };
        event_log.record(0, EventKind::Opened { request, proxy });
        event_log.record(20, answered(answer));
        audit(&mixed, &event_log, END).shapes.map(|s| (s.opened, s.accepted))
    };
    assert_eq!(got(0, ClientResponse::Accepted), [(1, 1), (0, 0)]);
    assert_eq!(got(1, ClientResponse::Rejected(0)), [(0, 0), (1, 0)]);
    for (text, key) in
        [("[proxies]\nmoved = 4\n", "proxies.moved"), ("[must]\neach_shape = 0.5\n", "must.each_shape")]
    {
        assert!(Scenario::parse(text).unwrap_err().problems.iter().any(|p| p.key == key), "{text}");
    }
}

#[test]
fn an_answer_in_time_is_sound_and_one_too_many_too_late_or_none_is_not() {
    let at = |ms, rest: Vec<(u64, EventKind)>| {
        let mut all = vec![(0, opened(0)), (1, attempt(0)), (2, attempt_ended(0, AttemptEnd::Accepted))];
        all.push((ms, answered(ClientResponse::Accepted)));
        all.extend(rest);
        broken(all)
    };
    assert_eq!(at(3049, vec![]), []);
    assert_eq!(at(3051, vec![]), [ViolationKind::LateResponse]);
    assert_eq!(at(10, vec![(11, answered(ClientResponse::Rejected(0)))]), [ViolationKind::ExtraResponse]);
    assert_eq!(at(10, vec![(11, EventKind::ExtraMessage { id: ID })]), [ViolationKind::ExtraResponse]);
    assert_eq!(broken(vec![(0, opened(0))]), [ViolationKind::NoResponse]);
    assert_eq!(broken(vec![(0, opened(0)), (5, ended(ConnectionEnd::Closed))]), [ViolationKind::NoResponse]);
    assert_eq!(
        broken(vec![
            (0, opened(0)),
            (5, EventKind::MalformedResponse { id: ID }),
            (5, ended(ConnectionEnd::Closed))
        ]),
        [ViolationKind::NoResponse, ViolationKind::MalformedResponse]
    );
    assert_eq!(
        broken(vec![(0, opened(0)), (9, answered(ClientResponse::Accepted))]),
        [ViolationKind::AcceptedWithoutAttempt]
    );
    // Its client left, or the run ended before it had to be answered.
    assert_eq!(broken(vec![(0, opened(0)), (5, ended(ConnectionEnd::Left))]), []);
    assert_eq!(broken(vec![(18_000, opened(0))]), []);
}

#[test]
fn what_went_down_with_a_killed_proxy_is_no_loss_but_a_planned_stop_excuses_nothing() {
    let with = |planned| {
        let gone = EventKind::ProxyExited { proxy: 0, planned };
        judge(vec![(0, opened(0)), (100, gone), (101, ended(ConnectionEnd::Broken))])
    };
    assert_eq!(with(false).listeners[0].lost_with_proxy, 1);
    assert!(with(false).violations.is_empty());
    assert_eq!(with(true).violations[0].kind, ViolationKind::NoResponse);
    let nobody = judge(vec![(0, opened(0)), (1, EventKind::ProxyUnreachable { id: ID, proxy: 0 })]);
    assert_eq!((nobody.listeners[0].proxy_unreachable, nobody.violations.len()), (1, 0));
}

#[test]
fn a_dial_after_one_that_may_have_run_goes_by_the_kind() {
    let again = |listener, first: AttemptEnd, at| {
        let events = vec![
            (0, opened(listener)),
            (1, attempt(0)),
            (20, attempt_ended(0, first)),
            (at, attempt(1)),
            (at + 1, attempt_ended(1, AttemptEnd::Accepted)),
            (at + 1, answered(ClientResponse::Accepted)),
        ];
        broken(events)
    };
    assert_eq!(again(0, AttemptEnd::Abandoned, 30), []);
    assert_eq!(again(1, AttemptEnd::Rejected, 30), []);
    assert_eq!(again(1, AttemptEnd::Abandoned, 30), [ViolationKind::MayRunTwice]);
    assert_eq!(again(1, AttemptEnd::Reset, 30), [ViolationKind::MayRunTwice]);
    assert_eq!(again(2, AttemptEnd::Abandoned, 900), []);
    assert_eq!(again(2, AttemptEnd::Abandoned, 1060), [ViolationKind::MayRunTwice]);
    // The end of the first is logged up to 50 ms after the second has come.
    let out = |first_ends| {
        broken(vec![
            (0, opened(0)),
            (1, attempt(0)),
            (30, attempt(1)),
            (first_ends, attempt_ended(0, AttemptEnd::Abandoned)),
            (90, attempt_ended(1, AttemptEnd::Accepted)),
            (90, answered(ClientResponse::Accepted)),
        ])
    };
    assert_eq!((out(79), out(81)), (vec![], vec![ViolationKind::ConcurrentAttempts]));
    let refused = |listener, first, at| {
        broken(vec![
            (0, opened(listener)),
            (1, attempt(0)),
            (20, attempt_ended(0, first)),
            (at, answered(ClientResponse::Rejected(0))),
        ])
    };
    assert_eq!(refused(1, AttemptEnd::Rejected, 30), []);
    assert_eq!(refused(1, AttemptEnd::Failed, 30), [ViolationKind::RejectedThoughMayHaveRun]);
    assert_eq!(refused(2, AttemptEnd::Failed, 30), []);
    assert_eq!(refused(2, AttemptEnd::Failed, 1100), [ViolationKind::RejectedThoughMayHaveRun]);
    let many = (0..5).flat_map(|n| {
        [(n * 10, attempt(n as usize)), (n * 10 + 1, attempt_ended(n as usize, AttemptEnd::Failed))]
    });
    let many = std::iter::once((0, opened(0))).chain(many).chain([(60, answered(ClientResponse::Failed))]);
    assert_eq!(broken(many.collect()), [ViolationKind::TooManyAttempts]);
}

#[test]
fn servers_that_drain_or_are_cold_are_let_be() {
    let notified = |ready| EventKind::EndpointNotified { proxy: 0, server: 0, ready };
    let attempted = |at| {
        broken(vec![
            (0, notified(false)),
            (0, opened(0)),
            (at, attempt(0)),
            (at + 1, attempt_ended(0, AttemptEnd::Failed)),
            (at + 1, answered(ClientResponse::Failed)),
        ])
    };
    assert_eq!((attempted(549), attempted(551)), (vec![], vec![ViolationKind::AttemptAfterDrainGrace]));
    // Of two notifications the first counts; after one that it is up again, none does.
    let back = vec![
        (0, notified(false)),
        (500, notified(false)),
        (600, notified(true)),
        (1000, opened(0)),
        (1001, attempt(0)),
        (1002, attempt_ended(0, AttemptEnd::Failed)),
        (1003, answered(ClientResponse::Failed)),
    ];
    assert_eq!(broken(back), []);
    assert_eq!(
        broken(vec![(0, EventKind::Overloaded { server: 0, ratio: 5.0 })]),
        [ViolationKind::SlowStartOverloaded]
    );
    assert_eq!(
        broken(vec![(0, EventKind::SessionsLeftBehind { server: 0, sessions: 3 })]),
        [ViolationKind::SessionsLeftBehind]
    );
}

#[test]
fn an_accepted_session_is_cut_by_its_server_or_moved() {
    let established = |rest: Vec<(u64, EventKind)>| {
        let mut all = vec![(0, opened(0)), (1, attempt(0)), (2, attempt_ended(0, AttemptEnd::Accepted))];
        all.push((3, answered(ClientResponse::Accepted)));
        all.extend(rest);
        broken(all)
    };
    assert_eq!(
        established(vec![(500, ended(ConnectionEnd::Closed))]),
        [ViolationKind::BrokenWithoutMigration]
    );
    assert_eq!(established(vec![(500, ended(ConnectionEnd::Migrated))]), []);
    let cut = |client| {
        established(vec![(500, attempt_ended(0, AttemptEnd::Reset)), (client, ended(ConnectionEnd::Broken))])
    };
    assert_eq!((cut(501), cut(1540), cut(1560)), (vec![], vec![], vec![ViolationKind::EndNotifiedLate]));
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
    // Notified of more time than its client has.
    let long = EventKind::AttemptStarted { id: ID, server: 0, connection: 0, timeout_ms: 3060 };
    let notified = vec![
        (0, opened(0)),
        (1, long),
        (2, attempt_ended(0, AttemptEnd::Accepted)),
        (3, answered(ClientResponse::Accepted)),
    ];
    assert_eq!(broken(notified), [ViolationKind::TimeoutTooLong]);
}

#[test]
fn where_packets_pass_through_the_end_of_a_proxy_is_no_cut() {
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
    let found = |more| audit(&scenario(more), &event_log, END).violations.len();
    assert_eq!((found(""), found("[rules]\npasses = true\n")), (1, 0));
}
