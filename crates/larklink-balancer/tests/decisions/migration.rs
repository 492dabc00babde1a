//! Tests of which sessions are migrated and how many at a time.
use larklink_balancer::{
    Action, AttemptOutcome, Balancer, EndpointIndex, EndpointState, ListScope, Observation, Settings,
};

use crate::fixture::{
    SECOND, START, at, balancer_with, endpoint_of, entry, request, seeded_balancer, settings, ticks,
};

#[test]
fn hundreds_of_proxies_together_migrate_a_few_sessions_off_an_overloaded_endpoint() {
    let mut migrated = 0;
    for seed in 0..200 {
        let mut balancer = seeded_balancer(settings(), seed, 0..2);
        let (session, _) = balancer.place(START, request(3, 0));
        balancer.established(at(ticks(10)), session);
        balancer.observe(at(3 * SECOND), session, Observation::MessageLatency(ticks(400)));
        migrated += balancer
            .poll(at(3 * SECOND))
            .iter()
            .filter(|action| matches!(action, Action::Migrate(_)))
            .count();
    }
    assert!((5..60).contains(&migrated), "{migrated} of 200 at once");
}

#[test]
fn new_sessions_on_an_overloaded_endpoint_are_migrated_less_and_less() {
    let (mut balancer, mut migrated) = (balancer_with(settings(), 8), Vec::new());
    for n in 0..60 {
        let now = at(n * SECOND / 2);
        let (session, _) = balancer.place(now, request(n + 1, 0));
        balancer.established(now, session);
        balancer.observe(now, session, Observation::MessageLatency(ticks(400)));
        if balancer.poll(now + SECOND / 4).contains(&Action::Migrate(session)) {
            migrated.push(n);
        }
        balancer.client_left(session);
    }
    let early = migrated.iter().filter(|n| **n < 20).count();
    let late = migrated.iter().filter(|n| **n >= 40).count();
    assert!(early >= 3 && late < early, "{migrated:?}");
}

#[test]
fn sessions_migrated_off_an_overloaded_endpoint_are_not_replaced() {
    let mut balancer = balancer_with(settings(), 2);
    let placed: Vec<_> = (0..20).map(|_| balancer.place(START, request(3, 0))).collect();
    placed.iter().for_each(|(session, _)| balancer.established(at(ticks(10)), *session));
    let overloaded = endpoint_of(placed[0].1);
    balancer.observe(at(ticks(20)), placed[0].0, Observation::MessageLatency(ticks(400)));
    let migrated =
        balancer.poll(at(SECOND)).into_iter().filter(|action| matches!(action, Action::Migrate(_))).count();
    assert!((1..=2).contains(&migrated), "migrated {migrated}");
    assert_ne!(endpoint_of(balancer.place(at(SECOND), request(3, 0)).1), overloaded);
}

#[test]
fn an_endpoint_over_its_capacity_is_checked_soon_and_its_excess_is_migrated() {
    let mut balancer = balancer_with(Settings { health_checks: true, load_reports: true, ..settings() }, 2);
    balancer.update_endpoints(START, ListScope::Changes, &[entry(1, EndpointState::Removed, START)]);
    for key in 1..21 {
        let (session, _) = balancer.place(START, request(key, 0));
        balancer.poll(START);
        balancer.health_checked(
            at(ticks(10)),
            EndpointIndex(0),
            AttemptOutcome::Succeeded,
            ticks(10),
            0.1,
            0.0,
        );
        balancer.poll(at(ticks(10)));
        balancer.established(at(ticks(20)), session);
        // A message with a load shows that the endpoint responds, but not how fast.
        balancer.observe(at(ticks(20)), session, Observation::Load(1000.0));
    }
    let done = balancer.poll(at(2 * SECOND));
    assert!(
        done.contains(&Action::CheckHealth(EndpointIndex(0))),
        "an endpoint with many sessions is not checked because it responds"
    );
    balancer.update_endpoints(at(2 * SECOND), ListScope::Changes, &[entry(1, EndpointState::Ready, START)]);
    balancer.health_checked(at(2 * SECOND), EndpointIndex(0), AttemptOutcome::Succeeded, ticks(10), 1.8, 0.0);
    let migrated = |balancer: &mut Balancer, now| {
        balancer.poll(now).iter().filter(|action| matches!(action, Action::Migrate(_))).count()
    };
    assert!((9..=11).contains(&migrated(&mut balancer, at(3 * SECOND))), "not half of its load is migrated");
    assert_eq!(migrated(&mut balancer, at(4 * SECOND)), 0, "migrated twice for one report");
}

#[test]
fn a_session_that_has_grown_heavy_is_migrated_before_many_light_ones() {
    let mut balancer = balancer_with(Settings { load_reports: true, ..settings() }, 2);
    let placed: Vec<_> = (1..41).map(|key| balancer.place(START, request(key, 0))).collect();
    let on_endpoint: Vec<_> = placed
        .iter()
        .filter(|(_, decision)| endpoint_of(*decision) == 0)
        .map(|(session, _)| *session)
        .collect();
    for (session, _) in &placed {
        balancer.established(at(ticks(10)), *session);
        balancer.observe(at(ticks(10)), *session, Observation::Load(1000.0));
    }
    let heavy = on_endpoint[on_endpoint.len() / 2];
    balancer.observe(at(ticks(20)), heavy, Observation::Load(20_000.0));
    balancer.health_checked(at(2 * SECOND), EndpointIndex(0), AttemptOutcome::Succeeded, ticks(10), 0.9, 0.0);
    let migrations: Vec<_> = balancer
        .poll(at(2 * SECOND))
        .into_iter()
        .filter(|action| matches!(action, Action::Migrate(_)))
        .collect();
    assert_eq!(migrations, [Action::Migrate(heavy)]);
}

#[test]
fn sessions_are_migrated_off_a_draining_endpoint_before_it_stops() {
    let mut balancer = balancer_with(settings(), 2);
    let placed: Vec<_> = (1..61).map(|key| balancer.place(START, request(key, 0))).collect();
    placed.iter().for_each(|(session, _)| balancer.established(at(ticks(10)), *session));
    let on_endpoint = placed.iter().filter(|(_, decision)| endpoint_of(*decision) == 0).count();
    balancer.update_endpoints(at(SECOND), ListScope::Changes, &[entry(0, EndpointState::Draining, START)]);
    let (mut migrated, mut max_at_once) = (0, 0);
    for n in 5..=18 {
        let now: Vec<_> = balancer
            .poll(at(n * SECOND / 5))
            .into_iter()
            .filter(|action| matches!(action, Action::Migrate(_)))
            .collect();
        now.iter().for_each(|action| {
            if let Action::Migrate(session) = action {
                balancer.client_left(*session)
            }
        });
        (migrated, max_at_once) = (migrated + now.len(), max_at_once.max(now.len()));
    }
    // The migrations are spread over the drain, and no session is left when the endpoint stops.
    assert!(
        migrated == on_endpoint && max_at_once * 3 <= on_endpoint,
        "{migrated} of {on_endpoint}, {max_at_once} at once"
    );
}
