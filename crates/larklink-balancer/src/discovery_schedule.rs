//! The schedule of polls of the endpoint list.

use rand_chacha::ChaCha8Rng;

use crate::event::ListScope;
use crate::random::random_duration;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The longest backoff after a failure is the discovery deadline divided by this divisor.
const MAX_BACKOFF_DIVISOR: u64 = 8;
/// The shortest backoff after a failure is the longest one divided by this divisor.
const MIN_BACKOFF_DIVISOR: u64 = 4;
/// An unanswered poll is repeated after the discovery deadline divided by this divisor.
const UNANSWERED_POLL_DIVISOR: u64 = 2;

/// Schedules the polls of the endpoint list. A list that is pushed is never polled.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    polled: bool,
    /// The time after a failed poll from which the proxy is held to have been notified of changes that it did
    /// not receive.
    deadline: TickDuration,
    next_poll_at: Timestamp,
}

impl DiscoverySchedule {
    /// Creates a schedule. If the list is polled, the first poll is due at `now`.
    pub(crate) fn new(settings: &Settings, now: Timestamp) -> Self {
        Self {
            polled: settings.polled_discovery,
            deadline: settings.discovery_deadline,
            next_poll_at: if settings.polled_discovery { now } else { Timestamp::MAX },
        }
    }

    /// Records that a list was received. Unless it is cached, the subscription is open, and there is no
    /// further poll until it fails.
    pub(crate) fn record_list(&mut self, scope: ListScope) {
        if scope != ListScope::Cached {
            self.next_poll_at = Timestamp::MAX;
        }
    }

    /// Records that a poll failed or the subscription broke. The next poll is due after a backoff, which is
    /// random so that proxies do not reconnect at the same time, and ends well before the deadline.
    pub(crate) fn record_failure(&mut self, now: Timestamp, rng: &mut ChaCha8Rng) {
        if self.polled {
            let max_backoff = self.deadline / MAX_BACKOFF_DIVISOR;
            self.next_poll_at = now + random_duration(max_backoff / MIN_BACKOFF_DIVISOR..=max_backoff, rng);
        }
    }

    /// Returns whether a poll is due. If so, schedules the next one in case it is not answered.
    pub(crate) fn take_due_poll(&mut self, now: Timestamp) -> bool {
        let due = self.next_poll_at <= now;
        if due {
            self.next_poll_at = now + self.deadline / UNANSWERED_POLL_DIVISOR;
        }
        due
    }

    /// Returns the time of the next poll, or `Timestamp::MAX` if none is scheduled.
    pub(crate) fn next_poll_at(&self) -> Timestamp {
        self.next_poll_at
    }
}
