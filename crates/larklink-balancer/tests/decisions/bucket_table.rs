//! Tests of the ownership of buckets.
use larklink_balancer::{Balancer, EndpointState, ListScope, SessionRequest};
use proptest::prelude::prop;
use proptest::test_runner::{Config, RngSeed};
use proptest::{prop_assert, proptest};

use crate::fixture::{
    START, balancer_with, endpoint_of, endpoint_of_first_attempt, entry, request, settings,
};

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn only_the_buckets_of_a_changed_endpoint_move(gone in 0..8usize, keys in prop::collection::vec(1..u64::MAX, 50)) {
        for key in keys {
            let before = endpoint_of(balancer_with(settings(), 8).place(START, request(key, 0)).1);
            let mut balancer = balancer_with(settings(), 8);
            balancer.update_endpoints(START, ListScope::Changes, &[entry(gone, EndpointState::Removed, START)]);
            let after = endpoint_of(balancer.place(START, request(key, 0)).1);
            prop_assert!(after != gone && (after == before || before == gone));
        }
    }
}

#[test]
fn proxies_with_the_same_list_agree_whatever_its_order() {
    let entries: Vec<_> = (0..8).map(|s| entry(s, EndpointState::Ready, START)).collect();
    let reversed: Vec<_> = entries.iter().rev().copied().collect();
    for key in 1..200 {
        let mut first = Balancer::new(settings(), 1, START);
        let mut second = Balancer::new(settings(), 2, START);
        first.update_endpoints(START, ListScope::Cached, &entries);
        second.update_endpoints(START, ListScope::Cached, &reversed);
        assert_eq!(
            endpoint_of(first.place(START, request(key, 0)).1),
            endpoint_of(second.place(START, request(key, 0)).1)
        );
    }
}

#[test]
fn rankings_after_a_change_are_those_of_a_new_table() {
    let mut balancer = balancer_with(settings(), 8);
    let place = |balancer: &mut Balancer, key| {
        let (session, decision) = balancer.place(START, request(key, 0));
        balancer.client_left(session);
        endpoint_of(decision)
    };
    for key in 1..200 {
        place(&mut balancer, key);
    }
    balancer.update_endpoints(
        START,
        ListScope::Changes,
        &[entry(2, EndpointState::Removed, START), entry(8, EndpointState::Ready, START)],
    );
    let mut fresh = Balancer::new(settings(), 9, START);
    let remaining: Vec<_> =
        (0..9).filter(|s| *s != 2).map(|s| entry(s, EndpointState::Ready, START)).collect();
    fresh.update_endpoints(START, ListScope::Cached, &remaining);
    (1..200).for_each(|key| assert_eq!(place(&mut balancer, key), place(&mut fresh, key)));
}

#[test]
fn a_proxy_takes_the_first_local_endpoint_of_the_ranking() {
    let is_local = |zone, key| {
        entry(endpoint_of_first_attempt(Some(zone), request(key, 0)), EndpointState::Ready, START).zone
            == zone
    };
    // The first six endpoints of a ranking are considered. With half of the endpoints local, one key in 64
    // finds none.
    assert!(
        (1..200).all(|key| is_local(0, key) || is_local(1, key)),
        "a key without a local endpoint in either zone"
    );
    assert!((1..200).filter(|key| is_local(0, *key)).count() > 190);
    assert_eq!(
        endpoint_of_first_attempt(None, request(5, 0)),
        endpoint_of_first_attempt(Some(2), request(5, 0)),
        "a zone without endpoints changes the ranking"
    );
    let established = |key| SessionRequest { established: true, ..request(key, 0) };
    (1..200).for_each(|key| {
        assert_eq!(
            endpoint_of_first_attempt(Some(1), request(key, 0)),
            endpoint_of_first_attempt(Some(1), established(key))
        )
    });
}
