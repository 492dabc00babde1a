//! The durations of a lease, on which all its candidates agree.
use thiserror::Error;

use crate::time::TickDuration;

/// The least ratio of the TTL to the request timeout: renewals need time to fail and be repeated.
pub const MIN_TTL_PER_REQUEST_TIMEOUT: TickDuration = 10;
/// The highest drift, in millionths.
const MAX_DRIFT_PPM: u32 = 100_000;
/// The longest TTL, a day: without its holder the task is not done for as long.
const MAX_TTL: TickDuration = 24 * 3_600 * 10_000;

/// The durations of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long a renewal is valid.
    pub ttl: TickDuration,
    /// By how many millionths a clock may run fast or slow.
    pub drift_ppm: u32,
    /// How long one act may take: none begins later than this before the end of the lease.
    pub max_act_duration: TickDuration,
    /// After how long a request to the lease store counts as unanswered.
    pub request_timeout: TickDuration,
}

/// What is wrong with lease settings. Durations are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    /// The drift is 0 or too high.
    #[error("drift: {0} millionths; it must be above 0 and at most {MAX_DRIFT_PPM}")]
    DriftOutOfRange(u32),
    /// There is no request timeout.
    #[error("call: 0 is no bound on a call")]
    NoRequestTimeout,
    /// The TTL is too short for renewals to be repeated.
    #[error(
        "span: {ttl} is under {MIN_TTL_PER_REQUEST_TIMEOUT} times the bound on a call, {request_timeout}"
    )]
    TtlTooShort {
        /// The TTL.
        ttl: TickDuration,
        /// The request timeout.
        request_timeout: TickDuration,
    },
    /// The TTL is longer than a day.
    #[error("span: {0} tenths of a millisecond are over a day")]
    TtlTooLong(TickDuration),
    /// One act may take half of the TTL or more.
    #[error("act: {max_act_duration} leaves less than half of the span, {ttl}, to act in")]
    ActTooLong {
        /// How long one act may take.
        max_act_duration: TickDuration,
        /// The TTL.
        ttl: TickDuration,
    },
}

impl LeaseSettings {
    /// Checks that a lease can work with these settings.
    ///
    /// # Errors
    /// The first setting that is out of range, or contradicts another.
    pub fn check(&self) -> Result<(), LeaseSettingsError> {
        if self.drift_ppm == 0 || self.drift_ppm > MAX_DRIFT_PPM {
            return Err(LeaseSettingsError::DriftOutOfRange(self.drift_ppm));
        }
        if self.request_timeout == 0 {
            return Err(LeaseSettingsError::NoRequestTimeout);
        }
        if self.ttl < self.request_timeout.saturating_mul(MIN_TTL_PER_REQUEST_TIMEOUT) {
            let request_timeout = self.request_timeout;
            return Err(LeaseSettingsError::TtlTooShort { ttl: self.ttl, request_timeout });
        }
        if self.ttl > MAX_TTL {
            return Err(LeaseSettingsError::TtlTooLong(self.ttl));
        }
        if self.max_act_duration >= self.ttl / 2 {
            let max_act_duration = self.max_act_duration;
            return Err(LeaseSettingsError::ActTooLong { max_act_duration, ttl: self.ttl });
        }
        Ok(())
    }
}
