//! The outputs of a balancer: decisions on sessions, actions for the proxy and log events.

use crate::ids::{EndpointIndex, SessionHandle};
use crate::time::{TickDuration, Timestamp};

/// The next step for a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The endpoint to connect to.
        endpoint: EndpointIndex,
        /// How long the attempt may take before it has timed out.
        timeout: TickDuration,
        /// The latest time at which the first byte may be sent. An attempt that connects later must end with
        /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent).
        send_deadline: Timestamp,
    },
    /// Keep the session queued. [`Action::Decided`] follows before its dial timeout.
    Wait,
    /// Reject the session. A retry by its client has no second effect.
    Reject {
        /// How long the client should wait before it retries; 0 to send no Retry-After.
        retry_after: TickDuration,
    },
    /// Fail the session. It may have run and cannot be retried.
    Fail,
}

/// An action that [`Balancer::poll`](crate::Balancer::poll) returns for the proxy to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Check the health of an endpoint.
    CheckHealth(EndpointIndex),
    /// The decision on a session that was told to [wait](Decision::Wait).
    Decided(SessionHandle, Decision),
    /// Lower the send deadline of the session's attempt in flight to this time.
    LimitSendDeadline(SessionHandle, Timestamp),
    /// Migrate an established session by asking its client to reconnect.
    Migrate(SessionHandle),
    /// Poll the endpoint list and subscribe to its changes.
    PollEndpointList,
    /// Log an event for operators.
    Log(LogEvent),
}

/// An event that is logged for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An endpoint was ejected after consecutive failures, and its sessions are migrated.
    EndpointEjected {
        /// The id of the endpoint in the endpoint list.
        endpoint_id: u32,
        /// The number of this proxy's sessions that are established there or have an attempt in flight there.
        sessions: u32,
    },
    /// Attempts fail on several endpoints, and the concurrency limit has fallen below one half.
    AttemptsLimited,
}

// `larklink-adapter` sends this text. `larklink-proxy` formats its own log lines in `decision_task::log`.
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

/// Counts of listed and avoided endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSummary {
    /// The number of endpoints that are ready or draining.
    pub listed: usize,
    /// The number of listed endpoints that are draining, ejected or more likely to fail than to succeed.
    pub avoided: usize,
}
