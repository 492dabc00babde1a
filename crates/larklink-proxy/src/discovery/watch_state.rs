//! The state of the polls of one discovery address: the known version of the list, the failures, and when the next poll
//! is due. Time is an argument. Performs no I/O.
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;

use crate::discovery::schedule::PollSchedule;

/// What a poll asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// The complete list.
    CompleteList,
    /// Changes to a version of the list, which discovery may wait for.
    Changes {
        /// The version. Every list is newer than version 0.
        after: u64,
        /// How long discovery may wait for a change.
        wait: Duration,
    },
}

impl PollRequest {
    /// Returns the path of the HTTP request.
    pub fn path(&self) -> String {
        match self {
            Self::CompleteList => "/api/targets".to_owned(),
            Self::Changes { after, wait } => {
                format!("/api/targets?after={after}&wait_ms={}", wait.as_millis())
            }
        }
    }

    /// Returns how long discovery may hold its response.
    pub fn wait(&self) -> Duration {
        match self {
            Self::CompleteList => Duration::ZERO,
            Self::Changes { wait, .. } => *wait,
        }
    }
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The service is overloaded.
    Overloaded,
    /// The response is invalid, or the service does not accept the request.
    InvalidResponse,
    /// There was no complete response.
    NoResponse,
}

/// A list that discovery sent, without its entries.
#[derive(Clone, Copy, Debug)]
pub struct ListHeader {
    /// The version of the list.
    pub index: u64,
    /// Whether the list is complete; otherwise it has changes only.
    pub complete: bool,
    /// Whether it has no entries.
    pub empty: bool,
}

/// What to do with a list that discovery sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// A complete list, or changes that can be applied to the list that the process has.
    Apply,
    /// A list to be applied whose version is below the newest one that the process has had: another address may be behind,
    /// or discovery counts anew.
    ApplyOlder,
    /// A complete list that is older than the known one: the late response to an earlier poll. Applying it would make
    /// endpoints ready again that are draining now.
    Outdated,
    /// Changes to a list that the process does not have.
    UnknownChanges,
}

/// The version of the list at this address.
#[derive(Clone, Copy, Debug)]
enum KnownVersion {
    /// Nothing has been received from this address.
    Unknown,
    /// The complete list has to be polled.
    CompleteListRequired,
    Index(u64),
}

/// The state of the polls of one discovery address.
#[derive(Debug)]
pub struct WatchState {
    schedule: PollSchedule,
    /// Whether the process has a list to which changes can be applied.
    has_list: bool,
    version: KnownVersion,
    /// The highest version that the process has had, from any address.
    newest_index: u64,
    /// Whether polls have failed since the last list.
    failing: bool,
    /// Consecutive polls that were not answered in time.
    unanswered: u32,
    next_poll_at: Instant,
    /// Whether the last poll can be given more time for a response that has begun.
    extendable: bool,
    /// When the complete list is to be polled beside the watch; none if the process has it.
    complete_list_at: Option<Instant>,
    /// The start of the last poll that returned an outdated list.
    outdated_polled_at: Option<Instant>,
    /// Whether discovery is known to be unavailable.
    unavailable: bool,
}

impl WatchState {
    /// Creates a state for an address that has not been polled yet. `has_list`: whether the process has a list from
    /// another address or from before its start, and `newest_index` is its highest version so far.
    pub fn new(schedule: PollSchedule, has_list: bool, newest_index: u64, now: Instant) -> Self {
        Self {
            schedule,
            has_list,
            version: KnownVersion::Unknown,
            newest_index,
            failing: false,
            unanswered: 0,
            next_poll_at: now,
            extendable: false,
            complete_list_at: None,
            outdated_polled_at: None,
            unavailable: false,
        }
    }

    /// Returns when the next poll is due, whether or not an earlier one is still open.
    pub fn next_poll_at(&self) -> Instant {
        self.next_poll_at
    }

    /// Returns when the complete list is to be polled beside the watch.
    pub fn complete_list_at(&self) -> Option<Instant> {
        self.complete_list_at
    }

    /// Whether the process has a list to which changes can be applied.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the highest version of a list that the process has had.
    pub fn newest_index(&self) -> u64 {
        self.newest_index
    }

    /// Starts the poll that is due, and schedules the next one in case it is not answered.
    pub fn start_poll(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> PollRequest {
        let request = self.next_request();
        let is_long_poll = matches!(self.version, KnownVersion::Index(_)) && !self.failing;
        let interval = if is_long_poll {
            self.schedule.long_poll_interval()
        } else {
            self.schedule.with_jitter(self.schedule.unanswered_interval(self.unanswered), rng)
        };
        self.next_poll_at = now + interval;
        self.extendable = !is_long_poll && !self.schedule.response_extension().is_zero();
        request
    }

    fn next_request(&self) -> PollRequest {
        let probe_wait = self.schedule.probe_wait;
        match self.version {
            // A first list and the watch after it would take two turns of a shared service.
            KnownVersion::Unknown if self.schedule.is_shared_service() => {
                PollRequest::Changes { after: 0, wait: probe_wait }
            }
            KnownVersion::Unknown | KnownVersion::CompleteListRequired => PollRequest::CompleteList,
            KnownVersion::Index(after) => {
                let wait = if self.failing { probe_wait } else { self.schedule.long_poll_wait };
                PollRequest::Changes { after, wait }
            }
        }
    }

    /// Starts the poll of the complete list beside the watch, and schedules it again in case it fails.
    pub fn start_complete_list_poll(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> PollRequest {
        self.complete_list_at = Some(now + self.schedule.complete_list_delay(rng));
        PollRequest::CompleteList
    }

    /// Gives the last poll, whose response has begun, more time before the next one. Returns whether that is possible.
    pub fn extend_for_response(&mut self, now: Instant) -> bool {
        let extends = std::mem::take(&mut self.extendable);
        if extends {
            self.next_poll_at = now + self.schedule.response_extension();
        }
        extends
    }

    /// Records that the last poll has not been answered before the next one is due.
    pub fn record_unanswered(&mut self) {
        self.failing = true;
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records a failed poll. The next one is due after a pause, but no later than without this failure.
    pub fn record_failure(&mut self, failure: PollFailure, now: Instant, rng: &mut ChaCha8Rng) {
        self.failing = true;
        if failure == PollFailure::InvalidResponse && matches!(self.version, KnownVersion::Unknown) {
            // The service may not know of version 0.
            self.version = KnownVersion::CompleteListRequired;
        }
        let pause = self.schedule.with_jitter(self.schedule.failure_interval, rng);
        self.next_poll_at = self.next_poll_at.min(now + pause);
    }

    /// Records that a poll found its reused connection closed, which does not mean that discovery is unavailable. If that
    /// took long, it counts as a failure, so that the next poll uses the short wait.
    pub fn record_closed_connection(&mut self, started_at: Instant, now: Instant) {
        self.failing |= now - started_at >= self.schedule.min_poll_interval;
        self.next_poll_at = now;
    }

    /// Records a list that answers a poll started at `started_at`, and decides what to do with it.
    pub fn record_list(
        &mut self,
        list: ListHeader,
        on_reused_connection: bool,
        started_at: Instant,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> ListUse {
        let verdict = self.classify(list, on_reused_connection);
        match verdict {
            ListUse::Apply | ListUse::ApplyOlder => self.record_applied_list(list, started_at, now, rng),
            ListUse::Outdated => self.record_outdated_list(started_at, now),
            ListUse::UnknownChanges => self.record_unknown_changes(now, rng),
        }
        verdict
    }

    fn record_unknown_changes(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        match std::mem::replace(&mut self.version, KnownVersion::CompleteListRequired) {
            // Changes to version 0, for a process that has no list: that is no failure.
            KnownVersion::Unknown => self.next_poll_at = now,
            _ => self.record_failure(PollFailure::InvalidResponse, now, rng),
        }
    }

    fn classify(&self, list: ListHeader, on_reused_connection: bool) -> ListUse {
        let outdated = matches!(self.version, KnownVersion::Index(known) if list.index < known);
        let changes_apply = match self.version {
            KnownVersion::Unknown => self.has_list && self.schedule.is_shared_service(),
            KnownVersion::CompleteListRequired => false,
            KnownVersion::Index(_) => !outdated,
        };
        if list.complete && outdated && on_reused_connection {
            ListUse::Outdated
        } else if !list.complete && !changes_apply {
            ListUse::UnknownChanges
        } else if list.index < self.newest_index {
            ListUse::ApplyOlder
        } else {
            ListUse::Apply
        }
    }

    fn record_applied_list(
        &mut self,
        list: ListHeader,
        started_at: Instant,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) {
        if list.complete {
            self.has_list = true;
            self.complete_list_at = None;
        } else if matches!(self.version, KnownVersion::Unknown) {
            // Entries that have not changed since version 0 may be missing.
            let delay = if list.empty { Duration::ZERO } else { self.schedule.complete_list_delay(rng) };
            self.complete_list_at = Some(now + delay);
        }
        self.newest_index = self.newest_index.max(list.index);
        let is_new = !matches!(self.version, KnownVersion::Index(known) if known == list.index);
        self.version = KnownVersion::Index(list.index);
        self.failing = false;
        self.unanswered = 0;
        // A service that answers long polls at once must not be polled in a tight loop.
        let earliest = if is_new { now } else { started_at + self.schedule.min_poll_interval };
        self.next_poll_at = now.max(earliest);
    }

    /// The known version is forgotten, so the complete list is polled next.
    fn record_outdated_list(&mut self, started_at: Instant, now: Instant) {
        self.version = KnownVersion::CompleteListRequired;
        self.record_closed_connection(started_at, now);
        let earlier = self.outdated_polled_at.replace(started_at);
        if earlier.is_some_and(|at| now - at < self.schedule.min_poll_interval) {
            self.next_poll_at = now + self.schedule.min_poll_interval;
        }
    }

    /// Decides what to do with the complete list that was polled beside the watch. The watch goes on from its own version.
    /// A list that is older than that is dropped, and polled again later.
    pub fn record_complete_list(&mut self, list: ListHeader) -> ListUse {
        let outdated = matches!(self.version, KnownVersion::Index(known) if list.index < known);
        if outdated || !list.complete {
            return ListUse::Outdated;
        }
        self.complete_list_at = None;
        if list.index < self.newest_index { ListUse::ApplyOlder } else { ListUse::Apply }
    }

    /// Records a response of discovery. Returns whether discovery was unavailable before.
    pub(crate) fn record_available(&mut self) -> bool {
        std::mem::take(&mut self.unavailable)
    }

    /// Records that discovery is unavailable. Returns whether it was available before.
    pub(crate) fn record_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }
}
