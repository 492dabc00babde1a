//! Tests of the retry budget.
use larklink_balancer::{
    AttemptOutcome, Balancer, Decision, RetryBudgetSettings, Settings, TickDuration, Timestamp,
};
use proptest::prelude::prop;
use proptest::test_runner::{Config, RngSeed};
use proptest::{prop_assert, prop_assert_eq, proptest};

use crate::fixture::{
    IDEMPOTENCY_OF_LISTENERS, SECOND, START, at, balancer_with, endpoint_of, request, settings, ticks,
};

const RETRY_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { min_retries: 3.0, retry_ratio: 0.05, window: TickDuration::from_secs(5) };

/// Places a session per element of `calls`, each a wait and a listener, at a proxy with a retry budget. All
/// attempts of the sessions that `fails` selects fail to connect. Returns the times of the retries and the
/// number of final decisions.
fn run_with_retry_budget(
    fails: impl Fn(usize) -> bool,
    calls: &[(TickDuration, usize)],
) -> (Vec<Timestamp>, usize) {
    let (mut balancer, mut retries, mut now) =
        (balancer_with(Settings { retry_budget: Some(RETRY_BUDGET), ..settings() }, 40), vec![], START);
    let mut final_decisions = 0;
    for (n, &(wait, listener)) in calls.iter().enumerate() {
        now += wait;
        let (session, mut decision) = balancer.place(now, request(n as u64 + 1, listener));
        while let Decision::Connect { .. } = decision {
            let over = !fails(n);
            let Some(next) = balancer.attempt_ended(
                now,
                session,
                if over { AttemptOutcome::Succeeded } else { AttemptOutcome::ConnectFailed },
                over,
            ) else {
                break;
            };
            retries.extend(matches!(next, Decision::Connect { .. }).then_some(now));
            decision = next;
        }
        final_decisions += usize::from(matches!(decision, Decision::Reject { .. } | Decision::Fail));
    }
    (retries, final_decisions)
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The window slides: no window exceeds the budget, wherever it begins, and a session that may not be
    /// retried gets its final decision at once.
    #[test]
    fn no_window_holds_more_retries_than_the_retry_budget(
        calls in prop::collection::vec((0..SECOND.as_ticks(), 0..IDEMPOTENCY_OF_LISTENERS.len()), 1..120), success_period in 1..9usize,
    ) {
        let calls: Vec<_> = calls.into_iter().map(|(wait, listener)| (ticks(wait), listener)).collect();
        let (retries, final_decisions) = run_with_retry_budget(|n| n % success_period != 0, &calls);
        let mut now = START;
        let times: Vec<_> = calls.iter().map(|&(wait, _)| { now += wait; now }).collect();
        for (n, &end) in retries.iter().enumerate() {
            let within = |t: &&Timestamp| **t + RETRY_BUDGET.window > end && **t <= end;
            let (sent, received) = (retries[..=n].iter().filter(within).count(), times.iter().filter(within).count());
            prop_assert!(sent as f64 <= RETRY_BUDGET.min_retries + RETRY_BUDGET.retry_ratio * received as f64, "{sent} for {received} at {end:?}");
        }
        prop_assert_eq!(final_decisions, calls.len() - (0..calls.len()).filter(|n| n % success_period == 0).count());
    }

    #[test]
    fn steady_load_never_uses_up_the_retry_budget_in_the_first_fifth_of_a_window(wait in 1..SECOND.as_ticks() / 4) {
        let calls: Vec<_> = (0..4 * RETRY_BUDGET.window.as_ticks() / wait).map(|_| (ticks(wait), 0)).take(2_000).collect();
        let (retries, _) = run_with_retry_budget(|_| true, &calls);
        for &start in &retries {
            let early = retries.iter().filter(|&&t| t >= start && t < start + RETRY_BUDGET.window / 5).count();
            let received = (RETRY_BUDGET.window.as_ticks() / wait) as f64;
            prop_assert!((early as f64) < RETRY_BUDGET.min_retries + (RETRY_BUDGET.retry_ratio * received).floor(), "{early} from {start:?} on");
        }
    }
}

#[test]
fn many_failures_stay_within_the_retry_budget_and_leave_some_for_later() {
    let (retries, final_decisions) = run_with_retry_budget(|_| true, &[(ticks(0), 0); 5]);
    assert_eq!((retries.len(), final_decisions), (1, 5), "not spaced after the first retry");
    let later: Vec<_> = (0..50).map(|_| (SECOND / 10, 0)).collect();
    let (retries, _) = run_with_retry_budget(|_| true, &later);
    assert!((3..=5).contains(&retries.len()), "{retries:?}");
    assert!(retries[retries.len() - 1] > at(3 * SECOND), "none left for later: {retries:?}");
}

/// The retry of another session that was sent later still counts in its own window.
#[test]
fn an_unsent_retry_is_refunded_without_affecting_later_ones() {
    let mut balancer = balancer_with(
        Settings {
            retry_budget: Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.0, ..RETRY_BUDGET }),
            ..settings()
        },
        40,
    );
    let retry = |balancer: &mut Balancer, now, key| {
        let (session, _) = balancer.place(now, request(key, 0));
        (session, balancer.attempt_ended(now, session, AttemptOutcome::ConnectFailed, false).unwrap())
    };
    let (first, decision) = retry(&mut balancer, START, 1);
    endpoint_of(decision);
    endpoint_of(retry(&mut balancer, at(3 * SECOND), 2).1);
    balancer.attempt_ended(at(4 * SECOND), first, AttemptOutcome::NotSent, true);
    endpoint_of(retry(&mut balancer, at(55 * SECOND / 10), 3).1);
    let (_, third) = retry(&mut balancer, at(79 * SECOND / 10), 4);
    assert!(
        matches!(third, Decision::Reject { .. }),
        "the retries at 3 s and 5.5 s are still in the window: {third:?}"
    );
}

/// The process gets no minimum number of retries while those of its predecessor may still be in the window.
#[test]
fn a_successor_does_not_start_with_a_full_retry_budget() {
    let mut balancer = balancer_with(Settings { retry_budget: Some(RETRY_BUDGET), ..settings() }, 40);
    balancer.take_over_from_predecessor(START);
    let retry = |balancer: &mut Balancer, now, key| {
        let (session, decision) = balancer.place(now, request(key, 0));
        endpoint_of(decision);
        balancer.attempt_ended(now, session, AttemptOutcome::ConnectFailed, false).unwrap()
    };
    assert!(matches!(retry(&mut balancer, at(SECOND), 1), Decision::Reject { .. }));
    endpoint_of(retry(&mut balancer, at(8 * SECOND), 2));
}
