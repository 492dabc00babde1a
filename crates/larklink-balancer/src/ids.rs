//! Identifiers that a proxy and its balancer exchange.

/// The index of an endpoint. The caller assigns consecutive indices, from 0, to new endpoint ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// Identifies a session from [`place`](crate::Balancer::place) until it is over. Handles are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionHandle(pub(crate) usize);

impl SessionHandle {
    /// Returns the handle as a number, for logs and traces.
    pub const fn number(self) -> usize {
        self.0
    }
}
