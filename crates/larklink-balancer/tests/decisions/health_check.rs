//! Tests of when endpoints are health-checked.
use std::collections::BTreeMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointIndex, EndpointState, ListScope, Observation,
    Settings,
};

use crate::fixture::{
    SECOND, START, after_health_checks, at, balancer_with, connects_to, endpoint_of, entry, request,
    seeded_balancer, settings, ticks,
};

#[test]
fn proxies_check_a_lost_endpoint_with_backoff_and_not_in_lockstep() {
    // Guards against the load of health checks on a failed zone: a hundred proxies once sent 170 per second to
    // its three endpoints.
    let (mut checks, mut first) = (vec![0; 12], BTreeMap::new());
    for seed in 0..100 {
        let mut balancer = Balancer::new(Settings { health_checks: true, ..settings() }, seed, START);
        balancer.update_endpoints(START, ListScope::Cached, &[entry(0, EndpointState::Ready, START)]);
        *first.entry(balancer.next_wakeup()).or_insert(0) += 1;
        balancer.health_checked(START, EndpointIndex(0), AttemptOutcome::ConnectFailed, ticks(10), 0.0, 0.0);
        while balancer.next_wakeup() < at(12 * SECOND) {
            let now = balancer.next_wakeup();
            for _ in balancer.poll(now).iter().filter(|action| matches!(action, Action::CheckHealth(_))) {
                checks[(now.as_ticks() / SECOND.as_ticks()) as usize] += 1;
                balancer.health_checked(
                    now,
                    EndpointIndex(0),
                    AttemptOutcome::ConnectFailed,
                    ticks(10),
                    0.0,
                    0.0,
                );
            }
        }
    }
    assert!(checks[0] >= 80, "too few checks soon after the first failure: {checks:?}");
    assert!(checks[6..].iter().sum::<i32>() < 300 && checks[6..].iter().all(|n| *n > 0), "{checks:?}");
    assert!(first.values().max() < Some(&5), "proxies check in lockstep: {first:?}");
}

#[test]
fn an_endpoint_that_reports_overload_is_passed_over_before_anything_is_sent() {
    let mut balancer = balancer_with(Settings { health_checks: true, ..settings() }, 8);
    let owner = endpoint_of(balancer_with(settings(), 8).place(START, request(5, 0)).1);
    let (session, decision) = balancer.place(START, request(5, 0));
    assert_eq!(decision, Decision::Wait);
    assert!(balancer.poll(START).contains(&Action::CheckHealth(EndpointIndex(owner))));
    balancer.health_checked(
        at(ticks(50)),
        EndpointIndex(owner),
        AttemptOutcome::Succeeded,
        ticks(50),
        1.2,
        0.0,
    );
    let checked: Vec<_> = balancer
        .poll(at(ticks(50)))
        .into_iter()
        .filter(|action| matches!(action, Action::CheckHealth(_)))
        .collect();
    assert!(
        checked.len() == 1 && checked[0] != Action::CheckHealth(EndpointIndex(owner)),
        "the second endpoint is not checked next: {checked:?}"
    );
    let endpoint = balancer.poll(at(SECOND)).into_iter().find_map(|action| match action {
        Action::Decided(handle, decision) if handle == session => Some(endpoint_of(decision)),
        _ => None,
    });
    assert!(
        endpoint.is_some_and(|s| s != owner),
        "not sent elsewhere after an unanswered health check: {endpoint:?}"
    );
}

/// A load report from before the first session does not include the load of the new sessions.
#[test]
fn an_endpoint_with_new_sessions_is_checked_soon_and_then_less_often() {
    let mut balancer = balancer_with(Settings { health_checks: true, load_reports: true, ..settings() }, 1);
    let checks_between = |balancer: &mut Balancer, from: u64, to: u64| {
        let rounds = (from * 5..to * 5).map(|n| at(n * SECOND / 5));
        let mut checks = 0;
        for now in rounds {
            let due = balancer.poll(now).contains(&Action::CheckHealth(EndpointIndex(0)));
            checks += u32::from(due);
            if due {
                balancer.health_checked(
                    now,
                    EndpointIndex(0),
                    AttemptOutcome::Succeeded,
                    ticks(10),
                    0.1,
                    0.0,
                );
            }
        }
        checks
    };
    let start = at(SECOND * 10);
    let (session, decision) = balancer.place(start, request(5, 0));
    assert!(connects_to(after_health_checks(&mut balancer, start, 1, decision), 0));
    balancer.established(start, session);
    assert!((2..=3).contains(&checks_between(&mut balancer, 10, 12)), "not twice in its first two seconds");
    assert!(
        (1..=2).contains(&checks_between(&mut balancer, 12, 18)),
        "not once or twice in the next six seconds"
    );
    assert!(
        (7..=9).contains(&checks_between(&mut balancer, 40, 140)),
        "not once in 64 connect timeouts in the end"
    );
}

#[test]
fn an_unanswered_message_leads_to_a_health_check_soon() {
    let mut balancer = balancer_with(Settings { health_checks: true, ..settings() }, 1);
    let (session, _) = balancer.place(START, request(3, 0));
    balancer.health_checked(at(ticks(10)), EndpointIndex(0), AttemptOutcome::Succeeded, ticks(10), 0.0, 0.0);
    balancer.poll(at(ticks(10)));
    balancer.established(at(ticks(20)), session);
    let checks = |from, balancer: &mut Balancer| {
        (from..from + 4)
            .flat_map(|n| balancer.poll(at(n * SECOND / 4)))
            .filter(|action| *action == Action::CheckHealth(EndpointIndex(0)))
            .count()
    };
    assert_eq!(checks(4, &mut balancer), 0, "checked although it answered recently");
    balancer.observe(at(2 * SECOND), session, Observation::Unresponsive);
    assert!(checks(8, &mut balancer) > 0, "not checked after an unanswered message");
}

/// Each check fails, so the next endpoint has no result either.
#[test]
fn a_session_waits_for_three_health_checks_at_most() {
    for seed in 0..20 {
        let settings = Settings { health_checks: true, ..settings() };
        let mut balancer = seeded_balancer(settings, seed, 0..12);
        let (session, mut decision) = balancer.place(START, request(5, 0));
        let mut waits = 0;
        while decision == Decision::Wait {
            waits += 1;
            let now = 10 * waits;
            for endpoint in 0..12 {
                balancer.health_checked(
                    at(ticks(now)),
                    EndpointIndex(endpoint),
                    AttemptOutcome::ConnectFailed,
                    ticks(10),
                    0.0,
                    0.0,
                );
            }
            let decided = |action| match action {
                Action::Decided(handle, decision) if handle == session => Some(decision),
                _ => None,
            };
            let actions = balancer.poll(at(ticks(now)));
            decision =
                actions.into_iter().find_map(decided).expect("a decision after its health check has ended");
        }
        assert_eq!(waits, 3, "seed {seed}");
        assert!(matches!(decision, Decision::Connect { .. }), "{decision:?}");
    }
}
