//! Passive failure detection: consecutive failures eject an endpoint, and a Beta posterior of its chance of
//! success decides how often a suspect one is tried.

use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};

use crate::event::AttemptOutcome;
use crate::time::{TickDuration, Timestamp};

/// Consecutive failures, with no sign of life between, that eject an endpoint.
const EJECTION_FAILURES: u32 = 2;
/// Alpha of a new endpoint: successes, the prior included.
const INITIAL_ALPHA: f64 = 2.0;
/// The prior of alpha and of beta; neither falls below it.
const PRIOR: f64 = 1.0;
/// The most successes or failures that count, the prior included.
const MAX_EVIDENCE: f64 = 8.0;
/// Fraction of the successes that a failure leaves.
const SUCCESSES_KEPT_BY_FAILURE: f64 = 0.5;
/// Fraction of the failures that a success drops, and the first sign of life after a failure.
const FAILURES_DROPPED: f64 = 0.5;
/// Fraction of the failures that is dropped each second.
const FAILURE_DECAY_PER_SECOND: f64 = 0.1;
/// An endpoint with more failures than this, the prior included, is suspect.
const SUSPECT_BETA: f64 = 1.5;
/// A suspect endpoint is tried if its sampled chance of success is at least this.
const MIN_SAMPLED_SUCCESS: f64 = 0.5;

/// Where the evidence on an endpoint comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// An attempt or an established connection.
    Session,
    HealthCheck,
}

/// What failures and successes say of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct OutlierState {
    /// Successes, the prior included.
    alpha: f64,
    /// Failures, the prior included.
    beta: f64,
    /// Failures since the last sign of life, at least 1 after a late message; one more once the ejection has been
    /// reported.
    consecutive_failures: u32,
    /// A connection to it has failed, and it gave no sign of life since.
    connection_failed: bool,
    /// When it last gave a sign of life after a failed connection; 0 if never.
    recovered_at: Timestamp,
    /// When a handshake last timed out; 0 if never.
    handshake_timed_out_at: Timestamp,
    /// Its last sign of life; 0 if none.
    last_alive_at: Timestamp,
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
            last_alive_at: Timestamp::ZERO,
        }
    }

    /// Its process has restarted: the failures of the old one are discarded. Alpha is kept, and so is all else
    /// but the last sign of life.
    pub(crate) fn record_restart(&mut self, now: Timestamp) {
        self.beta = PRIOR;
        self.consecutive_failures = 0;
        self.last_alive_at = now;
    }

    /// The process answers. It may accept connections and drop them, so this is no success.
    pub(crate) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.drop_failures(if self.consecutive_failures > 0 { FAILURES_DROPPED } else { 0.0 });
        if self.connection_failed {
            self.connection_failed = false;
            self.recovered_at = now;
        }
        self.last_alive_at = now;
        self.consecutive_failures = 0;
    }

    /// It serves a session whose attempt started at `attempt_started_at`. Sessions that were established before
    /// a handshake timed out say nothing of new ones.
    pub(crate) fn record_success(&mut self, now: Timestamp, attempt_started_at: Timestamp) {
        self.record_sign_of_life(now);
        let evidence = if attempt_started_at >= self.handshake_timed_out_at { 1.0 } else { 0.0 };
        self.alpha = (self.alpha + evidence).min(MAX_EVIDENCE);
        self.drop_failures(evidence * FAILURES_DROPPED);
    }

    /// The end of an attempt, a connection or a health check.
    pub(crate) fn record_outcome(&mut self, now: Timestamp, outcome: AttemptOutcome, source: EvidenceSource) {
        let health_check = source == EvidenceSource::HealthCheck;
        match outcome {
            AttemptOutcome::Succeeded if !health_check => self.record_success(now, now),
            AttemptOutcome::Succeeded | AttemptOutcome::AtCapacity => self.record_sign_of_life(now),
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

    /// A message is late. It counts as one consecutive failure unless there are some already, so that the
    /// endpoint is checked soon; one more consecutive failure ejects it. Alpha and beta do not change.
    pub(crate) fn record_late_message(&mut self) {
        self.consecutive_failures = self.consecutive_failures.max(1);
    }

    /// No client would be accepted in time, by how long a message takes: ejects the endpoint as one that
    /// answers no health check.
    pub(crate) fn record_unusable_latency(&mut self, now: Timestamp) {
        self.consecutive_failures = EJECTION_FAILURES - 1;
        self.record_outcome(now, AttemptOutcome::TimedOut, EvidenceSource::HealthCheck);
    }

    /// Forgets failures over `elapsed`.
    pub(crate) fn decay(&mut self, elapsed: TickDuration) {
        self.drop_failures(FAILURE_DECAY_PER_SECOND * elapsed.as_f64() / TickDuration::from_secs(1).as_f64());
    }

    /// Whether it has failed too often in a row to be used.
    pub(crate) fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES
    }

    /// Whether it has just been ejected; true once for each ejection.
    pub(crate) fn take_ejection(&mut self) -> bool {
        let just_ejected = self.consecutive_failures == EJECTION_FAILURES;
        if just_ejected {
            self.consecutive_failures += 1;
        }
        just_ejected
    }

    /// Whether it had a consecutive failure, or a late message, since its last sign of life.
    pub(crate) fn has_consecutive_failures(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Consecutive failures beyond those that eject it, the report of the ejection included.
    pub(crate) fn failures_beyond_ejection(&self) -> u32 {
        self.consecutive_failures.saturating_sub(EJECTION_FAILURES)
    }

    /// Whether its failures outweigh its successes.
    pub(crate) fn mostly_fails(&self) -> bool {
        self.beta > self.alpha
    }

    /// `value` times the mean chance of success.
    pub(crate) fn weigh_by_success(&self, value: f64) -> f64 {
        value * self.alpha / (self.alpha + self.beta)
    }

    /// Whether an attempt there should be avoided: it is suspect, and a sample of its chance of success is low.
    pub(crate) fn sample_avoidance(&self, rng: &mut ChaCha8Rng) -> bool {
        // Both parameters are at least the prior, so the distribution always exists.
        self.beta > SUSPECT_BETA
            && Beta::new(self.alpha, self.beta).is_ok_and(|beta| beta.sample(rng) < MIN_SAMPLED_SUCCESS)
    }

    /// When it last gave a sign of life after a failed connection; 0 if never.
    pub(crate) fn recovered_at(&self) -> Timestamp {
        self.recovered_at
    }

    /// Its last sign of life; 0 if none.
    pub(crate) fn last_alive_at(&self) -> Timestamp {
        self.last_alive_at
    }

    fn add_failure(&mut self) {
        self.alpha = PRIOR + (self.alpha - PRIOR) * SUCCESSES_KEPT_BY_FAILURE;
        self.beta = (self.beta + 1.0).min(MAX_EVIDENCE);
    }

    fn drop_failures(&mut self, fraction: f64) {
        self.beta = PRIOR + (self.beta - PRIOR) * (1.0 - fraction);
    }
}
