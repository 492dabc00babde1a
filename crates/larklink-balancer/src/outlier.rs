//! Outlier detection: consecutive failures eject an endpoint, and samples of a Beta posterior of its success
//! probability decide how often a suspect endpoint is tried.

use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};

use crate::event::AttemptOutcome;
use crate::time::{TickDuration, Timestamp};

/// The number of consecutive failures that ejects an endpoint: failed or reset connections and timed-out
/// health checks, without a response between them.
const EJECTION_FAILURES: u32 = 2;
/// Alpha of a new endpoint: its successes, including the prior.
const INITIAL_ALPHA: f64 = 2.0;
/// The prior of alpha and beta, and their lower bound.
const PRIOR: f64 = 1.0;
/// The upper bound of alpha and beta, including the prior.
const MAX_PSEUDO_COUNT: f64 = 8.0;
/// The fraction of the successes that is kept at a failure.
const SUCCESS_RETENTION_ON_FAILURE: f64 = 0.5;
/// The fraction of the failures that is dropped at a success, and at the first response after a failure.
const FAILURE_DISCOUNT_ON_SUCCESS: f64 = 0.5;
/// The fraction of the failures that is dropped per second.
const FAILURE_DECAY_PER_SECOND: f64 = 0.1;
/// An endpoint whose beta, its failures including the prior, exceeds this is suspect.
const SUSPECT_BETA: f64 = 1.5;
/// A suspect endpoint is tried if its sampled success probability is at least this.
const MIN_SAMPLED_SUCCESS: f64 = 0.5;

/// The source of evidence on an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// An attempt or an established connection.
    Session,
    HealthCheck,
}

/// The failures and successes of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct OutlierState {
    /// Successes, including the prior.
    alpha: f64,
    /// Failures, including the prior.
    beta: f64,
    /// Failed or reset connections and timed-out health checks since the last response; at least 1 after an
    /// unanswered message. Other failures do not count. Incremented once more when the ejection is reported.
    consecutive_failures: u32,
    /// Whether a connection has failed since the last response.
    connection_failed: bool,
    /// When the endpoint last responded for the first time after a failed connection; 0 if never.
    recovered_at: Timestamp,
    /// When a handshake last timed out; 0 if never.
    handshake_timed_out_at: Timestamp,
    /// When the endpoint last responded or restarted; 0 if never.
    last_response_at: Timestamp,
}

impl OutlierState {
    pub(crate) fn new() -> Self {
        Self {
            alpha: INITIAL_ALPHA,
            beta: PRIOR,
            consecutive_failures: 0,
            connection_failed: false,
            recovered_at: Timestamp::ZERO,
            handshake_timed_out_at: Timestamp::ZERO,
            last_response_at: Timestamp::ZERO,
        }
    }

    /// Records a restart of the endpoint: discards the failures of the old process and sets the last response
    /// to now. Alpha and all other fields are kept.
    pub(crate) fn record_restart(&mut self, now: Timestamp) {
        self.beta = PRIOR;
        self.consecutive_failures = 0;
        self.last_response_at = now;
    }

    /// Records that the process responds. This does not count as a success, as it may accept connections only
    /// to drop them.
    pub(crate) fn record_response(&mut self, now: Timestamp) {
        self.drop_failures(if self.consecutive_failures > 0 { FAILURE_DISCOUNT_ON_SUCCESS } else { 0.0 });
        if self.connection_failed {
            self.connection_failed = false;
            self.recovered_at = now;
        }
        self.last_response_at = now;
        self.consecutive_failures = 0;
    }

    /// Records that the endpoint serves a session whose attempt started at `attempt_started_at`. If a
    /// handshake has timed out since then, this counts as a response only: established sessions may be served
    /// while new handshakes hang.
    pub(crate) fn record_success(&mut self, now: Timestamp, attempt_started_at: Timestamp) {
        self.record_response(now);
        let evidence = if attempt_started_at >= self.handshake_timed_out_at { 1.0 } else { 0.0 };
        self.alpha = (self.alpha + evidence).min(MAX_PSEUDO_COUNT);
        self.drop_failures(evidence * FAILURE_DISCOUNT_ON_SUCCESS);
    }

    /// Records the outcome of an attempt, a connection or a health check.
    pub(crate) fn record_outcome(&mut self, now: Timestamp, outcome: AttemptOutcome, source: EvidenceSource) {
        let health_check = source == EvidenceSource::HealthCheck;
        match outcome {
            // A session that ends normally counts in full, whenever its attempt started.
            AttemptOutcome::Succeeded if !health_check => self.record_success(now, now),
            AttemptOutcome::Succeeded | AttemptOutcome::AtCapacity => self.record_response(now),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                self.consecutive_failures += 1;
                self.connection_failed = true;
                self.add_failure();
            }
            AttemptOutcome::TimedOut if health_check => {
                self.consecutive_failures += 1;
                self.add_failure();
            }
            AttemptOutcome::TimedOut => {
                self.handshake_timed_out_at = now;
                self.add_failure();
            }
            AttemptOutcome::Failed if !health_check => self.add_failure(),
            AttemptOutcome::Failed | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Records a message that has been unanswered for longer than a connect timeout. It counts as one
    /// consecutive failure if there are none yet: the endpoint is then checked soon, and one more consecutive
    /// failure ejects it. Alpha and beta do not change.
    pub(crate) fn record_unanswered_message(&mut self) {
        self.consecutive_failures = self.consecutive_failures.max(1);
    }

    /// Ejects the endpoint, as if health checks had timed out, because its message latency exceeds every
    /// client's dial timeout.
    pub(crate) fn record_unusable_latency(&mut self, now: Timestamp) {
        self.consecutive_failures = EJECTION_FAILURES - 1;
        self.record_outcome(now, AttemptOutcome::TimedOut, EvidenceSource::HealthCheck);
    }

    /// Decays the failures over `elapsed`.
    pub(crate) fn decay(&mut self, elapsed: TickDuration) {
        self.drop_failures(
            FAILURE_DECAY_PER_SECOND * elapsed.as_ticks_f64() / TickDuration::from_secs(1).as_ticks_f64(),
        );
    }

    /// Returns whether the endpoint is ejected for its consecutive failures.
    pub(crate) fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES
    }

    /// Returns whether the endpoint has just been ejected. True once per ejection, but each
    /// [`OutlierState::record_unusable_latency`] sets the count of consecutive failures back, so that an
    /// ejected endpoint counts as just ejected again.
    pub(crate) fn take_ejection(&mut self) -> bool {
        let just_ejected = self.consecutive_failures == EJECTION_FAILURES;
        if just_ejected {
            self.consecutive_failures += 1;
        }
        just_ejected
    }

    /// Returns whether there was a consecutive failure or an unanswered message since the last response.
    pub(crate) fn has_consecutive_failures(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns the consecutive failures beyond those that eject an endpoint. The report of the ejection
    /// counts as one.
    pub(crate) fn failures_beyond_ejection(&self) -> u32 {
        self.consecutive_failures.saturating_sub(EJECTION_FAILURES)
    }

    /// Returns whether failures outweigh successes.
    pub(crate) fn mostly_fails(&self) -> bool {
        self.beta > self.alpha
    }

    /// Returns `value` times the mean success probability.
    pub(crate) fn weight_by_success_probability(&self, value: f64) -> f64 {
        value * self.alpha / (self.alpha + self.beta)
    }

    /// Returns whether to avoid the endpoint for an attempt: it is suspect and its sampled success
    /// probability is low.
    pub(crate) fn sample_avoidance(&self, rng: &mut ChaCha8Rng) -> bool {
        // Both parameters are at least the prior, so the distribution is always valid.
        self.beta > SUSPECT_BETA
            && Beta::new(self.alpha, self.beta).is_ok_and(|beta| beta.sample(rng) < MIN_SAMPLED_SUCCESS)
    }

    /// Returns when the endpoint last responded for the first time after a failed connection; 0 if never.
    pub(crate) fn recovered_at(&self) -> Timestamp {
        self.recovered_at
    }

    /// Returns when the endpoint last responded or restarted; 0 if never.
    pub(crate) fn last_response_at(&self) -> Timestamp {
        self.last_response_at
    }

    fn add_failure(&mut self) {
        self.alpha = PRIOR + (self.alpha - PRIOR) * SUCCESS_RETENTION_ON_FAILURE;
        self.beta = (self.beta + 1.0).min(MAX_PSEUDO_COUNT);
    }

    fn drop_failures(&mut self, fraction: f64) {
        self.beta = PRIOR + (self.beta - PRIOR) * (1.0 - fraction);
    }
}
