//! What a balancer tells its proxy to do.

use crate::ids::{EndpointIndex, SessionHandle};
use crate::time::{TickDuration, Timestamp};

/// What to do with a session now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The endpoint to connect to.
        endpoint: EndpointIndex,
        /// How long the attempt may take before it counts as timed out.
        timeout: TickDuration,
        /// The latest time at which the first byte may be sent; an attempt that is ready later ends as not sent.
        send_deadline: Timestamp,
    },
    /// Nothing yet: [`Action::Decided`] follows well before the dial timeout.
    Wait,
    /// Reject it: it certainly had no effect that a retry would repeat.
    Reject {
        /// How long the client should wait before it retries; 0 if nothing is to be said.
        retry_after: TickDuration,
    },
    /// Fail it: it may have run and cannot be retried.
    Fail,
}

/// What [`Balancer::poll`](crate::Balancer::poll) asks the proxy to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Check the health of an endpoint.
    CheckHealth(EndpointIndex),
    /// The decision on a session that had to wait.
    Decided(SessionHandle, Decision),
    /// The attempt in flight may be sent only up to this time, which is earlier than its decision said.
    LimitSendDeadline(SessionHandle, Timestamp),
    /// Migrate an established session: its client is asked to reconnect.
    Migrate(SessionHandle),
    /// Poll the endpoint list, and subscribe to its changes.
    PollEndpointList,
    /// Something an operator should know.
    Log(LogEvent),
}

/// A change that operators find in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An endpoint failed too often in a row; its sessions are migrated.
    EndpointEjected {
        /// The id of the endpoint in the endpoint list.
        endpoint_id: u32,
        /// How many sessions of this proxy are established there or being attempted.
        sessions: u32,
    },
    /// Attempts fail on several endpoints: the concurrency limit has fallen under one half.
    AttemptsLimited,
}

// The text that `larklink-adapter` sends. `larklink-proxy` words its own log lines (`decision_task::log`).
impl std::fmt::Display for LogEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::EndpointEjected { endpoint_id, sessions } => {
                write!(f, "endpoint {endpoint_id:08x} ejected, migrating {sessions} sessions")
            }
            Self::AttemptsLimited => f.write_str("attempts fail on several endpoints: attempts limited"),
        }
    }
}

/// How many endpoints the list has, and how many of them are avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSummary {
    /// Endpoints that are ready or draining.
    pub listed: usize,
    /// Of those, the ones that are draining, ejected or likely to fail.
    pub avoided: usize,
}
