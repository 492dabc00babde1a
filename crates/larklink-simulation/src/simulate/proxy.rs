//! A proxy of a simulation, and the sessions that it has.
use std::collections::BTreeMap;

use larklink_engine::engine::{Engine, SessionId};

use crate::duration::SECOND;
use crate::event_log::ClientRequest;
use crate::server::ConnectionId;
use crate::time::{TickDuration, Timestamp};

/// The time of the decisions starts here, so that no server starts at 0, which means long ago.
const ORIGIN: u64 = 100 * SECOND;

/// The proxy's time at a time of the run.
pub(super) fn engine_time(now: Timestamp) -> larklink_balancer::Timestamp {
    larklink_balancer::Timestamp::from_ticks(ORIGIN + now)
}

/// A duration in the engine's type.
pub(super) fn engine_duration(duration: TickDuration) -> larklink_balancer::TickDuration {
    larklink_balancer::TickDuration::from_ticks(duration)
}

/// A time of the engine as simulated time.
fn simulated_time(time: larklink_balancer::Timestamp) -> Timestamp {
    time.as_ticks().saturating_sub(ORIGIN)
}

/// A session that a proxy has not answered for good.
pub(super) struct ProxySession {
    pub(super) proxy: usize,
    pub(super) session: SessionId,
    pub(super) request: ClientRequest,
    /// The connection to its server, for an attempt or established.
    pub(super) connection: Option<ConnectionId>,
    /// The connection on which it was accepted.
    pub(super) established_on: Option<ConnectionId>,
    /// How long the latest attempt may take, as its server is notified, in milliseconds.
    pub(super) timeout_ms: u64,
    /// Whether an attempt of it that has ended may have run.
    pub(super) may_have_run: bool,
}

impl ProxySession {
    pub(super) fn is_established(&self) -> bool {
        self.established_on.is_some()
    }
}

/// One proxy.
pub(super) struct Proxy {
    pub(super) engine: Engine,
    pub(super) alive: bool,
    /// The number of its next session.
    pub(super) next_session: SessionId,
    /// The client's ids of its sessions.
    pub(super) sessions: BTreeMap<SessionId, u64>,
    /// The version of the endpoint list that it has.
    pub(super) list_version: Option<u64>,
    /// When it exits at the latest; none unless it shuts down.
    pub(super) exits_by: Option<Timestamp>,
    /// How long after its end it starts again.
    pub(super) restart_after: Option<TickDuration>,
    /// Whether it is killed with the next connection that it accepts.
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

    /// When its engine has to be polled next, in the time of the run; never, if it is dead.
    pub(super) fn next_wakeup(&self) -> Timestamp {
        if self.alive { simulated_time(self.engine.next_wakeup()) } else { Timestamp::MAX }
    }
}
