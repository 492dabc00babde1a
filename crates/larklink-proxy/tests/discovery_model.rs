//! The bound on how late a change is received, in simulated time: polls of agents that fail in drawn ways.
use std::time::{Duration, Instant};

use larklink_balancer::TickDuration;
use larklink_proxy::discovery::schedule::{PollSchedule, SHORTEST_OUTAGE};
use larklink_proxy::discovery::watch_state::{ListHeader, WatchState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LIST: ListHeader = ListHeader { index: 41, complete: true };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn ticks(milliseconds: u64) -> TickDuration {
    TickDuration::from_ticks(milliseconds * 10)
}

/// How a poll fails that reaches an agent during an outage.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Silent,
    Refused,
    Rejected,
}

fn outage() -> impl Strategy<Value = Outage> {
    prop_oneof![3 => Just(Outage::Silent), 1 => Just(Outage::Refused), 1 => Just(Outage::Rejected)]
}

/// Polls an agent that is out of reach from `went_down` to `returned`. The process has had a list since `went_down`
/// if `watches`, else none from this address. Returns how long after its return the first poll starts.
fn time_until_noticed(
    schedule: PollSchedule,
    watches: bool,
    outage_time: Duration,
    failures: &[Outage],
    seed: u64,
) -> Duration {
    let (went_down, mut rng) = (Instant::now(), ChaCha8Rng::seed_from_u64(seed));
    let mut state = WatchState::new(schedule, went_down);
    if watches {
        state.start_poll(went_down, &mut rng);
        state.record_list(LIST, false, went_down, went_down, &mut rng);
    }
    let returned = went_down + outage_time;
    let mut is_open = false;
    for failure in failures.iter().cycle() {
        let now = state.next_poll_at();
        if now >= returned {
            return now - returned;
        }
        if is_open {
            state.record_unanswered();
        }
        state.start_poll(now, &mut rng);
        is_open = matches!(failure, Outage::Silent);
        match failure {
            Outage::Silent => {}
            Outage::Refused => state.record_failure(now, &mut rng),
            Outage::Rejected => state.record_failure(now, &mut rng),
        }
    }
    unreachable!("the failures repeat")
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(69), failure_persistence: None, ..Config::default() })]

    /// Guards against timeouts and pauses that grow during an outage: the return of an agent was noticed up to 2 s late.
    #[test]
    fn an_agents_return_is_noticed_within_half_the_drain_grace(
        discovery_deadline in 0_u64..60_000,
        drain_grace in 100_u64..2_000,
        watches in any::<bool>(),
        outage_ms in 2_000_u64..60_000,
        failures in prop::collection::vec(outage(), 1..8),
        seed in any::<u64>(),
    ) {
        let schedule = PollSchedule::new(ticks(discovery_deadline), ticks(drain_grace), false);
        prop_assert!(ms(outage_ms) >= SHORTEST_OUTAGE);
        let delay = time_until_noticed(schedule, watches, ms(outage_ms), &failures, seed);
        prop_assert!(delay <= ms(drain_grace) / 2, "{delay:?}");
    }
}
