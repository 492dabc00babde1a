//! The book of answers: clients, servers, front and list write down what they saw, in the order of time. The
//! proxy that is judged has no hand in it.
use larklink_balancer::{TickDuration, Timestamp};
use serde::Serialize;

/// A client's first line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ask {
    pub client: usize,
    pub id: u64,
    pub key: u64,
    pub group: u64,
    pub listener: usize,
    pub patience: TickDuration,
    pub again: bool,
    pub retry: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answer {
    Accepted,
    /// With a retry-after in milliseconds, or 0.
    Refused(u64),
    TornDown,
}

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// After `MOVE`.
    Moved,
    Closed,
    Broken,
    /// The client left by itself.
    Left,
}

/// How a dial ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DialEnd {
    /// The server turned it away: it never ran.
    TurnedAway,
    Failed,
    Accepted,
    /// The server broke it.
    Cut,
    /// The server sent an accepted session away.
    SentAway,
    /// The other side ended it.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Way {
    ToServer,
    ToClient,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum What {
    /// The first line is out, to that proxy; nobody was there if it could not be sent.
    Opened {
        ask: Ask,
        proxy: usize,
    },
    NobodyThere {
        id: u64,
        proxy: usize,
    },
    Answered {
        id: u64,
        answer: Answer,
    },
    /// Something after the final answer that ends a session, or a second one.
    More {
        id: u64,
    },
    /// What is no answer at all.
    Garbled {
        id: u64,
    },
    Ended {
        id: u64,
        how: End,
    },
    /// The client waited no longer.
    GaveUp {
        id: u64,
    },
    LineLate {
        id: u64,
        took: TickDuration,
    },
    Held {
        id: u64,
        way: Way,
        took: TickDuration,
    },
    Changed {
        id: u64,
    },
    /// Nothing has come for so long on a connection that stands.
    SilentFor {
        id: u64,
        span: TickDuration,
    },
    Dial {
        id: u64,
        server: usize,
        conn: u64,
        told: u64,
    },
    DialEnded {
        id: u64,
        server: usize,
        conn: u64,
        how: DialEnd,
    },
    Ran {
        id: u64,
        server: usize,
    },
    /// A set-up was done for a dial that had been given up.
    RanLate {
        id: u64,
        server: usize,
    },
    /// A cold server was sent more than its multiple, by so much.
    Over {
        server: usize,
        ratio: f64,
    },
    ServerDied {
        server: usize,
    },
    ServerBack {
        server: usize,
    },
    /// Silent until then.
    ServerSilent {
        server: usize,
        until: Timestamp,
    },
    /// It went with so many sessions still standing there.
    LeftBehind {
        server: usize,
        sessions: usize,
    },
    /// That word has been written to that proxy.
    Told {
        proxy: usize,
        server: usize,
        ready: bool,
    },
    ProxyUp {
        proxy: usize,
    },
    ProxyGone {
        proxy: usize,
        planned: bool,
    },
    Fault(String),
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    pub at: Timestamp,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Book {
    pub entries: Vec<Entry>,
}

impl Default for Book {
    fn default() -> Self {
        // Copied as it grows, it would hold the kit up for tens of milliseconds; unwritten room costs nothing.
        Self { entries: Vec::with_capacity(1 << 20) }
    }
}

impl Book {
    pub fn note(&mut self, at: Timestamp, what: What) {
        self.entries.push(Entry { at, what });
    }

    /// One JSON object a line.
    pub fn lines(&self) -> String {
        let lines = self.entries.iter().map(|e| serde_json::to_string(e).unwrap_or_default());
        lines.fold(String::new(), |all, line| all + &line + "\n")
    }
}
