//! Tests of the ejection and avoidance of failing endpoints.
use larklink_balancer::{
    Action, AttemptOutcome, Balancer, EndpointIndex, EndpointState, ListScope, Observation, SessionRequest,
    Settings, TickDuration,
};

use crate::fixture::{
    SECOND, START, at, balancer_with, endpoint_of, entry, request, seeded_balancer, settings, ticks,
};

/// Established sessions stay and reconnecting ones return. An ejection or a drain still closes the endpoint.
#[test]
fn a_removed_endpoint_keeps_its_sessions_where_removal_is_not_binding() {
    let not_binding = Settings { removal_not_binding: true, ..settings() };
    let migrations = |balancer: &mut Balancer, from: u64| {
        let done =
            (from..from + 20).flat_map(|n| balancer.poll(at(n * not_binding.connect_timeout + ticks(10))));
        done.filter(|action| matches!(action, Action::Migrate(_))).count()
    };
    let after_removal = |settings: &Settings| {
        let mut balancer = balancer_with(settings.clone(), 3);
        let placed: Vec<_> = (1..30).map(|key| (key, balancer.place(START, request(key, 0)))).collect();
        placed.iter().for_each(|(_, (session, _))| balancer.established(at(ticks(5)), *session));
        let key = placed.iter().find(|(_, (_, to))| endpoint_of(*to) == 0).unwrap().0;
        balancer.update_endpoints(
            at(ticks(10)),
            ListScope::Complete,
            &[entry(1, EndpointState::Ready, START), entry(2, EndpointState::Ready, START)],
        );
        (balancer, key)
    };
    let (mut balancer, key) = after_removal(&not_binding);
    assert_eq!(
        endpoint_of(balancer.place(at(ticks(20)), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    assert_ne!(
        endpoint_of(balancer.place(at(ticks(20)), request(key, 0)).1),
        0,
        "it is no longer in the bucket table"
    );
    assert_eq!(migrations(&mut balancer, 1), 0);
    for _ in 0..2 {
        balancer.health_checked(
            at(ticks(20)),
            EndpointIndex(0),
            AttemptOutcome::ConnectFailed,
            TickDuration::ZERO,
            0.0,
            0.0,
        );
    }
    assert_ne!(
        endpoint_of(balancer.place(at(ticks(30)), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    assert!(migrations(&mut balancer, 21) > 0);
    let (mut balancer, key) = after_removal(&not_binding);
    balancer.update_endpoints(at(ticks(20)), ListScope::Changes, &[entry(0, EndpointState::Draining, START)]);
    balancer.update_endpoints(at(ticks(30)), ListScope::Changes, &[entry(0, EndpointState::Removed, START)]);
    assert_ne!(
        endpoint_of(balancer.place(at(SECOND), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    // If removal is binding, the endpoint is closed at once.
    let (mut balancer, key) = after_removal(&settings());
    assert_ne!(
        endpoint_of(balancer.place(at(ticks(20)), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    assert!(migrations(&mut balancer, 1) > 0);
}

#[test]
fn sessions_are_migrated_off_an_ejected_endpoint() {
    let mut balancer = balancer_with(settings(), 4);
    let (session, decision) = balancer.place(START, request(3, 0));
    balancer.established(at(ticks(10)), session);
    for _ in 0..2 {
        balancer.health_checked(
            at(ticks(20)),
            EndpointIndex(endpoint_of(decision)),
            AttemptOutcome::TimedOut,
            ticks(10),
            0.0,
            0.0,
        );
    }
    assert!((20..60).any(|n| balancer.poll(at(n * SECOND / 4)).contains(&Action::Migrate(session))));
}

/// Handshakes hang on an endpoint that still serves its older sessions. Their traffic must not make it look
/// healthy.
#[test]
fn traffic_of_older_sessions_does_not_hide_hanging_handshakes() {
    let mut retried_there = 0;
    for seed in 0..50 {
        let mut balancer = seeded_balancer(settings(), seed, 0..2);
        let mut established = Vec::new();
        for key in 1..9 {
            let (session, decision) = balancer.place(START, request(key, 0));
            balancer.established(at(ticks(10)), session);
            established.push((session, endpoint_of(decision)));
        }
        let (timed_out, decision) = balancer.place(at(SECOND), request(99, 0));
        let hanging = endpoint_of(decision);
        balancer.attempt_ended(at(3 * SECOND), timed_out, AttemptOutcome::TimedOut, true);
        for (session, _) in established.iter().filter(|(_, endpoint)| *endpoint == hanging).cycle().take(20) {
            balancer.observe(at(3 * SECOND), *session, Observation::Load(1.0));
        }
        retried_there += u32::from(endpoint_of(balancer.place(at(3 * SECOND), request(99, 0)).1) == hanging);
    }
    assert!((10..40).contains(&retried_there), "{retried_there} of 50 are sent there again");
}

#[test]
fn an_endpoint_that_resets_its_sessions_does_not_attract_all_that_reconnect() {
    let mut balancer = balancer_with(settings(), 8);
    let (mut first, mut sent) = (None, 0);
    for n in 0..100 {
        let (session, decision) = balancer.place(at(ticks(n * 10)), request(3, 0));
        let endpoint = endpoint_of(decision);
        balancer.established(at(ticks(n * 10 + 5)), session);
        if endpoint == *first.get_or_insert(endpoint) {
            sent += 1;
            balancer.attempt_ended(at(ticks(n * 10 + 6)), session, AttemptOutcome::Reset, true);
        }
    }
    assert!(sent < 20, "{sent} of 100 sessions to an endpoint that drops them");
}

#[test]
fn messages_slower_than_any_dial_timeout_eject_an_endpoint() {
    let mut balancer = balancer_with(settings(), 4);
    let (session, _) = balancer.place(START, request(3, 0));
    balancer.established(at(ticks(10)), session);
    let migrations = |balancer: &mut Balancer, from| {
        (from..from + 8).any(|n| balancer.poll(at(n * SECOND / 5)).contains(&Action::Migrate(session)))
    };
    balancer.observe(at(SECOND), session, Observation::MessageLatency(3 * SECOND));
    balancer.observe(at(SECOND + ticks(10)), session, Observation::MessageLatency(ticks(10)));
    assert!(!migrations(&mut balancer, 5), "migrated although the endpoint has recovered");
    balancer.observe(at(4 * SECOND), session, Observation::MessageLatency(3 * SECOND));
    assert!(migrations(&mut balancer, 20));
}
