//! What a proxy tells its balancer.

use crate::ids::EndpointIndex;
use crate::time::{TickDuration, Timestamp};

/// The lifecycle state of an endpoint, as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new sessions.
    Ready,
    /// It is shutting down gracefully: its sessions go on, new ones go elsewhere.
    Draining,
    /// It is not in the list any more.
    #[default]
    Removed,
}

/// One endpoint of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The caller's index for it.
    pub endpoint: EndpointIndex,
    /// Its id, the same at every proxy; the bucket table is built from it.
    pub id: u32,
    /// Its zone.
    pub zone: u16,
    /// Its cell, a group of endpoints that share idempotency keys.
    pub cell: u16,
    /// Its lifecycle state.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Its last start; 0 if that was long ago.
    pub started_at: Timestamp,
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the endpoints that changed.
    Changes,
    /// Every endpoint: what it leaves out is removed.
    Complete,
    /// Every endpoint as last known before this process started.
    Cached,
}

/// A session as it reaches the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequest {
    /// Its listener, by its place in the settings.
    pub listener: usize,
    /// Sessions with the same key share state on an endpoint; 0 if it has none.
    pub group_key: u64,
    /// Identifies its client; 0 if unknown.
    pub client_key: u64,
    /// How long its client waits to be accepted.
    pub dial_timeout: TickDuration,
    /// It goes on with a connection that was established through another proxy.
    pub established: bool,
    /// Its client reconnects after a break or a migration.
    pub reconnecting: bool,
    /// Its client marks it as a retry of one that was not accepted.
    pub client_retry: bool,
}

/// How an attempt, a connection or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served it to its end, or answered the health check.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint rejected it for lack of capacity; it did not run.
    AtCapacity,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made; it did not run.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The proxy or the endpoint ended it before its time; that says nothing of the endpoint.
    Cancelled,
    /// Its send deadline passed before anything was sent; it did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it proves that the attempt had no effect on the endpoint.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::AtCapacity | Self::ConnectFailed | Self::NotSent)
    }
}

/// What is observed of an established session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Its present load, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at its endpoint at present.
    MessageLatency(TickDuration),
    /// A message has been without an answer for longer than a connect timeout.
    Unresponsive,
}
