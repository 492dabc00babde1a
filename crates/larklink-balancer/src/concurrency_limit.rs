//! The limit on attempts in flight, controlled by additive increase and multiplicative decrease (AIMD).
//!
//! Errors or slow handshakes on two different endpoints, without a prompt handshake between them, indicate
//! that the session store behind all endpoints is overloaded, and further attempts would only add to its
//! load. Failures of a single endpoint do not indicate this. A limit below one attempt is the fraction of
//! time during which an attempt is in flight.

use rand_chacha::ChaCha8Rng;

use crate::event::AttemptOutcome;
use crate::ids::EndpointIndex;
use crate::random::stochastic_round;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The initial limit of all proxies in total, in attempts in flight.
const INITIAL_LIMIT_OF_ALL_PROXIES: f64 = 250.0;
/// The lower bound of the limit of all proxies in total, in attempts in flight.
const MIN_LIMIT_OF_ALL_PROXIES: f64 = 3.0;
/// The number of proxies that the lower bound assumes if the settings state none.
const ASSUMED_PROXY_COUNT: u32 = 150;
/// The factor on the limit after an error or a slow handshake.
const FAILURE_DECREASE: f64 = 0.8;
/// The factor on the limit after a timeout.
const TIMEOUT_DECREASE: f64 = 0.5;
/// An attempt is slow if it takes its client's dial timeout divided by this divisor or longer.
const SLOW_ATTEMPT_DIVISOR: f64 = 3.0;
/// A limit that falls below this number of attempts in flight is logged for operators.
const REPORTED_LIMIT: f64 = 0.5;
/// The number of final decisions since the latest attempt started that opens the circuit.
const OPEN_CIRCUIT_FINAL_DECISIONS: u32 = 12;
/// The time after the start of the latest attempt at which an open circuit admits one half-open attempt.
const HALF_OPEN_AFTER: TickDuration = TickDuration::from_millis(3_800);

/// The limit on attempts in flight and the state that controls it.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The number of attempts that may be in flight. Infinite if the number of proxies is unknown and nothing
    /// has failed.
    limit: f64,
    min_limit: f64,
    in_flight: i32,
    pacing: Pacing,
    circuit: Circuit,
    /// The endpoint of the latest attempt that counted as a failure of the store, if no attempt was prompt
    /// since.
    last_failure_endpoint: Option<EndpointIndex>,
    /// Whether health checks are enabled, which detect an endpoint that hangs.
    health_checks: bool,
}

/// The spacing of attempts while the limit is below one.
#[derive(Debug)]
struct Pacing {
    /// When the outcome of an attempt was last recorded: established by a handshake, failed or timed out.
    /// Other outcomes are not recorded. Before the first, when the process started.
    last_recorded_at: Timestamp,
    /// The ticks after `last_recorded_at` at which the next attempt is admitted with certainty.
    full_admission_interval: f64,
}

/// A circuit breaker that counts the final decisions since the latest attempt started.
#[derive(Debug)]
struct Circuit {
    final_decisions: u32,
    last_attempt_at: Timestamp,
}

impl ConcurrencyLimit {
    pub(crate) fn new(settings: &Settings, now: Timestamp) -> Self {
        let proxy_count = settings.proxy_count;
        let assumed_count = if proxy_count > 0 { proxy_count } else { ASSUMED_PROXY_COUNT };
        Self {
            limit: INITIAL_LIMIT_OF_ALL_PROXIES / f64::from(proxy_count),
            min_limit: MIN_LIMIT_OF_ALL_PROXIES / f64::from(assumed_count),
            in_flight: 0,
            pacing: Pacing { last_recorded_at: now, full_admission_interval: 0.0 },
            circuit: Circuit { final_decisions: 0, last_attempt_at: now },
            last_failure_endpoint: None,
            health_checks: settings.health_checks,
        }
    }

    /// Returns whether an attempt may start now.
    ///
    /// Within the full admission interval the probability of admission grows from 0 to 1, so that hundreds
    /// of proxies do not attempt in lockstep. An open circuit admits one attempt regardless of the interval:
    /// otherwise a long interval would keep rejecting sessions long after the store has recovered.
    pub(crate) fn admits(&self, now: Timestamp, rng: &mut ChaCha8Rng) -> bool {
        let since_last = now.saturating_since(self.pacing.last_recorded_at).as_ticks_f64();
        // If both are 0, the quotient is NaN, and its minimum with 1 is 1.
        let probability = (since_last / self.pacing.full_admission_interval).min(1.0);
        f64::from(self.in_flight) < self.limit
            && (stochastic_round(probability, rng) > 0.0 || self.circuit.half_open(now))
    }

    /// Returns whether the limit is below one attempt.
    pub(crate) fn is_below_one(&self) -> bool {
        self.limit < 1.0
    }

    /// Returns the limit, at most 1.
    pub(crate) fn capped_at_one(&self) -> f64 {
        self.limit.min(1.0)
    }

    /// Records that an attempt starts.
    pub(crate) fn attempt_started(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.circuit = Circuit { final_decisions: 0, last_attempt_at: now };
    }

    /// Records that an attempt is no longer in flight, because it is established or has ended.
    pub(crate) fn attempt_completed(&mut self) {
        self.in_flight -= 1;
    }

    /// Records that a session got its final decision, Reject or Fail, whatever the cause and whether or not
    /// it made attempts.
    pub(crate) fn record_final_decision(&mut self) {
        self.circuit.final_decisions += 1;
    }

    /// Adjusts the limit to the outcome of an attempt. `took` is its duration and `dial_timeout` the time
    /// that its client waits. Errors and timeouts are passed with `took` equal to the whole dial timeout, as
    /// they load the store for longer than they last. Returns whether the limit has just fallen below
    /// `REPORTED_LIMIT`.
    pub(crate) fn record_attempt(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        took: TickDuration,
        dial_timeout: TickDuration,
    ) -> bool {
        let promptness = 1.0 - SLOW_ATTEMPT_DIVISOR * took.as_ticks_f64() / dial_timeout.as_ticks_f64();
        let mut fell_below_reported = false;
        if promptness > 0.0 {
            self.increase(promptness);
            self.last_failure_endpoint = None;
        } else if self.counts_as_failure(outcome) {
            let last = self.last_failure_endpoint.replace(endpoint);
            if last.is_some_and(|last| last != endpoint) {
                fell_below_reported = self.decrease(outcome);
            }
        }
        // With this interval, attempts that take `took` are in flight for the fraction `limit` of the time.
        let full_admission_interval = took.as_ticks_f64() * (1.0 / self.limit - 1.0).max(0.0);
        self.pacing = Pacing { last_recorded_at: now, full_admission_interval };
        fell_below_reported
    }

    /// Returns whether a slow attempt counts as a failure of the store. Slow handshakes and timeouts do not
    /// while health checks can detect a hanging endpoint and attempts are still unlimited.
    fn counts_as_failure(&self, outcome: AttemptOutcome) -> bool {
        outcome == AttemptOutcome::Failed || !self.health_checks || self.limit.is_finite()
    }

    /// Raises the limit by up to one attempt per `limit` prompt attempts. Below 1, a prompt attempt at most
    /// doubles it. An unused limit is not raised. Otherwise a burst after a quiet period would meet a limit
    /// that is far too high.
    fn increase(&mut self, promptness: f64) {
        // 1 for the attempt just recorded, which is no longer in `in_flight`.
        let unused = f64::from(self.in_flight) + 1.0 < self.limit;
        if !unused {
            self.limit += self.limit.min(1.0 / self.limit) * promptness;
        }
    }

    /// Lowers the limit. Returns whether it has just fallen below `REPORTED_LIMIT`.
    fn decrease(&mut self, outcome: AttemptOutcome) -> bool {
        let factor = if outcome == AttemptOutcome::TimedOut { TIMEOUT_DECREASE } else { FAILURE_DECREASE };
        let before = self.limit;
        // 1 for the attempt just recorded, as in `increase`.
        self.limit = (before.min(f64::from(self.in_flight) + 1.0) * factor).max(self.min_limit);
        before >= REPORTED_LIMIT && self.limit < REPORTED_LIMIT
    }
}

impl Circuit {
    fn half_open(&self, now: Timestamp) -> bool {
        self.final_decisions >= OPEN_CIRCUIT_FINAL_DECISIONS && self.last_attempt_at + HALF_OPEN_AFTER <= now
    }
}
