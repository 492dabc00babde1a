//! The endpoint list as discovery has it: changes show after a lag, and not at all while it is frozen.

use crate::event_queue::EventQueue;
use crate::time::{TickDuration, Timestamp};

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes sessions.
    Up,
    /// It takes no new sessions.
    Draining,
    /// It is gone.
    Removed,
}

impl EndpointStatus {
    /// The name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// The entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListEntry {
    /// The server's number.
    pub server: usize,
    /// Its status.
    pub status: EndpointStatus,
    /// When it last started; 0 means long ago.
    pub started: Timestamp,
}

/// An entry, and the version of the list that brought it.
#[derive(Clone, Copy)]
struct VersionedEntry {
    version: u64,
    entry: EndpointListEntry,
}

/// The endpoint list.
#[derive(Default)]
pub struct EndpointList {
    lag: TickDuration,
    pending: EventQueue<EndpointListEntry>,
    /// The latest entry of each server.
    entries: Vec<VersionedEntry>,
    version: u64,
    frozen_until: Timestamp,
    unreachable_until: Timestamp,
}

impl EndpointList {
    /// A list in which all servers are up, and started long ago.
    pub fn new(servers: usize, lag: TickDuration) -> Self {
        let entry = |server| VersionedEntry {
            version: 1,
            entry: EndpointListEntry { server, status: EndpointStatus::Up, started: 0 },
        };
        Self { lag, entries: (0..servers).map(entry).collect(), version: 1, ..Self::default() }
    }

    /// Removes a server that is not there from the start.
    pub fn leave_out(&mut self, server: usize) {
        self.entries[server].entry.status = EndpointStatus::Removed;
    }

    /// An entry has changed; it shows after the lag.
    pub fn change(&mut self, now: Timestamp, entry: EndpointListEntry) {
        self.pending.push(now + self.lag, entry);
    }

    /// No change shows until then.
    pub fn freeze_until(&mut self, until: Timestamp) {
        self.frozen_until = until;
    }

    /// Requests are not answered until then.
    pub fn make_unreachable(&mut self, until: Timestamp) {
        self.unreachable_until = until;
    }

    /// Whether requests are answered.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        now >= self.unreachable_until
    }

    /// When the next change shows.
    pub fn next_event_at(&self) -> Timestamp {
        self.pending.next_at().max(self.frozen_until)
    }

    /// Shows what is due by now; whether there was anything.
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

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entries that are newer than a version; without one the complete list, in which removed servers are not.
    pub fn entries_after(&self, version: Option<u64>) -> Vec<EndpointListEntry> {
        let is_wanted = |versioned: &&VersionedEntry| match version {
            Some(known) => versioned.version > known,
            None => versioned.entry.status != EndpointStatus::Removed,
        };
        self.entries.iter().filter(is_wanted).map(|versioned| versioned.entry).collect()
    }
}
