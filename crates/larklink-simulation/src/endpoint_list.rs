//! The list of servers as discovery has it: changes show after a lag, and not at all while it stands still.
use larklink_balancer::{TickDuration, Timestamp};

use crate::duration::EventQueue;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Up,
    Draining,
    Removed,
}

impl EndpointStatus {
    pub fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// A server's line: where it stands and when it last started; 0: long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListEntry {
    pub server: usize,
    pub status: EndpointStatus,
    pub started: Timestamp,
}

#[derive(Default)]
pub struct EndpointList {
    lag: TickDuration,
    pending: EventQueue<EndpointListEntry>,
    /// Each server's latest line, and the version that brought it.
    lines: Vec<(u64, EndpointListEntry)>,
    version: u64,
    still_until: TickDuration,
    lost_until: TickDuration,
}

impl EndpointList {
    /// All servers are up and warm.
    pub fn new(servers: usize, lag: TickDuration) -> Self {
        let lines = (0..servers)
            .map(|server| (1, EndpointListEntry { server, status: EndpointStatus::Up, started: 0 }));
        Self { lag, lines: lines.collect(), version: 1, ..Self::default() }
    }

    /// A server that is not there from the start.
    pub fn leave_out(&mut self, server: usize) {
        self.lines[server].1.status = EndpointStatus::Removed;
    }

    /// Something is so from now on; it shows after the lag.
    pub fn change(&mut self, now: Timestamp, line: EndpointListEntry) {
        self.pending.push(now + self.lag, line);
    }

    pub fn freeze_until(&mut self, until: Timestamp) {
        self.still_until = until;
    }

    /// Out of reach until then: calls are not answered.
    pub fn make_unreachable(&mut self, until: Timestamp) {
        self.lost_until = until;
    }

    pub fn is_reachable(&self, now: Timestamp) -> bool {
        now >= self.lost_until
    }

    pub fn next_event_at(&self) -> Timestamp {
        self.pending.next_at().max(self.still_until)
    }

    /// Takes in what shows by now; whether there was anything.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        let before = self.version;
        while now >= self.still_until
            && let Some((_, line)) = self.pending.pop_due(now)
        {
            self.version += 1;
            self.lines[line.server] = (self.version, line);
        }
        self.version != before
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The lines that are newer than that version; removed servers are no part of the whole list.
    pub fn entries_after(&self, version: Option<u64>) -> Vec<EndpointListEntry> {
        let newer = |&&(v, line): &&(u64, EndpointListEntry)| match version {
            Some(known) => v > known,
            None => line.status != EndpointStatus::Removed,
        };
        self.lines.iter().filter(newer).map(|&(_, line)| line).collect()
    }
}
