//! What the tasks of all sessions share.
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use rand_chacha::ChaCha8Rng;

use super::registry::SessionRegistry;
use super::shutdown::Shutdown;
use crate::events::DecisionQueue;
use crate::handover::successor::Successor;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;

/// What the tasks of all sessions share.
pub(crate) struct SessionContext {
    /// The queue to the decision task.
    pub(crate) queue: DecisionQueue,
    /// Counts answers and sessions.
    pub(crate) metrics: Arc<Metrics>,
    /// The names of the listeners; a session's listener is an index into them.
    pub(crate) listeners: Vec<String>,
    /// The longest time that a connection to an endpoint may take.
    pub(crate) connect_timeout: Duration,
    /// Whether packets pass through, so that clients are not migrated at a shutdown.
    pub(crate) passthrough: bool,
    /// Spreads the migrations of a shutdown over time.
    pub(crate) rng: RefCell<ChaCha8Rng>,
    /// Whether the proxy is to stop, and by when.
    pub(crate) shutdown: Shutdown,
    /// Closes when no more connections are accepted.
    pub(crate) accepting_closed: Receiver<Infallible>,
    /// Counts the descriptors.
    pub(crate) limiter: Rc<ConnectionLimiter>,
    /// The open sessions.
    pub(crate) sessions: SessionRegistry,
    /// The process that has taken over, if any.
    pub(crate) successor: Rc<Successor>,
}
