//! Polls that were not answered in time and may be answered yet.
//!
//! Where all proxies poll one service, it may need seconds for a poll. A poll that is given up loses its turn there, and
//! one that waits for an unavailable service is never answered: so polls are kept open while further ones are made.
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::future;

use crate::discovery::poll::{DiscoveryConnection, PollError};
use crate::endpoint_list::EndpointList;

/// The most polls that are kept open. Together with the poll in progress they fit the descriptors that are reserved for
/// discovery.
const MAX_PENDING_POLLS: usize = 6;

/// A response with an endpoint list.
pub(crate) struct PollResponse {
    pub(crate) list: EndpointList,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<DiscoveryConnection>,
    /// Whether the poll was made on a connection of an earlier one.
    pub(crate) on_reused_connection: bool,
}

/// A poll in progress. It ends by itself at the latest when it is given up.
pub(crate) type PendingPoll = Pin<Box<dyn Future<Output = Result<PollResponse, PollError>>>>;

/// The polls that are kept open, the oldest first.
#[derive(Default)]
pub(crate) struct PendingPolls {
    polls: VecDeque<PendingPoll>,
}

impl PendingPolls {
    /// Keeps a poll open. Gives the oldest one up if there are too many.
    pub(crate) fn keep(&mut self, poll: PendingPoll) {
        if self.polls.len() >= MAX_PENDING_POLLS {
            self.polls.pop_front();
        }
        self.polls.push_back(poll);
    }

    /// Gives all polls up, since a list has been received or the index that they ask for is no longer known.
    pub(crate) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Waits for the first response of any poll. Polls that fail are dropped; without polls this never completes.
    pub(crate) async fn response(&mut self) -> PollResponse {
        future::poll_fn(|context| self.poll_response(context)).await
    }

    fn poll_response(&mut self, context: &mut Context<'_>) -> Poll<PollResponse> {
        let mut response = None;
        self.polls.retain_mut(|poll| {
            if response.is_some() {
                return true;
            }
            match poll.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(result) => {
                    response = result.ok();
                    false
                }
            }
        });
        response.map_or(Poll::Pending, Poll::Ready)
    }
}
