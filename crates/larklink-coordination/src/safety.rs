//! The inequalities on which it rests that no two members act by one lease at once. They stand apart from the state
//! machine, so that a search can show that it finds mistaken ones.

use crate::settings::LeaseSettings;
use crate::time::{TickDuration, Timestamp};

/// Millionths in one, the unit of drift.
const MILLION: TickDuration = 1_000_000;

/// When a holder may act, and when a candidate may overtake it. The methods as given are the ones that are safe.
pub trait SafetyCondition {
    /// Until when a holder may act by a write that was requested at one time and answered at another.
    fn may_act_until(
        requested_at: Timestamp,
        _answered_at: Timestamp,
        settings: &LeaseSettings,
    ) -> Timestamp {
        let drift = TickDuration::from(settings.drift_ppm);
        let expires_at = requested_at + settings.ttl * (MILLION - drift) / MILLION;
        expires_at.saturating_sub(settings.max_act_duration)
    }

    /// From when on a record may be overtaken that was first observed at a time, and has not changed since.
    fn may_overtake_at(observed_at: Timestamp, ttl: TickDuration, drift_ppm: u32) -> Timestamp {
        // The TTL stands in a record that others wrote: the product may exceed 64 bits.
        let slowest = u128::from(MILLION + TickDuration::from(drift_ppm));
        let wait = (u128::from(ttl) * slowest).div_ceil(MILLION.into());
        observed_at.saturating_add(TickDuration::try_from(wait).unwrap_or(TickDuration::MAX))
    }

    /// From when on a write counts that repeats one without a response, which may have taken effect.
    fn repeated_write_counts_from(first_requested_at: Timestamp, repeated_at: Timestamp) -> Timestamp {
        first_requested_at.min(repeated_at)
    }
}

/// The safety condition that holds while all clocks run true within the drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BoundedDrift;

impl SafetyCondition for BoundedDrift {}
