//! Identifiers and times that pass between a proxy and its balancer.

/// A point in time, in tenths of a millisecond since an origin that the caller chooses.
pub type Timestamp = u64;

/// A length of time, in tenths of a millisecond.
pub type TickDuration = u64;

/// Ticks of a [`Timestamp`] or a [`TickDuration`] in one second.
pub(crate) const TICKS_PER_SECOND: TickDuration = 10_000;

/// The index of an endpoint; the caller gives each endpoint id a new one, counting from 0.
pub type EndpointIndex = usize;

/// Identifies a session from [`place`](crate::Balancer::place) until its end; it may be used again after that.
pub type SessionHandle = usize;
