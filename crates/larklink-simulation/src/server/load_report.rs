//! The load report in the response to a health check.

/// The load of a server over its last report interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of sessions, established or being set up.
    pub sessions: usize,
    /// Work completed, as a fraction of the capacity, at most 1.
    pub utilization: f64,
    /// Work requested, as a fraction of the capacity; above 1 if the server is overloaded.
    pub load: f64,
}
