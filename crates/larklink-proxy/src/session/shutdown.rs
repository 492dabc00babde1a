//! The shutdown request and its deadlines.
use std::cell::Cell;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;

use crate::log::EndReason;

/// How long before the process exits a waiting session is answered at the latest; also how long after the listener is
/// closed connections that have sent nothing are closed.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Whether the proxy was asked to stop, and its deadlines.
pub(crate) struct Shutdown {
    /// Closed when the proxy is asked to stop.
    requested: Receiver<()>,
    /// The grace period: how long the proxy may keep running after that.
    grace: Duration,
    started_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// Creates a shutdown that is requested when the channel closes.
    pub(crate) fn new(requested: Receiver<()>, grace: Duration) -> Self {
        Self { requested, grace, started_at: Cell::new(None) }
    }

    /// Whether the proxy was asked to stop.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested.is_closed()
    }

    /// Resolves when the proxy is asked to stop.
    pub(crate) async fn requested(&self) {
        let _ = self.requested.recv().await;
    }

    /// When the process exits. The grace period starts with the first call, which must come after the request.
    pub(crate) fn deadline(&self) -> Instant {
        let started_at = self.started_at.get().unwrap_or_else(Instant::now);
        self.started_at.set(Some(started_at));
        started_at + self.grace
    }

    /// The latest time at which a waiting session is answered.
    pub(super) fn answer_deadline(&self) -> Instant {
        self.deadline() - ANSWER_MARGIN
    }

    /// Resolves at the answer deadline, once the proxy was asked to stop.
    ///
    /// # Errors
    /// Always [`EndReason::Shutdown`].
    pub(super) async fn answer_deadline_passed<T>(&self) -> Result<T, EndReason> {
        self.requested().await;
        Timer::at(self.answer_deadline()).await;
        Err(EndReason::Shutdown)
    }
}
