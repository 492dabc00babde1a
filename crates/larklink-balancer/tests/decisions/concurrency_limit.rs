//! Tests of the concurrency limit while the session store fails.
use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointState, ListScope, SessionRequest, Settings,
    TickDuration, Timestamp,
};

use crate::fixture::{
    SECOND, START, at, balancer_with, endpoint_of, entry, request, seeded_balancer, settings, ticks,
};

#[test]
fn hundreds_of_proxies_together_relieve_an_overloaded_session_store() {
    let mut attempts = 0;
    for seed in 0..200 {
        let mut balancer = seeded_balancer(settings(), seed, 0..8);
        for n in 0..40 {
            let (session, mut decision) = balancer.place(at(ticks(n * 100)), request(n + 1, 0));
            while let Decision::Connect { .. } = decision {
                attempts += u32::from(n >= 30);
                decision = balancer
                    .attempt_ended(at(ticks(n * 100 + 10)), session, AttemptOutcome::Failed, false)
                    .expect("the session is not over");
            }
        }
    }
    assert!(attempts < 200, "{attempts} attempts for the last 2000 sessions");
}

#[test]
fn errors_of_the_session_store_limit_further_attempts() {
    let mut balancer = balancer_with(settings(), 8);
    let placed: Vec<_> = (1..21).map(|key| balancer.place(START, request(key, 1)).0).collect();
    for session in &placed[..10] {
        assert_eq!(
            balancer.attempt_ended(at(ticks(100)), *session, AttemptOutcome::Failed, false),
            Some(Decision::Fail)
        );
    }
    assert!(!matches!(balancer.place(at(ticks(100)), request(99, 1)).1, Decision::Connect { .. }));
    // An established session needs no handshake and is not rejected.
    endpoint_of(balancer.place(at(ticks(100)), SessionRequest { established: true, ..request(99, 1) }).1);
}

#[test]
fn timeouts_limit_attempts_only_where_health_checks_are_off() {
    let rejected = |health_checks| {
        let mut balancer = balancer_with(Settings { health_checks, ..settings() }, 8);
        let placed: Vec<_> = (1..31).map(|key| balancer.place(START, request(key, 0)).0).collect();
        for session in &placed {
            balancer.poll(at(SECOND));
            balancer.attempt_ended(at(2 * SECOND), *session, AttemptOutcome::TimedOut, false);
        }
        (31..61)
            .filter(|key| {
                matches!(balancer.place(at(2 * SECOND), request(*key, 0)).1, Decision::Reject { .. })
            })
            .count()
    };
    assert!(rejected(false) > 20 && rejected(true) == 0, "{} {}", rejected(false), rejected(true));
}

#[test]
fn a_slow_handshake_does_not_raise_the_limit_where_health_checks_are_off() {
    let attempts_after = |took| {
        let mut balancer = balancer_with(settings(), 8);
        let placed: Vec<_> = (1..41).map(|key| balancer.place(START, request(key, 0)).0).collect();
        placed[..20].iter().for_each(|session| {
            _ = balancer.attempt_ended(at(ticks(100)), *session, AttemptOutcome::TimedOut, false)
        });
        placed[20..].iter().for_each(|session| balancer.established(took, *session));
        (100..140)
            .filter(|key| matches!(balancer.place(took, request(*key, 0)).1, Decision::Connect { .. }))
            .count()
    };
    let (prompt, slow) = (attempts_after(at(ticks(100))), attempts_after(at(SECOND)));
    assert!(
        slow * 2 < prompt,
        "{slow} attempts after handshakes of half a client's dial timeout, {prompt} after prompt ones"
    );
}

/// Returns one of three hundred proxies after its first four attempts timed out, with the time and the last
/// client key.
fn after_four_timeouts(seed: u64) -> (Balancer, Timestamp, u64) {
    let mut balancer =
        Balancer::new(Settings { proxy_count: 300, max_attempts: 1, ..settings() }, seed, START);
    balancer.update_endpoints(
        START,
        ListScope::Cached,
        &[0, 1, 2, 3].map(|s| entry(s, EndpointState::Ready, START)),
    );
    let (mut now, mut timed_out, mut key) = (START, 0, 0);
    while timed_out < 4 {
        now += SECOND / 10;
        key += 1;
        let (session, decision) = balancer.place(now, request(key, 0));
        if matches!(decision, Decision::Connect { .. }) {
            now += 2 * SECOND;
            balancer.attempt_ended(now, session, AttemptOutcome::TimedOut, true);
            timed_out += 1;
        }
    }
    (balancer, now, key)
}

/// A proxy whose limit is below one recovers with its session store, and not before.
#[test]
fn a_limit_below_one_paces_attempts_by_the_duration_of_handshakes() {
    // Returns the mean number of attempts within `span` of a proxy whose earlier attempts timed out, once
    // handshakes take `took`.
    let attempts = |took: TickDuration, span: TickDuration| {
        let (mut sent, mut logged) = (0, 0);
        for seed in 0..100 {
            let (mut balancer, now, mut key) = after_four_timeouts(seed);
            let logs = balancer.poll(now).iter().filter(|action| matches!(action, Action::Log(_))).count();
            assert!(logs <= 1, "{logs} log events say that attempts are limited");
            logged += logs;
            // Three sessions arrive per second.
            let (mut in_flight, begin) = (None, now + 4 * SECOND);
            for since_begin in (0..span.as_ticks()).step_by(SECOND.as_ticks() as usize / 100) {
                let at = begin + ticks(since_begin);
                if let Some((session, _)) = in_flight.take_if(|(_, since)| *since + took <= at) {
                    balancer.established(at, session);
                    balancer.client_left(session);
                }
                if since_begin.is_multiple_of(SECOND.as_ticks() / 3 / 100 * 100) {
                    key += 1;
                    let (session, decision) = balancer.place(at, request(key, 0));
                    if matches!(decision, Decision::Connect { .. }) {
                        (in_flight, sent) = (Some((session, at)), sent + 1);
                    }
                }
            }
        }
        assert!(logged > 80, "{logged} of 100 log that attempts are limited");
        f64::from(sent) / 100.0
    };
    let (prompt, slow) = (attempts(SECOND / 100, 4 * SECOND), attempts(SECOND * 6 / 10, 4 * SECOND));
    assert!(prompt > 9.0, "{prompt} of 13 sessions are attempted where a handshake takes 10 ms");
    assert!(slow < 3.5, "{slow} attempts in 4 s where a handshake takes 600 ms and the limit is low");
}

/// An established session does not use the session store, so a prompt handshake is no evidence that the store
/// has recovered.
#[test]
fn established_sessions_do_not_raise_the_limit() {
    let mut attempted_at_once = 0;
    for seed in 0..100 {
        let (mut balancer, mut now, _) = after_four_timeouts(seed);
        for n in 0..20 {
            let (session, decision) =
                balancer.place(now, SessionRequest { established: true, ..request(1000 + n, 0) });
            endpoint_of(decision);
            now += ticks(10);
            balancer.established(now, session);
        }
        attempted_at_once +=
            u32::from(matches!(balancer.place(now, request(99, 0)).1, Decision::Connect { .. }));
    }
    assert!(
        attempted_at_once < 20,
        "{attempted_at_once} of 100 make an attempt at once while the session store is slow"
    );
}
