//! Tests of the choice of a session's endpoint from its ranking.
use std::collections::BTreeSet;

use larklink_balancer::{
    Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, ListScope, Observation, SessionRequest,
    Settings, TickDuration,
};

use crate::fixture::{
    SECOND, START, at, balancer_with, endpoint_of, endpoint_of_first_attempt, entry, request,
    seeded_balancer, settings, ticks,
};

#[test]
fn an_endpoint_clearly_above_the_mean_load_is_passed_over() {
    let mut balancer = balancer_with(settings(), 8);
    let mut count = [0; 8];
    for _ in 0..80 {
        count[endpoint_of(balancer.place(START, request(5, 0)).1)] += 1;
    }
    assert!(count.iter().max() < Some(&60), "all sessions stay on one endpoint: {count:?}");
}

#[test]
fn a_reconnecting_client_passes_over_an_unused_endpoint_half_the_time() {
    let reconnecting = SessionRequest { reconnecting: true, ..request(5, 0) };
    let endpoints = |request: SessionRequest| {
        (0..200).map(move |seed| {
            let mut balancer = seeded_balancer(settings(), seed, 0..8);
            endpoint_of(balancer.place(START, request).1)
        })
    };
    let owner = endpoints(request(5, 0)).next().expect("200 placements");
    assert!(endpoints(request(5, 0)).all(|s| s == owner), "a new client does not go to the owner");
    assert!((70..130).contains(&endpoints(reconnecting).filter(|s| *s == owner).count()));
}

#[test]
fn an_established_session_goes_to_the_previous_owner_of_its_bucket() {
    let (mut balancer, owner) = (
        balancer_with(settings(), 8),
        endpoint_of(balancer_with(settings(), 8).place(START, request(9, 0)).1),
    );
    let now = at(60 * SECOND);
    balancer.update_endpoints(now, ListScope::Changes, &[entry(owner, EndpointState::Draining, START)]);
    let established = SessionRequest { established: true, ..request(9, 0) };
    assert_eq!(endpoint_of(balancer.place(now + SECOND / 10, established).1), owner);
    assert_ne!(endpoint_of(balancer.place(now + SECOND, established).1), owner);
}

/// After half of 169 proxies died, the established sessions that reconnect must not all go to an endpoint that
/// restarted three seconds before.
#[test]
fn a_recently_restarted_endpoint_is_not_the_previous_owner_of_a_bucket() {
    let (owner, now) =
        (endpoint_of(balancer_with(settings(), 8).place(START, request(9, 0)).1), at(60 * SECOND));
    let mut balancer = balancer_with(settings(), 8);
    balancer.update_endpoints(
        now,
        ListScope::Changes,
        &[entry(EndpointIndex(owner).0, EndpointState::Ready, now - SECOND)],
    );
    let established = SessionRequest { established: true, ..request(9, 0) };
    assert_ne!(endpoint_of(balancer.place(now + SECOND, established).1), owner);
    assert_eq!(endpoint_of(balancer.place(now + 20 * SECOND, established).1), owner);
}

#[test]
fn without_endpoints_a_session_is_rejected_at_once() {
    let mut balancer = Balancer::new(settings(), 7, START);
    assert!(matches!(balancer.place(START, request(1, 1)).1, Decision::Reject { .. }));
}

#[test]
fn overload_does_not_scatter_a_small_group_over_all_endpoints() {
    let mut balancer = balancer_with(settings(), 8);
    let mut used = BTreeSet::new();
    for key in 1..41 {
        let (session, decision) = balancer.place(START, request(key, 0));
        balancer.established(at(ticks(10)), session);
        balancer.observe(at(ticks(20)), session, Observation::MessageLatency(ticks(400)));
        used.insert(endpoint_of(decision));
    }
    assert_eq!(used.len(), 8, "not all endpoints are overloaded");
    let group: BTreeSet<_> =
        (0..8).map(|_| endpoint_of(balancer.place(at(ticks(30)), request(50, 0)).1)).collect();
    assert!(group.len() <= 3, "one group is on {group:?}");
}

/// The first two endpoints of the ranking have different weights.
#[test]
fn a_large_group_is_spread_over_its_endpoints_by_weight() {
    let mut sent = [0; 8];
    for seed in 0..300 {
        let mut balancer = Balancer::new(settings(), seed, START);
        let weighted_entry = |s| EndpointEntry {
            weight: if s % 2 == 0 { 4.0 } else { 1.0 },
            ..entry(s, EndpointState::Ready, at(TickDuration::ZERO))
        };
        balancer.update_endpoints(START, ListScope::Cached, &(0..8).map(weighted_entry).collect::<Vec<_>>());
        (0..12).for_each(|n| sent[endpoint_of(balancer.place(START, request(3, 0)).1)] += u32::from(n > 5));
    }
    let mean = |remainder| {
        let used: Vec<_> = (0..8).filter(|s| s % 2 == remainder && sent[*s] > 0).map(|s| sent[s]).collect();
        f64::from(used.iter().sum::<u32>()) / used.len() as f64
    };
    assert!(mean(0) > 2.0 * mean(1), "{sent:?}");
}

/// A proxy with two sessions that share a group by chance must not estimate that the group has half of all
/// sessions.
#[test]
fn two_sessions_of_one_group_do_not_count_as_a_large_group() {
    let entries: Vec<_> = (0..40).map(|s| entry(s, EndpointState::Ready, START)).collect();
    let second = |seed| {
        let mut balancer = Balancer::new(settings(), seed, START);
        balancer.update_endpoints(START, ListScope::Cached, &entries);
        balancer.place(START, request(3, 0));
        endpoint_of(balancer.place(START, request(3, 0)).1)
    };
    let used: BTreeSet<_> = (0..200).map(second).collect();
    assert!(used.len() > 1 && used.len() < 9, "{used:?}");
}

/// With 150 proxies of ten sessions each, no proxy sees from its own sessions that the group has eight times
/// the mean load.
#[test]
fn hundreds_of_proxies_spread_a_group_that_is_larger_than_an_endpoint() {
    let max_sessions = |group: fn(u64) -> u64, settings: Settings| {
        let mut held = [0; 8];
        for seed in 0..150 {
            let mut balancer = seeded_balancer(settings.clone(), seed, 0..8);
            (0..10).for_each(|n| {
                held[endpoint_of(balancer.place(START, request(group(seed * 10 + n), 0)).1)] += 1
            });
        }
        held.into_iter().max().unwrap()
    };
    let reported = max_sessions(|_| 3, Settings { load_reports: true, ..settings() });
    let spread = max_sessions(|_| 3, settings());
    assert!(
        spread < 400 && reported > 400,
        "{spread} of 1500 on one endpoint, {reported} where loads are reported"
    );
    assert_eq!(
        endpoint_of_first_attempt(None, request(5, 0)),
        endpoint_of(balancer_with(settings(), 12).place(at(ticks(9)), request(5, 0)).1),
        "a single session is spread like a large group"
    );
}

/// Guards against a drain that an older list undoes: after SIGHUP, or when discovery starts again, a list may come that
/// was made before the drain.
#[test]
fn an_older_list_makes_no_closed_endpoint_ready_again() {
    use EndpointState::{Draining, Ready, Removed};
    use ListScope::{Changes, OlderChanges, OlderComplete};
    let mut balancer = balancer_with(settings(), 5);
    let state = |balancer: &Balancer, index| balancer.endpoint_state(EndpointIndex(index));
    let closed = [entry(0, Draining, START), entry(1, Removed, START), entry(2, Draining, START)];
    balancer.update_endpoints(at(SECOND), Changes, &closed);
    // It lacks endpoint 4, which joined later, and knows of a later start of endpoint 2.
    let older = [
        entry(0, Ready, START),
        entry(1, Ready, START),
        entry(2, Ready, at(SECOND)),
        entry(3, Draining, START),
    ];
    balancer.update_endpoints(at(2 * SECOND), OlderComplete, &older);
    assert_eq!(
        [0, 1, 2, 3, 4].map(|index| state(&balancer, index)),
        [Draining, Removed, Ready, Draining, Removed]
    );
    // What an older list has closed, a later one of the same address opens.
    let later = [3, 4, 0].map(|index| entry(index, Ready, START));
    balancer.update_endpoints(at(3 * SECOND), OlderChanges, &later);
    assert_eq!([0, 3, 4].map(|index| state(&balancer, index)), [Draining, Ready, Ready]);
    balancer.update_endpoints(at(4 * SECOND), Changes, &[entry(0, Ready, START)]);
    assert_eq!(state(&balancer, 0), Ready);
}
