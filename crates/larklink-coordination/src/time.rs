//! Timestamps and durations of leases, in ticks of 0.1 ms.
//!
//! Timestamps come from a monotonic clock that keeps running while the machine is suspended.

/// A point in time: ticks since an origin that the caller chooses.
pub type Timestamp = u64;

/// A duration in ticks.
pub type TickDuration = u64;
