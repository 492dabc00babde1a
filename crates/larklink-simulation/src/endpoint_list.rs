//! The endpoint list that discovery publishes. Updates become visible after a lag, and not at all while the list is
//! frozen.

use crate::event_queue::EventQueue;
use crate::time::{TickDuration, Timestamp};

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The server accepts sessions.
    Up,
    /// The server accepts no new sessions.
    Draining,
    /// The server is no longer in the list.
    Removed,
}

impl EndpointStatus {
    /// Returns the status as the endpoint list protocol spells it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// The entry of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListEntry {
    /// The index of the server.
    pub server: usize,
    /// The status of the server.
    pub status: EndpointStatus,
    /// When the server last started; 0 means before the run.
    pub started_at: Timestamp,
}

/// An entry with the list version in which it last changed.
#[derive(Clone, Copy)]
struct VersionedEntry {
    version: u64,
    entry: EndpointListEntry,
}

/// A versioned endpoint list with pending updates.
#[derive(Default)]
pub struct EndpointList {
    lag: TickDuration,
    pending: EventQueue<EndpointListEntry>,
    /// The current entry of each server, by server index.
    entries: Vec<VersionedEntry>,
    version: u64,
    frozen_until: Timestamp,
    unreachable_until: Timestamp,
}

impl EndpointList {
    /// Creates a list in which all servers are up and started before the run.
    pub fn new(servers: usize, lag: TickDuration) -> Self {
        let entry = |server| VersionedEntry {
            version: 1,
            entry: EndpointListEntry { server, status: EndpointStatus::Up, started_at: 0 },
        };
        Self { lag, entries: (0..servers).map(entry).collect(), version: 1, ..Self::default() }
    }

    /// Marks a server as removed without a new version, for servers that are not listed at the start of a run.
    pub fn mark_unlisted(&mut self, server: usize) {
        self.entries[server].entry.status = EndpointStatus::Removed;
    }

    /// Schedules an update of one entry, which becomes visible after the lag.
    pub fn schedule_update(&mut self, now: Timestamp, entry: EndpointListEntry) {
        self.pending.push(now + self.lag, entry);
    }

    /// Holds back all updates until the given time.
    pub fn freeze_until(&mut self, until: Timestamp) {
        self.frozen_until = until;
    }

    /// Leaves requests for the list unanswered until the given time.
    pub fn set_unreachable_until(&mut self, until: Timestamp) {
        self.unreachable_until = until;
    }

    /// Returns whether requests for the list are answered.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        now >= self.unreachable_until
    }

    /// Returns when the next update becomes visible.
    pub fn next_event_at(&self) -> Timestamp {
        self.pending.next_due_at().max(self.frozen_until)
    }

    /// Applies the updates that are due. Returns whether there were any.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        let version_before = self.version;
        while now >= self.frozen_until
            && let Some((_, entry)) = self.pending.pop_due(now)
        {
            self.version += 1;
            self.entries[entry.server] = VersionedEntry { version: self.version, entry };
        }
        self.version != version_before
    }

    /// Returns the current version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries that changed after `version`. Without a version, returns the complete list, which omits
    /// removed servers.
    pub fn entries_after(&self, version: Option<u64>) -> Vec<EndpointListEntry> {
        let is_included = |versioned: &&VersionedEntry| match version {
            Some(known) => versioned.version > known,
            None => versioned.entry.status != EndpointStatus::Removed,
        };
        self.entries.iter().filter(is_included).map(|versioned| versioned.entry).collect()
    }
}
