//! The inputs of a balancer: the endpoint list, session requests, attempt outcomes and observations.

use crate::ids::EndpointIndex;
use crate::time::{TickDuration, Timestamp};

/// The lifecycle state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new sessions.
    Ready,
    /// The endpoint shuts down gracefully: it keeps its sessions, and new ones go elsewhere.
    Draining,
    /// The endpoint is no longer listed.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The index that the caller assigned to the endpoint.
    pub index: EndpointIndex,
    /// The endpoint's id, the same at every proxy. It is an input of the bucket table's hash.
    pub id: u32,
    /// The endpoint's zone.
    pub zone: u16,
    /// The endpoint's cell, a group of endpoints that share idempotency keys.
    pub cell: u16,
    /// The endpoint's lifecycle state.
    pub state: EndpointState,
    /// The endpoint's capacity relative to other endpoints.
    pub weight: f64,
    /// When the endpoint last started; 0 if long ago.
    pub started_at: Timestamp,
}

/// The scope of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The endpoints that changed.
    Changes,
    /// All endpoints. Those that are missing are removed.
    Complete,
    /// All endpoints, as cached from before this process started.
    Cached,
    /// The endpoints that changed, in a list that may be older than the known one.
    OlderChanges,
    /// All endpoints, in a list that may be older than the known one.
    OlderComplete,
}

impl ListScope {
    /// Whether endpoints that are missing are removed.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Complete | Self::Cached | Self::OlderComplete)
    }

    /// Whether the list may be older than the known one. It does not make an endpoint ready again that a newer list has
    /// closed, unless the endpoint has started since.
    pub fn may_be_older(self) -> bool {
        matches!(self, Self::OlderChanges | Self::OlderComplete)
    }
}

/// A session that has reached the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequest {
    /// The index of the session's listener in [`Settings::listeners`](crate::Settings::listeners).
    pub listener: usize,
    /// Sessions with the same group key share state on an endpoint; 0 for no group.
    pub group_key: u64,
    /// Identifies the client; 0 if unknown.
    pub client_key: u64,
    /// How long the client waits to be accepted.
    pub dial_timeout: TickDuration,
    /// Whether the session resumes a connection that was established through another proxy.
    pub established: bool,
    /// Whether the client reconnects after a broken connection or a migration.
    pub reconnecting: bool,
    /// Whether the client marked the session as a retry of one that was not accepted.
    pub client_retry: bool,
}

/// The outcome of an attempt, a connection or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served the session to its end, or answered the health check.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint rejected the attempt for lack of capacity. It did not run.
    AtCapacity,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made. The attempt did not run.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The proxy or the endpoint ended it early, for a reason that is no evidence on the endpoint's health.
    Cancelled,
    /// The send deadline passed before anything was sent. The attempt did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt had no effect on the endpoint.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::AtCapacity | Self::ConnectFailed | Self::NotSent)
    }
}

/// A measurement or an event of an established session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The session's current load, in microseconds of work per second.
    Load(f64),
    /// The current latency of messages at the session's endpoint.
    MessageLatency(TickDuration),
    /// A message has been unanswered for longer than a connect timeout.
    Unresponsive,
}
