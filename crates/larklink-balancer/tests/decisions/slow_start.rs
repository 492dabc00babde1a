//! Tests of the quota of endpoints in slow start.
use std::collections::BTreeMap;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointIndex, EndpointState, ListScope, SessionRequest,
    Settings, Timestamp,
};

use crate::fixture::{
    SECOND, START, after_health_checks, at, balancer_with, connects_to, endpoint_of, entry, request,
    seeded_balancer, settings, ticks,
};

/// Returns a balancer with 80 sessions on three endpoints and a fourth endpoint, of index 0, that starts at
/// the returned time.
fn with_endpoint_in_slow_start() -> (Balancer, Timestamp) {
    let (mut balancer, now) = (balancer_with(settings(), 4), at(60 * SECOND));
    balancer.update_endpoints(START, ListScope::Changes, &[entry(0, EndpointState::Removed, START)]);
    for key in 1..81 {
        balancer.place(START, request(key, 0));
    }
    balancer.update_endpoints(
        now,
        ListScope::Changes,
        &[entry(EndpointIndex(0).0, EndpointState::Ready, now)],
    );
    (balancer, now)
}

#[test]
fn hundreds_of_proxies_together_keep_within_the_slow_start_quota() {
    let (endpoints, proxies, now) = (10, 300, at(60 * SECOND));
    let entries: Vec<_> = (0..endpoints).map(|s| entry(s, EndpointState::Ready, START)).collect();
    let mut sent = BTreeMap::new();
    for seed in 0..proxies {
        let mut balancer = Balancer::new(settings(), seed, START);
        balancer.update_endpoints(START, ListScope::Cached, &entries);
        let key = |n: u64| 1 + (seed * 3 + n) % 40;
        let placed: Vec<_> = (0..3).map(|n| balancer.place(START, request(key(n), 0)).0).collect();
        balancer.update_endpoints(
            now,
            ListScope::Changes,
            &[entry(EndpointIndex(0).0, EndpointState::Ready, now)],
        );
        placed.into_iter().for_each(|session| balancer.client_left(session));
        for second in 0..20 {
            for n in 0..3 {
                let (session, decision) = balancer.place(
                    now + second * SECOND,
                    SessionRequest { reconnecting: true, ..request(key(n), 0) },
                );
                *sent.entry(second).or_insert(0) += u32::from(endpoint_of(decision) == 0);
                balancer.client_left(session);
            }
        }
    }
    for (second, sent) in sent {
        let share = 0.2 + 0.8 * second as f64 / 20.0;
        let limit = 4.0 * share * (3 * proxies) as f64 / endpoints as f64 / 20.0;
        assert!(f64::from(sent) <= limit + 1.0, "{sent} sends in second {second}, {limit} allowed");
    }
}

/// Returns the sessions sent to an endpoint in each second of its slow start, and a function that gives the
/// number that the settings allow. Each of `proxies` places `rate` sessions per second, all at the same
/// times. Only endpoint 1 reports `in_flight` sessions, at a utilization of 0.5, and only if that number is
/// positive. If `full`, all other endpoints report a utilization of 0.9 all the time and accept no more
/// sessions.
fn sent_during_slow_start(
    proxies: u32,
    rate: u64,
    in_flight: f64,
    full: bool,
) -> (Vec<u32>, impl Fn(usize) -> f64) {
    let (endpoints, now) = (10, at(60 * SECOND));
    let entries: Vec<_> = (0..endpoints).map(|s| entry(s, EndpointState::Ready, START)).collect();
    let mut sent = vec![0; 20];
    for seed in 0..u64::from(proxies) {
        let mut balancer = Balancer::new(Settings { proxy_count: proxies, ..settings() }, seed, START);
        balancer.update_endpoints(START, ListScope::Cached, &entries);
        if in_flight > 0.0 {
            balancer.health_checked(
                START,
                EndpointIndex(1),
                AttemptOutcome::Succeeded,
                ticks(10),
                0.5,
                in_flight,
            );
        } else {
            // A load without a number of sessions does not determine the capacity.
            balancer.health_checked(START, EndpointIndex(1), AttemptOutcome::Succeeded, ticks(10), 0.5, 0.0);
            for n in 0..50 {
                let (session, decision) = balancer.place(START, request(9 + n * 77, 0));
                if endpoint_of(decision) == 0 {
                    balancer.client_left(session);
                }
            }
        }
        balancer.update_endpoints(
            now,
            ListScope::Changes,
            &[entry(EndpointIndex(0).0, EndpointState::Ready, now)],
        );
        for n in 0..20 * rate {
            let now = now + n * SECOND / rate;
            for s in 1..endpoints * usize::from(full) {
                balancer.health_checked(
                    now,
                    EndpointIndex(s),
                    AttemptOutcome::Succeeded,
                    ticks(10),
                    0.9,
                    45.0,
                );
            }
            let (session, decision) = balancer.place(now, request(1 + seed + n * 1000, 0));
            sent[(n / rate) as usize] += u32::from(connects_to(decision, 0));
            balancer.client_left(session);
        }
    }
    (sent, |second| 4.0 * (0.2 + 0.8 * second as f64 / 20.0) * 50.0 / 20.0)
}

#[test]
fn any_number_of_proxies_use_the_slow_start_quota_and_keep_to_it() {
    // Many proxies use less of the quota than a few, which send at regular intervals. Each of hundreds sends
    // at random, and the deviation of their total must stay within the quota.
    let fleets =
        [(1, 300, 0.9), (4, 75, 0.9), (4, 300, 0.9), (100, 3, 0.45), (100, 10, 0.45), (300, 1, 0.45)];
    for (proxies, rate, used) in fleets {
        let (sent, allowed) = sent_during_slow_start(proxies, rate, 25.0, false);
        for (second, &sent) in sent.iter().enumerate() {
            let n = allowed(second);
            let limit = n + 2.0 * n.sqrt() + 2.0;
            assert!(f64::from(sent) <= limit, "{proxies} proxies: {sent} sends in second {second}");
        }
        let (all, n) = (sent.iter().sum::<u32>(), (0..20).map(allowed).sum::<f64>());
        assert!(f64::from(all) > used * n, "{proxies} proxies: {all} sends, {n} allowed");
        assert!(f64::from(all) < 1.05 * n, "{proxies} proxies: {all} sends, {n} allowed");
    }
    let (sent, _) = sent_during_slow_start(4, 75, 0.0, false);
    assert!(
        sent.iter().sum::<u32>() > 10,
        "a load without a number of sessions stops the slow start: {sent:?}"
    );
}

/// A multiple of two allows half of what a multiple of four allows, less the margin for random variation.
#[test]
fn a_smaller_overload_multiple_admits_fewer_sessions() {
    let sends = |overload_multiple| {
        let settings = Settings { proxy_count: 40, overload_multiple, ..settings() };
        let proxy = |seed| {
            let mut balancer = seeded_balancer(settings.clone(), seed, 1..10);
            balancer.health_checked(START, EndpointIndex(1), AttemptOutcome::Succeeded, ticks(10), 0.5, 25.0);
            let now = at(60 * SECOND);
            balancer.update_endpoints(
                now,
                ListScope::Changes,
                &[entry(EndpointIndex(0).0, EndpointState::Ready, now - SECOND)],
            );
            let key = seed..;
            key.step_by(40)
                .take(60)
                .zip(0..)
                .filter(|&(key, n)| {
                    let (session, decision) = balancer.place(now + n * SECOND / 10, request(key, 0));
                    balancer.client_left(session);
                    connects_to(decision, 0)
                })
                .count()
        };
        (1..401).map(proxy).sum::<usize>() as f64
    };
    let (at_two, at_four) = (sends(2.0), sends(4.0));
    assert!(at_two > 0.2 * at_four && at_two < 0.65 * at_four, "{at_two} at two, {at_four} at four");
}

#[test]
fn a_session_keeps_its_quota_while_a_health_check_is_in_flight() {
    let settings = Settings { health_checks: true, load_reports: true, proxy_count: 10, ..settings() };
    let (now, mut waited) = (at(60 * SECOND), 0);
    for seed in 0..100 {
        let mut balancer = Balancer::new(settings.clone(), seed, START);
        balancer.update_endpoints(
            START,
            ListScope::Cached,
            &[
                entry(EndpointIndex(0).0, EndpointState::Ready, now - 10 * SECOND),
                entry(1, EndpointState::Ready, START),
            ],
        );
        balancer.health_checked(START, EndpointIndex(1), AttemptOutcome::Succeeded, ticks(10), 0.5, 25.0);
        let (session, _) = balancer.place(now, request(1 + seed, 0));
        if balancer.poll(now).contains(&Action::CheckHealth(EndpointIndex(0))) {
            balancer.health_checked(
                now + ticks(100),
                EndpointIndex(0),
                AttemptOutcome::Succeeded,
                ticks(100),
                0.1,
                10.0,
            );
            let decided = balancer.poll(now + ticks(100));
            assert!(
                matches!(decided[..], [Action::Decided(i, Decision::Connect { endpoint: EndpointIndex(0), .. })] if i == session),
                "{decided:?}"
            );
            waited += 1;
        }
    }
    assert!(waited > 10, "{waited} of 100");
}

/// All other endpoints are full, so every session reaches the one in slow start.
#[test]
fn sessions_that_pass_over_full_endpoints_do_not_overload_one_in_slow_start() {
    let (sent, allowed) = sent_during_slow_start(57, 5, 25.0, true);
    let (all, n) = (sent.iter().sum::<u32>(), (0..20).map(allowed).sum::<f64>());
    assert!(f64::from(all) < 1.05 * n && f64::from(all) > 0.6 * n, "{all} sends, {n} allowed");
}

#[test]
fn an_endpoint_in_slow_start_gets_few_sessions_of_a_burst() {
    let (mut balancer, now) = with_endpoint_in_slow_start();
    let sent =
        (100..400).filter(|key| endpoint_of(balancer.place(now + SECOND, request(*key, 0)).1) == 0).count();
    assert!(sent <= 2, "{sent} sessions to an endpoint that has just started");
}

#[test]
fn invalid_slow_start_settings_admit_few_sessions() {
    for (overload_multiple, initial_capacity, proxies) in
        [(-1.0, 0.2, 9), (0.5, 0.0, 9), (f64::NAN, 0.2, 9), (4.0, 0.2, 0)]
    {
        let mut balancer = balancer_with(
            Settings { overload_multiple, initial_capacity, proxy_count: proxies, ..settings() },
            4,
        );
        balancer.update_endpoints(
            at(SECOND),
            ListScope::Changes,
            &[entry(EndpointIndex(0).0, EndpointState::Ready, at(SECOND))],
        );
        let goes_to_new_endpoint = |key: &u64| {
            let (session, decision) = balancer.place(at(SECOND), request(*key, 0));
            balancer.established(at(SECOND), session);
            endpoint_of(decision) == 0
        };
        let sent = (1..200).filter(goes_to_new_endpoint).count();
        assert!(sent <= 2, "{sent} sent at a multiple of {overload_multiple}, {proxies} proxies");
    }
}

#[test]
fn clients_that_leave_and_reconnect_do_not_exceed_the_slow_start_quota() {
    let (mut balancer, now) = with_endpoint_in_slow_start();
    let mut sent = 0;
    for key in 100..400 {
        let (session, decision) = balancer.place(now + SECOND, request(key, 0));
        sent += u32::from(endpoint_of(decision) == 0);
        balancer.client_left(session);
    }
    assert!(sent <= 2, "{sent} sends to an endpoint that has just started");
}

/// Two hundred proxies are notified of a new endpoint while a group migrates to it, with one session at each
/// proxy.
#[test]
fn a_group_that_reconnects_does_not_overload_its_new_endpoint() {
    let sends = |reconnecting, others, health_checks| {
        let fleet_settings = Settings { proxy_count: 200, health_checks, ..settings() };
        let key = (1..)
            .find(|key| endpoint_of(balancer_with(settings(), 30).place(START, request(*key, 0)).1) == 0)
            .unwrap();
        let proxy = |seed| {
            let mut balancer = Balancer::new(fleet_settings.clone(), seed, START);
            let listed: Vec<_> = (1..30).map(|s| entry(s, EndpointState::Ready, START)).collect();
            balancer.update_endpoints(START, ListScope::Cached, &listed);
            let goes_to_new_endpoint = |balancer: &mut Balancer, now, request| {
                let (session, decision) = balancer.place(now, request);
                let endpoint = endpoint_of(after_health_checks(balancer, now, 30, decision));
                balancer.established(now, session);
                endpoint == 0
            };
            (1..=others).for_each(|n| {
                _ = goes_to_new_endpoint(&mut balancer, at(ticks(n)), request(1000 * seed + n, 0))
            });
            let now = at(60 * SECOND);
            balancer.update_endpoints(
                now,
                ListScope::Changes,
                &[entry(EndpointIndex(0).0, EndpointState::Ready, now - SECOND)],
            );
            goes_to_new_endpoint(
                &mut balancer,
                now + SECOND,
                SessionRequest { reconnecting, ..request(key, 0) },
            )
        };
        (1..201).filter(|seed| proxy(*seed)).count()
    };
    for health_checks in [false, true] {
        // With 800 sessions on 29 endpoints, an endpoint has 27. The initial capacity, a fifth of them, is
        // six sessions, and the endpoint is overloaded at four times that number. Health checks do not help,
        // as their results arrive too late: 339 proxies sent 19 sessions within a second.
        let (reconnecting, new) = (sends(true, 4, health_checks), sends(false, 4, health_checks));
        assert!(reconnecting <= 24, "{reconnecting} at once to an endpoint that has just started");
        assert!(
            new > 2 * reconnecting,
            "{new} new sessions at once: they are spread over all endpoints and need no such limit"
        );
    }
    // In a fleet with small groups only, new endpoints must not stay idle.
    let (reconnecting, new) = (sends(true, 20, false), sends(false, 20, false));
    assert!(
        reconnecting * 2 > new,
        "{reconnecting} of {new}, with twenty sessions per proxy that share no group"
    );
}

/// A failed connection is evidence of a restart. A handshake that only times out is not.
#[test]
fn an_endpoint_that_recovers_without_a_list_update_is_in_slow_start() {
    let sent = |outcome| {
        let mut balancer = balancer_with(settings(), 4);
        let placed: Vec<_> = (1..81).map(|key| balancer.place(START, request(key, 0))).collect();
        placed.iter().for_each(|(session, _)| balancer.established(at(ticks(10)), *session));
        let session = placed.iter().find(|(_, to)| endpoint_of(*to) == 0).unwrap().0;
        balancer.attempt_ended(at(SECOND), session, outcome, true);
        balancer.health_checked(
            at(2 * SECOND),
            EndpointIndex(0),
            AttemptOutcome::Succeeded,
            ticks(10),
            0.0,
            0.0,
        );
        let now = at(12 * SECOND);
        (100..400).filter(|key| endpoint_of(balancer.place(now, request(*key, 0)).1) == 0).count()
    };
    assert!(
        sent(AttemptOutcome::Reset) <= 2,
        "{} sessions to an endpoint that has just recovered",
        sent(AttemptOutcome::Reset)
    );
    assert!(
        sent(AttemptOutcome::TimedOut) > 20,
        "{} sessions to an endpoint that timed out once",
        sent(AttemptOutcome::TimedOut)
    );
}
