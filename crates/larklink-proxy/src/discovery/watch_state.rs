//! What the polls so far say of the endpoint list and of discovery. Pure.
use std::time::{Duration, Instant};

use crate::discovery::poll::{PartTimeouts, PollError};
use crate::discovery::schedule::{MIN_POLL_INTERVAL, PollSchedule};
use crate::endpoint_list::EndpointList;

/// What a poll brought, as far as the state decides it.
pub(crate) enum PollOutcome {
    /// The connection reused from an earlier poll had been closed; this says nothing about discovery.
    ReusedConnectionClosed,
    /// A complete list older than the one that is known: the late response to an earlier poll, in which endpoints that
    /// are draining now are still ready.
    OutdatedList(EndpointList),
    /// Changes to a list that is not known: the complete list has to be polled.
    UnknownChanges(EndpointList),
    /// The list, or what changed in it.
    List(EndpointList),
    /// The poll failed.
    Failed(PollError),
}

/// Counts of failures in a row.
#[derive(Clone, Copy, Default)]
struct FailureCounts {
    /// All of them.
    failures: u32,
    /// Those that discovery rejected, or answered with something that cannot be used.
    rejections: u32,
    /// Those that connected and timed out.
    timeouts: u32,
}

/// The state of the polls of one discovery address.
pub(crate) struct WatchState {
    /// The index of the list that is known; none if the complete list is to be polled.
    index: Option<u64>,
    counts: FailureCounts,
    /// When the last poll began that brought an outdated list.
    outdated_polled_at: Option<Instant>,
    /// Whether polls have failed since the last response.
    unavailable: bool,
}

/// After which rule to back off.
pub(crate) enum BackoffRule {
    /// Discovery rejected this many polls in a row.
    Rejected(u32),
    /// This many polls in a row failed otherwise.
    Failed(u32),
}

impl WatchState {
    /// A state in which no list is known and so many polls in a row have failed.
    pub(crate) fn new(failures: u32) -> Self {
        Self {
            index: None,
            counts: FailureCounts { failures, ..FailureCounts::default() },
            outdated_polled_at: None,
            unavailable: false,
        }
    }

    /// The path of the next poll.
    pub(crate) fn request_path(&self, schedule: &PollSchedule) -> String {
        match self.index {
            None => "/api/targets".to_owned(),
            Some(index) => {
                let wait_ms = schedule.long_poll_wait_after(self.counts.failures).as_millis();
                format!("/api/targets?after={index}&wait_ms={wait_ms}")
            }
        }
    }

    /// How long the parts of the next poll may take.
    pub(crate) fn part_timeouts(&self, schedule: &PollSchedule) -> PartTimeouts {
        PartTimeouts {
            connect: schedule.response_timeout,
            response: schedule.response_timeout_after(self.counts.timeouts),
        }
    }

    /// How long the next poll may take in all. A first poll for the complete list may take as long as a long poll:
    /// discovery may be as busy as the proxy at their start.
    pub(crate) fn total_timeout(&self, schedule: &PollSchedule) -> Duration {
        schedule.total_timeout(self.counts.failures, self.counts.timeouts)
    }

    /// What a list means that a poll brought.
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

    /// Records that a reused connection was closed, found by a poll that began at `polled_at`. If that took long, the
    /// next poll must not wait long again.
    pub(crate) fn record_closed_connection(&mut self, polled_at: Instant) {
        self.counts.failures += u32::from(polled_at.elapsed() >= MIN_POLL_INTERVAL);
    }

    /// Records an outdated list from a poll that began at `polled_at`. Returns whether to rest before the next poll,
    /// since the last such list has only just arrived.
    pub(crate) fn record_outdated_list(&mut self, polled_at: Instant) -> bool {
        self.index = None;
        self.record_closed_connection(polled_at);
        let earlier = self.outdated_polled_at.replace(polled_at);
        earlier.is_some_and(|at| at.elapsed() < MIN_POLL_INTERVAL)
    }

    /// Records that discovery responded. Returns whether it was unavailable before.
    pub(crate) fn record_response(&mut self) -> bool {
        std::mem::take(&mut self.unavailable)
    }

    /// Records changes to a list that is not known.
    pub(crate) fn record_unknown_changes(&mut self) -> BackoffRule {
        self.index = None;
        self.counts.failures += 1;
        self.counts.rejections += 1;
        BackoffRule::Rejected(self.counts.rejections)
    }

    /// Records a list. Returns whether its index is new.
    pub(crate) fn record_list(&mut self, list: &EndpointList) -> bool {
        self.counts = FailureCounts::default();
        self.index.replace(list.index) != Some(list.index)
    }

    /// Records a failed poll, and whether it had connected.
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
