//! Which endpoints are ejected or avoided for their failures.
use larklink_balancer::{
    Action, AttemptOutcome, Balancer, EndpointIndex, EndpointState, ListScope, Observation, SessionRequest,
    Settings, TickDuration,
};

use crate::fixture::{
    SECOND, START, at, balancer_with, endpoint_of, entry, request, seeded_balancer, settings, ticks,
};

/// Established sessions stay and reconnecting ones return; an ejection or a drain still closes it.
#[test]
fn a_removed_endpoint_keeps_its_sessions_where_removal_is_not_binding() {
    let set = Settings { removal_not_binding: true, ..settings() };
    let migrations = |balancer: &mut Balancer, from: u64| {
        let done = (from..from + 20).flat_map(|n| balancer.poll(at(n * set.connect_timeout + ticks(10))));
        done.filter(|c| matches!(c, Action::Migrate(_))).count()
    };
    let lost = |set: &Settings| {
        let mut balancer = balancer_with(set.clone(), 3);
        let stand: Vec<_> = (1..30).map(|key| (key, balancer.place(START, request(key, 0)))).collect();
        stand.iter().for_each(|(_, (session, _))| balancer.established(at(ticks(5)), *session));
        let key = stand.iter().find(|(_, (_, to))| endpoint_of(*to) == 0).unwrap().0;
        balancer.update_endpoints(
            at(ticks(10)),
            ListScope::Complete,
            &[entry(1, EndpointState::Ready, START), entry(2, EndpointState::Ready, START)],
        );
        (balancer, key)
    };
    let (mut balancer, key) = lost(&set);
    assert_eq!(
        endpoint_of(balancer.place(at(ticks(20)), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    assert_ne!(endpoint_of(balancer.place(at(ticks(20)), request(key, 0)).1), 0, "it has left the table");
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
    let (mut balancer, key) = lost(&set);
    balancer.update_endpoints(at(ticks(20)), ListScope::Changes, &[entry(0, EndpointState::Draining, START)]);
    balancer.update_endpoints(at(ticks(30)), ListScope::Changes, &[entry(0, EndpointState::Removed, START)]);
    assert_ne!(
        endpoint_of(balancer.place(at(SECOND), SessionRequest { established: true, ..request(key, 0) }).1),
        0
    );
    // Where removal is binding, all leave at once.
    let (mut balancer, key) = lost(&settings());
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

/// Handshakes hang at an endpoint while its older sessions are served well.
#[test]
fn sessions_established_before_handshakes_hang_are_no_sign_of_health() {
    let mut taken = 0;
    for seed in 0..50 {
        let mut balancer = seeded_balancer(settings(), seed, 0..2);
        let mut stands = Vec::new();
        for key in 1..9 {
            let (session, decision) = balancer.place(START, request(key, 0));
            balancer.established(at(ticks(10)), session);
            stands.push((session, endpoint_of(decision)));
        }
        let (hangs, bad) = balancer.place(at(SECOND), request(99, 0));
        let bad = endpoint_of(bad);
        balancer.attempt_ended(at(3 * SECOND), hangs, AttemptOutcome::TimedOut, true);
        for (session, _) in stands.iter().filter(|(_, endpoint)| *endpoint == bad).cycle().take(20) {
            balancer.observe(at(3 * SECOND), *session, Observation::Load(1.0));
        }
        taken += u32::from(endpoint_of(balancer.place(at(3 * SECOND), request(99, 0)).1) == bad);
    }
    assert!((10..40).contains(&taken), "{taken} of 50 are sent there again");
}

#[test]
fn an_endpoint_that_resets_its_sessions_does_not_attract_all_that_reconnect() {
    let mut balancer = balancer_with(settings(), 8);
    let (mut bad, mut sent) = (None, 0);
    for n in 0..100 {
        let (session, decision) = balancer.place(at(ticks(n * 10)), request(3, 0));
        let endpoint = endpoint_of(decision);
        balancer.established(at(ticks(n * 10 + 5)), session);
        if endpoint == *bad.get_or_insert(endpoint) {
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
    assert!(!migrations(&mut balancer, 5), "it is healthy again");
    balancer.observe(at(4 * SECOND), session, Observation::MessageLatency(3 * SECOND));
    assert!(migrations(&mut balancer, 20));
}
