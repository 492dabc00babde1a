//! When a process counts as rejecting all sessions. Pure.
use std::time::{Duration, Instant};

use crate::log::EndReason;

/// A process rejects all sessions if it has rejected every one for this long with no attempt in between. Rejections
/// further apart than that belong to different streaks.
const MIN_STREAK: Duration = Duration::from_secs(4);
/// Rejections of fewer sessions may be chance.
const MIN_STREAK_SESSIONS: usize = 10;

/// The rejections since the last attempt at any endpoint.
#[derive(Debug, Default)]
pub(super) struct RejectionStreak {
    /// How many sessions were rejected.
    pub(super) sessions: usize,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// Whether it is known to be a rejection of all sessions. Pauses do not end it then.
    pub(super) rejects_all: bool,
}

impl RejectionStreak {
    /// Records a session that was rejected without an attempt. Returns whether the process has come to reject all
    /// sessions with it.
    pub(super) fn record(&mut self, now: Instant) -> bool {
        if !self.goes_on(now) {
            *self = Self::default();
        }
        let first_at = *self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.sessions += 1;
        let is_long = now.saturating_duration_since(first_at) >= MIN_STREAK;
        let begins = is_long && self.sessions >= MIN_STREAK_SESSIONS && !self.rejects_all;
        self.rejects_all |= begins;
        begins
    }

    /// How long ago it began, in milliseconds.
    pub(super) fn duration_ms(&self, now: Instant) -> u64 {
        let duration =
            self.first_at.map_or(Duration::ZERO, |first_at| now.saturating_duration_since(first_at));
        duration.as_millis() as u64
    }

    fn goes_on(&self, now: Instant) -> bool {
        self.rejects_all || self.last_at.is_some_and(|last_at| last_at + MIN_STREAK >= now)
    }
}

/// Why all sessions are rejected, from the reason of the last rejection and how many endpoints are listed and avoided.
pub(super) fn rejection_cause(reason: EndReason, listed: usize, avoided: usize) -> &'static str {
    match reason {
        EndReason::NoDescriptors => "no descriptors are left",
        EndReason::Shutdown => "the proxy is shutting down",
        _ if listed == 0 => "the endpoint list is empty",
        _ if avoided >= listed => "every endpoint is draining, unresponsive or failing",
        _ => "the available endpoints are full or warming up, or attempts are limited",
    }
}
