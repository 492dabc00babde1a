//! The deadlines of a proxy that is asked to stop.
use std::cell::Cell;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;

use crate::log::EndReason;

/// How long before the process ends a waiting session gets its last answer; and how long after the listener is closed
/// those connections end that have sent nothing.
pub(super) const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Whether the proxy is to stop, and by when.
pub(crate) struct Shutdown {
    /// Closes when the proxy is to stop.
    requested: Receiver<()>,
    /// How long the proxy may run on after that.
    grace: Duration,
    started_at: Cell<Option<Instant>>,
}

impl Shutdown {
    /// A shutdown that is requested when the channel closes, with its grace period.
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

    /// When the process ends. The grace period starts with the first call, which comes after the request.
    pub(crate) fn deadline(&self) -> Instant {
        let started_at = self.started_at.get().unwrap_or_else(Instant::now);
        self.started_at.set(Some(started_at));
        started_at + self.grace
    }

    /// The latest time at which a waiting session gets its answer.
    pub(super) fn last_answer_at(&self) -> Instant {
        self.deadline() - LAST_ANSWER_MARGIN
    }

    /// Resolves when the last answers are due.
    ///
    /// # Errors
    /// Always [`EndReason::Shutdown`].
    pub(super) async fn last_answer_due<T>(&self) -> Result<T, EndReason> {
        self.requested().await;
        Timer::at(self.last_answer_at()).await;
        Err(EndReason::Shutdown)
    }
}
