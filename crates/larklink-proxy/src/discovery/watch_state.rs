//! The state derived from previous polls: the known version of the list and the consecutive failures. Performs no I/O.
use std::time::{Duration, Instant};

use crate::discovery::poll::{PhaseTimeouts, PollError};
use crate::discovery::schedule::{MIN_POLL_INTERVAL, PollSchedule};
use crate::endpoint_list::EndpointList;

/// The outcome of a poll.
pub(crate) enum PollOutcome {
    /// The reused connection had been closed by the server, which does not mean that discovery is unavailable.
    ReusedConnectionClosed,
    /// A complete list that is older than the known one. It is the late response to an earlier poll, and applying it
    /// would make endpoints ready again that are draining now.
    OutdatedList(EndpointList),
    /// Changes relative to an unknown list. The complete list has to be polled.
    UnknownChanges(EndpointList),
    /// A complete list, or changes to the known one.
    List(EndpointList),
    /// The poll failed.
    Failed(PollError),
}

/// Counts of consecutive failures.
#[derive(Clone, Copy, Default)]
struct FailureCounts {
    /// All failures.
    failures: u32,
    /// Polls that were rejected or got an invalid response.
    rejections: u32,
    /// Polls that connected and timed out.
    timeouts: u32,
}

/// The state of the polls of one discovery address.
pub(crate) struct WatchState {
    /// The index of the known list; none if the complete list has to be polled.
    index: Option<u64>,
    counts: FailureCounts,
    /// The start of the last poll that returned an outdated list.
    outdated_polled_at: Option<Instant>,
    /// Whether polls have failed since the last response.
    unavailable: bool,
}

/// How the last poll failed, which determines the backoff.
pub(crate) enum BackoffRule {
    /// The poll was rejected or got an invalid response. Contains the number of such polls since the last list.
    Rejected(u32),
    /// The poll failed otherwise. Contains the number of all failed polls since the last list.
    Failed(u32),
}

impl WatchState {
    /// Creates a state without a known list, as if `failures` consecutive polls had failed.
    pub(crate) fn new(failures: u32) -> Self {
        Self {
            index: None,
            counts: FailureCounts { failures, ..FailureCounts::default() },
            outdated_polled_at: None,
            unavailable: false,
        }
    }

    /// Returns the request path of the next poll.
    pub(crate) fn request_path(&self, schedule: &PollSchedule) -> String {
        match self.index {
            None => "/api/targets".to_owned(),
            Some(index) => {
                let wait_ms = schedule.long_poll_wait_after(self.counts.failures).as_millis();
                format!("/api/targets?after={index}&wait_ms={wait_ms}")
            }
        }
    }

    /// Returns the phase timeouts of the next poll.
    pub(crate) fn phase_timeouts(&self, schedule: &PollSchedule) -> PhaseTimeouts {
        PhaseTimeouts {
            connect: schedule.response_timeout,
            response: schedule.response_timeout_after(self.counts.timeouts),
        }
    }

    /// Returns the timeout of the whole next poll. The first poll may take as long as a long poll, although it requests
    /// the complete list: discovery may be as busy as the proxy while both are starting.
    pub(crate) fn total_timeout(&self, schedule: &PollSchedule) -> Duration {
        schedule.total_timeout(self.counts.failures, self.counts.timeouts)
    }

    /// Classifies the list that a poll returned.
    pub(crate) fn classify(&self, list: EndpointList, on_reused_connection: bool) -> PollOutcome {
        let outdated = self.index.is_some_and(|known| list.index < known);
        if list.snapshot && outdated && on_reused_connection {
            PollOutcome::OutdatedList(list)
        } else if list.snapshot || self.index.is_some() && !outdated {
            PollOutcome::List(list)
        } else {
            PollOutcome::UnknownChanges(list)
        }
    }

    /// Records that a poll started at `polled_at` found its reused connection closed. If that took long, it counts as a
    /// failure, so that the next poll uses the short wait.
    pub(crate) fn record_closed_connection(&mut self, polled_at: Instant) {
        self.counts.failures += u32::from(polled_at.elapsed() >= MIN_POLL_INTERVAL);
    }

    /// Records an outdated list from a poll started at `polled_at`. Returns whether to wait before the next poll, which
    /// is the case if the previous poll with an outdated list was started less than [`MIN_POLL_INTERVAL`] ago.
    pub(crate) fn record_outdated_list(&mut self, polled_at: Instant) -> bool {
        self.index = None;
        self.record_closed_connection(polled_at);
        let earlier = self.outdated_polled_at.replace(polled_at);
        earlier.is_some_and(|at| at.elapsed() < MIN_POLL_INTERVAL)
    }

    /// Records a response of discovery. Returns whether discovery was unavailable before.
    pub(crate) fn record_response(&mut self) -> bool {
        std::mem::take(&mut self.unavailable)
    }

    /// Records changes relative to an unknown list.
    pub(crate) fn record_unknown_changes(&mut self) -> BackoffRule {
        self.index = None;
        self.counts.failures += 1;
        self.counts.rejections += 1;
        BackoffRule::Rejected(self.counts.rejections)
    }

    /// Records a list. Returns whether its index differs from the known one.
    pub(crate) fn record_list(&mut self, list: &EndpointList) -> bool {
        self.counts = FailureCounts::default();
        self.index.replace(list.index) != Some(list.index)
    }

    /// Records a failed poll; `connected` tells whether a connection had been established.
    pub(crate) fn record_failure(&mut self, error: &PollError, connected: bool) -> BackoffRule {
        self.counts.failures += 1;
        self.counts.timeouts += u32::from(connected && error.is_timeout());
        if !error.is_rejection() {
            return BackoffRule::Failed(self.counts.failures);
        }
        self.counts.rejections += 1;
        BackoffRule::Rejected(self.counts.rejections)
    }

    /// Records that discovery is unavailable. Returns whether it was available before.
    pub(crate) fn record_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }
}
