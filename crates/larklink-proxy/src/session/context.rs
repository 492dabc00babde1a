//! State shared by the tasks of all sessions.
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use rand_chacha::ChaCha8Rng;

use super::shutdown::Shutdown;
use crate::events::DecisionQueue;
use crate::handover::successor::Successor;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;
use crate::session_registry::SessionRegistry;

/// State shared by the tasks of all sessions.
pub(crate) struct SessionContext {
    /// The event queue of the decision task.
    pub(crate) queue: DecisionQueue,
    /// Counts answers and sessions.
    pub(crate) metrics: Arc<Metrics>,
    /// Listener names; a session's listener is stored as an index into this list.
    pub(crate) listeners: Vec<String>,
    /// The longest time that a connection to an endpoint may take.
    pub(crate) connect_timeout: Duration,
    /// Whether the deployment's packets pass through the proxy: connections then continue through other proxies, and a
    /// shutdown migrates no clients.
    pub(crate) passthrough: bool,
    /// Chooses random times for the migrations of a shutdown.
    pub(crate) rng: RefCell<ChaCha8Rng>,
    /// Whether the proxy was asked to stop, and its deadlines.
    pub(crate) shutdown: Shutdown,
    /// Closed when the proxy accepts no more connections.
    pub(crate) accepting_stopped: Receiver<Infallible>,
    /// Counts the file descriptors in use.
    pub(crate) limiter: Rc<ConnectionLimiter>,
    /// The open sessions.
    pub(crate) sessions: Rc<SessionRegistry>,
    /// The process that has taken over from this one, if any.
    pub(crate) successor: Rc<Successor>,
}
