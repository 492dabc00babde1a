//! The polls in progress.
//!
//! A poll that is given up loses its turn at a service that all proxies poll, and one that waits for an unavailable
//! service is never answered: so polls stay open while further ones are made.
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use futures_lite::future;

use crate::discovery::poll::{PollError, PollProgress, PollResponse};
use crate::discovery::schedule::MAX_OPEN_POLLS;

/// A poll in progress. It ends by itself at the latest when it is given up.
pub(crate) type PollFuture = Pin<Box<dyn Future<Output = Result<PollResponse, PollError>>>>;

/// A poll in progress, and what has to be known of it when it ends.
pub(crate) struct OpenPoll {
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

/// The polls in progress, the oldest first.
#[derive(Default)]
pub(crate) struct OpenPolls {
    polls: VecDeque<OpenPoll>,
    /// Whether the newest of them has ended.
    newest_ended: bool,
}

impl OpenPolls {
    /// Adds a poll. A poll that is not connected yet is given up, since the kernel repeats its connection attempt too
    /// late; nothing is lost with it. If there are too many, the second-oldest is given up: a slow service gets the time
    /// to answer the oldest one.
    pub(crate) fn push(&mut self, poll: OpenPoll) {
        self.polls.retain(|open| open.progress.connected.get());
        if self.polls.len() >= MAX_OPEN_POLLS {
            self.polls.remove(1);
        }
        self.polls.push_back(poll);
        self.newest_ended = false;
    }

    /// Gives all polls up.
    pub(crate) fn clear(&mut self) {
        self.polls.clear();
        self.newest_ended = true;
    }

    /// Whether the newest poll has not ended yet.
    pub(crate) fn is_newest_open(&self) -> bool {
        !self.newest_ended && !self.polls.is_empty()
    }

    /// Waits until any poll ends. Without polls this never completes.
    pub(crate) async fn next_end(&mut self) -> EndedPoll {
        future::poll_fn(|context| self.poll_end(context)).await
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<EndedPoll> {
        let ended = self.polls.iter_mut().enumerate().find_map(|(position, open)| {
            match open.future.as_mut().poll(context) {
                Poll::Ready(result) => Some((position, result)),
                Poll::Pending => None,
            }
        });
        let Some((position, result)) = ended else { return Poll::Pending };
        let is_newest = !self.newest_ended && position + 1 == self.polls.len();
        self.newest_ended |= is_newest;
        match self.polls.remove(position) {
            Some(OpenPoll { progress, started_at, on_reused_connection, .. }) => {
                Poll::Ready(EndedPoll { result, progress, started_at, on_reused_connection, is_newest })
            }
            None => Poll::Pending,
        }
    }
}
