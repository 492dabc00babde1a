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
pub struct SessionContext {
    /// The queue to the decision task.
    pub queue: DecisionQueue,
    /// Counts answers and sessions.
    pub metrics: Arc<Metrics>,
    /// The names of the listeners; a session's listener is an index into them.
    pub listeners: Vec<String>,
    /// The longest time that a connection to an endpoint may take.
    pub connect_timeout: Duration,
    /// Whether packets pass through, so that clients are not migrated at a shutdown.
    pub passthrough: bool,
    /// Spreads the migrations of a shutdown over time.
    pub rng: RefCell<ChaCha8Rng>,
    /// Whether the proxy is to stop, and by when.
    pub shutdown: Shutdown,
    /// Closes when no more connections are accepted.
    pub listener_closed: Receiver<Infallible>,
    /// Counts the descriptors.
    pub limiter: Rc<ConnectionLimiter>,
    /// The open sessions.
    pub sessions: SessionRegistry,
    /// The process that has taken over, if any.
    pub successor: Rc<Successor>,
}
