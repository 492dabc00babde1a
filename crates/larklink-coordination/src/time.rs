//! Times of leases, in ticks of a tenth of a millisecond, of a clock that goes on while the machine sleeps.

/// A point in time: ticks since an origin that the caller chooses.
pub type Timestamp = u64;

/// A length of time, in ticks.
pub type TickDuration = u64;
