//! A simulated proxy and its sessions.
use std::collections::BTreeMap;

use larklink_engine::engine::{Engine, SessionId};

use crate::duration::SECOND;
use crate::event_log::ClientRequest;
use crate::server::ConnectionId;
use crate::time::{TickDuration, Timestamp};

/// The engine time at the start of a run. It is not 0, since a start time of 0 means that a server started long ago.
const ENGINE_TIME_OFFSET: u64 = 100 * SECOND;

/// Converts simulated time to engine time.
pub(super) fn engine_time(now: Timestamp) -> larklink_balancer::Timestamp {
    larklink_balancer::Timestamp::from_ticks(ENGINE_TIME_OFFSET + now)
}

/// Converts a duration to the engine's type.
pub(super) fn engine_duration(duration: TickDuration) -> larklink_balancer::TickDuration {
    larklink_balancer::TickDuration::from_ticks(duration)
}

/// Converts engine time to simulated time.
fn from_engine_time(time: larklink_balancer::Timestamp) -> Timestamp {
    time.as_ticks().saturating_sub(ENGINE_TIME_OFFSET)
}

/// A session of a proxy that waits for its final response or is established.
pub(super) struct ProxySession {
    pub(super) proxy: usize,
    pub(super) session: SessionId,
    pub(super) request: ClientRequest,
    /// The current connection to a server, of an attempt in flight or of the established session.
    pub(super) connection: Option<ConnectionId>,
    /// The connection on which it was accepted, if it was.
    pub(super) established_on: Option<ConnectionId>,
    /// The timeout of the latest attempt in milliseconds, as sent to the server.
    pub(super) timeout_ms: u64,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
}

impl ProxySession {
    pub(super) fn is_established(&self) -> bool {
        self.established_on.is_some()
    }
}

/// A proxy process with its engine.
pub(super) struct Proxy {
    pub(super) engine: Engine,
    pub(super) alive: bool,
    /// The engine id of its next session.
    pub(super) next_session: SessionId,
    /// The session ids of the clients by engine session id.
    pub(super) sessions: BTreeMap<SessionId, u64>,
    /// The version of the endpoint list that it knows.
    pub(super) list_version: Option<u64>,
    /// The latest time at which it exits; `None` unless it is shutting down.
    pub(super) exits_by: Option<Timestamp>,
    /// How long after its exit it restarts; `None` for never.
    pub(super) restart_after: Option<TickDuration>,
    /// Whether it is killed when it accepts its next connection.
    pub(super) killed_at_accept: bool,
}

impl Proxy {
    pub(super) fn new(engine: Engine, next_session: SessionId) -> Self {
        Self {
            engine,
            alive: true,
            next_session,
            sessions: BTreeMap::new(),
            list_version: None,
            exits_by: None,
            restart_after: None,
            killed_at_accept: false,
        }
    }

    /// Returns when its engine has to be polled next, in simulated time; [`Timestamp::MAX`] if the proxy is not
    /// running.
    pub(super) fn next_wakeup(&self) -> Timestamp {
        if self.alive { from_engine_time(self.engine.next_wakeup()) } else { Timestamp::MAX }
    }
}
