//! Lease settings, which must be the same for all candidates of a lease.
use thiserror::Error;

use crate::time::TickDuration;

/// The lowest allowed ratio of the TTL to the request timeout, so that a failed renewal can be retried before the lease
/// expires.
pub const MIN_TTL_PER_REQUEST_TIMEOUT: TickDuration = 10;
/// The highest allowed clock drift, in parts per million.
const MAX_DRIFT_PPM: u32 = 100_000;
/// The longest allowed TTL, one day. After the holder fails, nobody performs its task until the TTL has passed.
const MAX_TTL: TickDuration = 24 * 3_600 * 10_000;

/// The durations and the clock drift that a lease relies on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long the lease is valid after a renewal.
    pub ttl: TickDuration,
    /// The largest deviation of any member's clock rate, in parts per million.
    pub max_drift_ppm: u32,
    /// The longest time that one operation under the lease may take. No operation starts later than this before the
    /// lease expires.
    pub max_operation_duration: TickDuration,
    /// The time after which a request to the lease store counts as unanswered.
    pub request_timeout: TickDuration,
}

/// Invalid lease settings. Durations are in ticks of 0.1 ms.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    /// The clock drift is 0 or too high.
    #[error("max_drift_ppm: {0} ppm is out of range: must be above 0 and at most {MAX_DRIFT_PPM}")]
    DriftOutOfRange(u32),
    /// The request timeout is 0.
    #[error("request_timeout: the request timeout must be above 0")]
    NoRequestTimeout,
    /// The TTL is too short for a failed renewal to be retried.
    #[error(
        "ttl: the TTL of {ttl} is under {MIN_TTL_PER_REQUEST_TIMEOUT} times the request timeout, {request_timeout}"
    )]
    TtlTooShort {
        /// The TTL.
        ttl: TickDuration,
        /// The request timeout.
        request_timeout: TickDuration,
    },
    /// The TTL is longer than a day.
    #[error("ttl: the TTL is {0} ticks of 0.1 ms, longer than a day")]
    TtlTooLong(TickDuration),
    /// One operation may take half of the TTL or longer.
    #[error(
        "max_operation_duration: an operation may take {max_operation_duration} ticks, half of the TTL of {ttl} or longer"
    )]
    OperationTooLong {
        /// The longest duration of one operation.
        max_operation_duration: TickDuration,
        /// The TTL.
        ttl: TickDuration,
    },
}

impl LeaseSettings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns an error for the first setting that is out of range or inconsistent with another one.
    pub fn check(&self) -> Result<(), LeaseSettingsError> {
        if self.max_drift_ppm == 0 || self.max_drift_ppm > MAX_DRIFT_PPM {
            return Err(LeaseSettingsError::DriftOutOfRange(self.max_drift_ppm));
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
        if self.max_operation_duration >= self.ttl / 2 {
            let max_operation_duration = self.max_operation_duration;
            return Err(LeaseSettingsError::OperationTooLong { max_operation_duration, ttl: self.ttl });
        }
        Ok(())
    }
}
