//! The polls in progress.
//!
//! A poll that is given up loses its turn at a service that all proxies poll, and one that waits for an unavailable
//! service is never answered: so polls stay open while further ones are made.
use std::collections::VecDeque;

use crate::discovery::schedule::MAX_OPEN_POLLS;

/// The polls in progress, the oldest first. `P` is a poll.
#[derive(Debug)]
pub struct OpenPolls<P> {
    polls: VecDeque<P>,
    /// Whether the newest of them has ended.
    newest_ended: bool,
}

impl<P> Default for OpenPolls<P> {
    fn default() -> Self {
        Self { polls: VecDeque::new(), newest_ended: true }
    }
}

impl<P> OpenPolls<P> {
    /// Adds a poll. If there are too many, the second-oldest is given up: a slow service gets the time to answer the
    /// oldest one.
    pub fn push(&mut self, poll: P) {
        if self.polls.len() >= MAX_OPEN_POLLS {
            self.polls.remove(1);
        }
        self.polls.push_back(poll);
        self.newest_ended = false;
    }

    /// Gives up the polls that are not to be kept.
    pub fn retain(&mut self, is_kept: impl FnMut(&P) -> bool) {
        self.polls.retain(is_kept);
    }

    /// Gives all polls up.
    pub fn clear(&mut self) {
        self.polls.clear();
        self.newest_ended = true;
    }

    /// Returns the newest poll if it has not ended yet.
    pub fn newest(&self) -> Option<&P> {
        self.polls.back().filter(|_| !self.newest_ended)
    }

    /// Returns the polls.
    pub fn iter(&self) -> impl Iterator<Item = &P> {
        self.polls.iter()
    }

    /// Returns the polls, to be polled.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut P> {
        self.polls.iter_mut()
    }

    /// Removes the poll at this position, which has ended. Returns it, and whether it was the newest one.
    pub fn remove_ended(&mut self, position: usize) -> Option<(P, bool)> {
        let is_newest = !self.newest_ended && position + 1 == self.polls.len();
        self.newest_ended |= is_newest;
        Some((self.polls.remove(position)?, is_newest))
    }
}
