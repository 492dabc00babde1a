//! A poll in progress as a task, with what has to be known of it when it ends.
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use crate::discovery::open_polls::OpenPolls;
use crate::discovery::poll::{PollError, PollProgress, PollResponse};

/// The exchange with discovery. It ends by itself at the latest when it is given up.
pub(crate) type PollFuture = Pin<Box<dyn Future<Output = Result<PollResponse, PollError>>>>;

/// A poll in progress.
pub(crate) struct PollTask {
    pub(crate) future: PollFuture,
    pub(crate) progress: Rc<PollProgress>,
    pub(crate) started_at: Instant,
    /// Whether it was made on a connection of an earlier one.
    pub(crate) on_reused_connection: bool,
}

/// A poll that has ended.
pub(crate) struct EndedPoll {
    pub(crate) result: Result<PollResponse, PollError>,
    pub(crate) progress: Rc<PollProgress>,
    pub(crate) started_at: Instant,
    pub(crate) on_reused_connection: bool,
    /// Whether no later poll has been started.
    pub(crate) is_newest: bool,
}

impl OpenPolls<PollTask> {
    /// Waits until any poll ends. Without polls this never completes.
    pub(crate) async fn next_end(&mut self) -> EndedPoll {
        poll_fn(|context| self.poll_end(context)).await
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<EndedPoll> {
        let ended = self.iter_mut().enumerate().find_map(|(position, task)| {
            match task.future.as_mut().poll(context) {
                Poll::Ready(result) => Some((position, result)),
                Poll::Pending => None,
            }
        });
        let Some((position, result)) = ended else { return Poll::Pending };
        let Some((task, is_newest)) = self.remove_ended(position) else { return Poll::Pending };
        let PollTask { progress, started_at, on_reused_connection, .. } = task;
        Poll::Ready(EndedPoll { result, progress, started_at, on_reused_connection, is_newest })
    }
}
