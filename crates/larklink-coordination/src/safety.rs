//! The timing conditions that keep two members from acting on the same lease at once.
//!
//! The conditions are separate from the state machine so that a test can replace one of them with a wrong condition
//! and check that the state search detects the violation.

use crate::settings::LeaseSettings;
use crate::time::{TickDuration, Timestamp};

/// One, in parts per million.
const PPM: TickDuration = 1_000_000;

/// Decides until when a holder may act and from when a candidate may take over the lease.
///
/// The default methods are the safe ones; only tests override them.
pub trait SafetyCondition {
    /// The time until which a holder may act after a write that was sent at `requested_at` and confirmed at
    /// `_confirmed_at`.
    fn may_act_until(
        requested_at: Timestamp,
        _confirmed_at: Timestamp,
        settings: &LeaseSettings,
    ) -> Timestamp {
        let drift = TickDuration::from(settings.max_drift_ppm);
        let expires_at = requested_at + settings.ttl * (PPM - drift) / PPM;
        expires_at.saturating_sub(settings.max_operation_duration)
    }

    /// The time from which a candidate may take over a record that it first observed at `observed_at` and that has
    /// not changed since.
    fn may_take_over_at(observed_at: Timestamp, ttl: TickDuration, max_drift_ppm: u32) -> Timestamp {
        // A candidate whose clock runs fast must still wait for the whole TTL in true time.
        // The TTL comes from a record that another member wrote, so the product may exceed 64 bits.
        let fastest_rate = u128::from(PPM + TickDuration::from(max_drift_ppm));
        let wait = (u128::from(ttl) * fastest_rate).div_ceil(PPM.into());
        observed_at.saturating_add(TickDuration::try_from(wait).unwrap_or(TickDuration::MAX))
    }

    /// The request time that counts for a write that repeats an unanswered one. It is the earlier of the two, since
    /// either write may be the one that takes effect.
    fn effective_request_time(first_requested_at: Timestamp, repeated_at: Timestamp) -> Timestamp {
        first_requested_at.min(repeated_at)
    }
}

/// The safe timing conditions, valid as long as the rate of every clock stays within the configured drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BoundedDrift;

impl SafetyCondition for BoundedDrift {}
