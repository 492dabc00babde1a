//! Detects that a process rejects all sessions. Performs no I/O.
use std::time::{Duration, Instant};

use crate::log::EndReason;

/// Two limits: a process counts as rejecting all sessions once it has rejected every session for this long without an
/// attempt, and until then, rejections further apart than this belong to different streaks.
const MIN_STREAK_DURATION: Duration = Duration::from_secs(4);
/// Fewer rejections may be a coincidence.
const MIN_STREAK_SESSIONS: usize = 10;

/// The rejections since the last attempt at any endpoint.
#[derive(Debug, Default)]
pub(super) struct RejectionStreak {
    /// The number of rejected sessions.
    pub(super) sessions: usize,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// Whether the process counts as rejecting all sessions. From then on only an attempt ends the streak.
    pub(super) rejects_all: bool,
}

impl RejectionStreak {
    /// Records a session that was rejected without an attempt. Returns whether the process counts as rejecting all
    /// sessions from this rejection on.
    pub(super) fn record(&mut self, now: Instant) -> bool {
        if !self.continues(now) {
            *self = Self::default();
        }
        let first_at = *self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.sessions += 1;
        let is_long = now.saturating_duration_since(first_at) >= MIN_STREAK_DURATION;
        let starts_rejecting_all = is_long && self.sessions >= MIN_STREAK_SESSIONS && !self.rejects_all;
        self.rejects_all |= starts_rejecting_all;
        starts_rejecting_all
    }

    /// Returns how long ago the streak began, in milliseconds.
    pub(super) fn duration_ms(&self, now: Instant) -> u64 {
        let duration =
            self.first_at.map_or(Duration::ZERO, |first_at| now.saturating_duration_since(first_at));
        duration.as_millis() as u64
    }

    /// Whether a rejection at `now` belongs to this streak.
    fn continues(&self, now: Instant) -> bool {
        self.rejects_all || self.last_at.is_some_and(|last_at| last_at + MIN_STREAK_DURATION >= now)
    }
}

/// Returns why all sessions are rejected, given the reason of the last rejection and the numbers of listed and avoided
/// endpoints.
pub(super) fn rejection_cause(reason: EndReason, listed: usize, avoided: usize) -> &'static str {
    match reason {
        EndReason::NoDescriptors => "no descriptors are left",
        EndReason::Shutdown => "the proxy is shutting down",
        _ if listed == 0 => "the endpoint list is empty",
        _ if avoided >= listed => "every endpoint is draining, unresponsive or failing",
        _ => "the available endpoints are full or warming up, or attempts are limited",
    }
}
