//! How many retries go out.
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

/// The times of the retries, and the number of final answers, of a proxy with a retry budget; the attempts of every
/// session that `fails` selects find their endpoint dead.
fn run_with_retry_budget(
    fails: impl Fn(usize) -> bool,
    calls: &[(TickDuration, usize)],
) -> (Vec<Timestamp>, usize) {
    let (mut balancer, mut further, mut now) =
        (balancer_with(Settings { retry_budget: Some(RETRY_BUDGET), ..settings() }, 40), vec![], START);
    let mut answered = 0;
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
            further.extend(matches!(next, Decision::Connect { .. }).then_some(now));
            decision = next;
        }
        answered += usize::from(matches!(decision, Decision::Reject { .. } | Decision::Fail));
    }
    (further, answered)
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The window slides: none has more retries, wherever it begins, and a session that may not be retried has its
    /// final answer at once.
    #[test]
    fn no_window_holds_more_retries_than_the_retry_budget(
        calls in prop::collection::vec((0..SECOND.as_ticks(), 0..IDEMPOTENCY_OF_LISTENERS.len()), 1..120), sound in 1..9usize,
    ) {
        let calls: Vec<_> = calls.into_iter().map(|(wait, listener)| (ticks(wait), listener)).collect();
        let (further, answered) = run_with_retry_budget(|n| n % sound != 0, &calls);
        let mut now = START;
        let times: Vec<_> = calls.iter().map(|&(wait, _)| { now += wait; now }).collect();
        for (n, &end) in further.iter().enumerate() {
            let within = |t: &&Timestamp| **t + RETRY_BUDGET.window > end && **t <= end;
            let (sent, taken) = (further[..=n].iter().filter(within).count(), times.iter().filter(within).count());
            prop_assert!(sent as f64 <= RETRY_BUDGET.min_retries + RETRY_BUDGET.retry_ratio * taken as f64, "{sent} for {taken} at {end:?}");
        }
        prop_assert_eq!(answered, calls.len() - (0..calls.len()).filter(|n| n % sound == 0).count());
    }

    #[test]
    fn a_steady_demand_never_spends_the_retry_budget_in_the_first_fifth(wait in 1..SECOND.as_ticks() / 4) {
        let calls: Vec<_> = (0..4 * RETRY_BUDGET.window.as_ticks() / wait).map(|_| (ticks(wait), 0)).take(2_000).collect();
        let (further, _) = run_with_retry_budget(|_| true, &calls);
        for &start in &further {
            let early = further.iter().filter(|&&t| t >= start && t < start + RETRY_BUDGET.window / 5).count();
            let taken = (RETRY_BUDGET.window.as_ticks() / wait) as f64;
            prop_assert!((early as f64) < RETRY_BUDGET.min_retries + (RETRY_BUDGET.retry_ratio * taken).floor(), "{early} from {start:?} on");
        }
    }
}

#[test]
fn many_failures_stay_within_the_retry_budget_and_leave_some_for_later() {
    let (further, answered) = run_with_retry_budget(|_| true, &[(ticks(0), 0); 5]);
    assert_eq!((further.len(), answered), (1, 5), "one at once, the others are spaced");
    let later: Vec<_> = (0..50).map(|_| (SECOND / 10, 0)).collect();
    let (further, _) = run_with_retry_budget(|_| true, &later);
    assert!((3..=5).contains(&further.len()), "{further:?}");
    assert!(further[further.len() - 1] > at(3 * SECOND), "what is kept back is spent later: {further:?}");
}

/// The retry of another session that was sent since still counts in its own window.
#[test]
fn an_unsent_retry_gives_back_its_own_place_in_the_window_only() {
    let mut balancer = balancer_with(
        Settings {
            retry_budget: Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.0, ..RETRY_BUDGET }),
            ..settings()
        },
        40,
    );
    let again = |balancer: &mut Balancer, now, key| {
        let (session, _) = balancer.place(now, request(key, 0));
        (session, balancer.attempt_ended(now, session, AttemptOutcome::ConnectFailed, false).unwrap())
    };
    let (first, decision) = again(&mut balancer, START, 1);
    endpoint_of(decision);
    endpoint_of(again(&mut balancer, at(3 * SECOND), 2).1);
    balancer.attempt_ended(at(4 * SECOND), first, AttemptOutcome::NotSent, true);
    endpoint_of(again(&mut balancer, at(55 * SECOND / 10), 3).1);
    let (_, third) = again(&mut balancer, at(79 * SECOND / 10), 4);
    assert!(
        matches!(third, Decision::Reject { .. }),
        "the retries of 3 s and 5.5 s lie in the window: {third:?}"
    );
}

/// It has no free retries while those of its predecessor may still lie in the window.
#[test]
fn a_process_that_takes_over_does_not_begin_with_a_full_retry_budget() {
    let mut balancer = balancer_with(Settings { retry_budget: Some(RETRY_BUDGET), ..settings() }, 40);
    balancer.take_over(START);
    let again = |balancer: &mut Balancer, now, key| {
        let (session, decision) = balancer.place(now, request(key, 0));
        endpoint_of(decision);
        balancer.attempt_ended(now, session, AttemptOutcome::ConnectFailed, false).unwrap()
    };
    assert!(matches!(again(&mut balancer, at(SECOND), 1), Decision::Reject { .. }));
    endpoint_of(again(&mut balancer, at(8 * SECOND), 2));
}
