//! When the endpoint list is polled again.

use rand_chacha::ChaCha8Rng;

use crate::event::ListScope;
use crate::random::random_duration;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The longest backoff after a failure is the discovery deadline divided by this.
const MAX_BACKOFF_DIVISOR: u64 = 8;
/// The shortest backoff after a failure is the longest one divided by this.
const MIN_BACKOFF_DIVISOR: u64 = 4;
/// A poll without an answer is repeated after the discovery deadline divided by this.
const UNANSWERED_POLL_DIVISOR: u64 = 2;

/// When the endpoint list has to be polled next; never, where it is pushed.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    polled: bool,
    /// How long after a failed poll the proxy counts as notified of changes that it did not receive.
    deadline: TickDuration,
    next_poll_at: Timestamp,
}

impl DiscoverySchedule {
    /// Starts with a poll at `now`, where the list is polled.
    pub(crate) fn new(settings: &Settings, now: Timestamp) -> Self {
        Self {
            polled: settings.polled_discovery,
            deadline: settings.discovery_deadline,
            next_poll_at: if settings.polled_discovery { now } else { Timestamp::MAX },
        }
    }

    /// An answer shows that the subscription is open: the next poll waits for its failure. A cached list shows
    /// nothing.
    pub(crate) fn record_list(&mut self, scope: ListScope) {
        if scope != ListScope::Cached {
            self.next_poll_at = Timestamp::MAX;
        }
    }

    /// A poll failed or the subscription broke: polls again after a random backoff, so that proxies do not
    /// reconnect together, and well before the deadline.
    pub(crate) fn record_failure(&mut self, now: Timestamp, rng: &mut ChaCha8Rng) {
        if self.polled {
            let longest = self.deadline / MAX_BACKOFF_DIVISOR;
            self.next_poll_at = now + random_duration(longest / MIN_BACKOFF_DIVISOR..=longest, rng);
        }
    }

    /// Whether a poll is due; if so, the next one is scheduled for the case that no answer comes.
    pub(crate) fn take_due_poll(&mut self, now: Timestamp) -> bool {
        let due = self.next_poll_at <= now;
        if due {
            self.next_poll_at = now + self.deadline / UNANSWERED_POLL_DIVISOR;
        }
        due
    }

    /// The time of the next poll; `Timestamp::MAX` if none is scheduled.
    pub(crate) fn next_poll_at(&self) -> Timestamp {
        self.next_poll_at
    }
}
