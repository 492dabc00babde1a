//! A limit on attempts in flight, by additive increase and multiplicative decrease (AIMD).
//!
//! Errors and slow handshakes on two endpoints in turn, with no prompt one between, point at the session store
//! behind all endpoints, which every further attempt only loads. One endpoint alone does not. Below one attempt
//! the limit becomes the fraction of time in which an attempt is in flight.

use rand_chacha::ChaCha8Rng;

use crate::event::AttemptOutcome;
use crate::ids::EndpointIndex;
use crate::random::round_randomly;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The limit of all proxies together when they start: attempts in flight.
const INITIAL_LIMIT_OF_ALL_PROXIES: f64 = 250.0;
/// The limit of all proxies together never falls below this: attempts in flight.
const MIN_LIMIT_OF_ALL_PROXIES: f64 = 3.0;
/// The number of proxies that the lower bound assumes where the settings name none.
const ASSUMED_PROXY_COUNT: u32 = 150;
/// Factor on the limit after an error or a slow handshake.
const FAILURE_DECREASE: f64 = 0.8;
/// Factor on the limit after a timeout.
const TIMEOUT_DECREASE: f64 = 0.5;
/// An attempt is slow from its client's dial timeout divided by this.
const SLOW_ATTEMPT_DIVISOR: f64 = 3.0;
/// A limit that falls below this is reported to operators: attempts in flight.
const REPORTED_LIMIT: f64 = 0.5;
/// Rejections in a row after which the circuit counts as open.
const OPEN_CIRCUIT_REJECTIONS: u32 = 12;
/// How long an open circuit waits after the last attempt before one half-open attempt: 3.8 s.
const HALF_OPEN_AFTER: TickDuration = TickDuration::from_millis(3_800);

/// The limit on attempts in flight, and what it is learned from.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Attempts that may be in flight; infinite where the number of proxies is unknown and nothing has failed.
    limit: f64,
    min_limit: f64,
    in_flight: i32,
    pacing: Pacing,
    circuit: Circuit,
    /// The endpoint of the latest slow or failed attempt, if none was prompt since.
    last_slow_endpoint: Option<EndpointIndex>,
    /// Whether health checks find an endpoint that hangs.
    health_checks: bool,
}

/// The pause after an attempt while the limit is below one.
#[derive(Debug)]
struct Pacing {
    last_attempt_ended_at: Timestamp,
    /// Ticks until the next attempt is admitted with certainty.
    min_interval: f64,
}

/// Rejections since the last attempt.
#[derive(Debug)]
struct Circuit {
    rejections: u32,
    last_attempt_at: Timestamp,
}

impl ConcurrencyLimit {
    pub(crate) fn new(settings: &Settings, now: Timestamp) -> Self {
        let proxy_count = settings.proxy_count;
        let known_or_assumed = if proxy_count > 0 { proxy_count } else { ASSUMED_PROXY_COUNT };
        Self {
            limit: INITIAL_LIMIT_OF_ALL_PROXIES / f64::from(proxy_count),
            min_limit: MIN_LIMIT_OF_ALL_PROXIES / f64::from(known_or_assumed),
            in_flight: 0,
            pacing: Pacing { last_attempt_ended_at: now, min_interval: 0.0 },
            circuit: Circuit { rejections: 0, last_attempt_at: now },
            last_slow_endpoint: None,
            health_checks: settings.health_checks,
        }
    }

    /// Whether an attempt may start now.
    ///
    /// Within the pause the chance grows from 0 to 1, so that hundreds of proxies stay out of step. An open
    /// circuit admits one attempt all the same: it would reject everything long after the store has recovered.
    pub(crate) fn admits(&self, now: Timestamp, rng: &mut ChaCha8Rng) -> bool {
        let since_last = now.saturating_since(self.pacing.last_attempt_ended_at).as_f64();
        let chance = (since_last / self.pacing.min_interval).min(1.0);
        f64::from(self.in_flight) < self.limit
            && (round_randomly(chance, rng) > 0.0 || self.circuit.half_open(now))
    }

    /// Whether less than one attempt may be in flight.
    pub(crate) fn is_below_one(&self) -> bool {
        self.limit < 1.0
    }

    /// The limit as a fraction of one attempt, 1 at most.
    pub(crate) fn fraction_of_one(&self) -> f64 {
        self.limit.min(1.0)
    }

    /// An attempt starts.
    pub(crate) fn attempt_started(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.circuit = Circuit { rejections: 0, last_attempt_at: now };
    }

    /// An attempt is in flight no longer: its connection is established, or it ended.
    pub(crate) fn attempt_left_flight(&mut self) {
        self.in_flight -= 1;
    }

    /// A session got its final answer without an attempt.
    pub(crate) fn record_rejection(&mut self) {
        self.circuit.rejections += 1;
    }

    /// Adjusts the limit to the result of an attempt that `took` so long, of a client that waits for
    /// `dial_timeout`. Errors and timeouts are passed with the whole dial timeout, as they load the store for
    /// longer than they take. Returns whether the limit has just fallen below what is reported to operators.
    pub(crate) fn record_attempt(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        took: TickDuration,
        dial_timeout: TickDuration,
    ) -> bool {
        let promptness = 1.0 - SLOW_ATTEMPT_DIVISOR * took.as_f64() / dial_timeout.as_f64();
        let mut fell = false;
        if promptness > 0.0 {
            self.increase(promptness);
            self.last_slow_endpoint = None;
        } else if self.counts_as_failure(outcome) {
            let last = self.last_slow_endpoint.replace(endpoint);
            if last.is_some_and(|last| last != endpoint) {
                fell = self.decrease(outcome);
            }
        }
        let min_interval = took.as_f64() * (1.0 / self.limit - 1.0).max(0.0);
        self.pacing = Pacing { last_attempt_ended_at: now, min_interval };
        fell
    }

    /// Slow handshakes and timeouts count only where they can mean the store: not where health checks tell an
    /// endpoint that hangs and nothing has limited attempts yet.
    fn counts_as_failure(&self, outcome: AttemptOutcome) -> bool {
        outcome == AttemptOutcome::Failed || !self.health_checks || self.limit.is_finite()
    }

    /// Adds up to one attempt for each limit's worth of prompt attempts. A limit that is not used stays, or a
    /// burst would find it wide open after a calm.
    fn increase(&mut self, promptness: f64) {
        let unused = f64::from(self.in_flight) + 1.0 < self.limit;
        if !unused {
            self.limit += self.limit.min(1.0 / self.limit) * promptness;
        }
    }

    fn decrease(&mut self, outcome: AttemptOutcome) -> bool {
        let factor = if outcome == AttemptOutcome::TimedOut { TIMEOUT_DECREASE } else { FAILURE_DECREASE };
        let before = self.limit;
        self.limit = (before.min(f64::from(self.in_flight) + 1.0) * factor).max(self.min_limit);
        before >= REPORTED_LIMIT && self.limit < REPORTED_LIMIT
    }
}

impl Circuit {
    fn half_open(&self, now: Timestamp) -> bool {
        self.rejections >= OPEN_CIRCUIT_REJECTIONS && self.last_attempt_at + HALF_OPEN_AFTER <= now
    }
}
