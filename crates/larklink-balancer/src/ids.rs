//! Identifiers that pass between a proxy and its balancer.

/// The index of an endpoint; the caller gives each endpoint id a new one, counting from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// Identifies a session from [`place`](crate::Balancer::place) until its end; it may be used again after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionHandle(pub(crate) usize);

impl SessionHandle {
    /// Its number, for logs and traces.
    pub const fn number(self) -> usize {
        self.0
    }
}
