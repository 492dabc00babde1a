//! The book of answers: clients, servers, front and list write down what they saw, in the order of time. The
//! proxy that is judged has no hand in it.
use std::fmt;

use larklink_balancer::{TickDuration, Timestamp};
use serde::Serialize;

/// A client's first line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClientRequest {
    pub client: usize,
    pub id: u64,
    pub key: u64,
    pub group: u64,
    pub listener: usize,
    pub patience: TickDuration,
    #[serde(rename = "again")]
    pub reconnecting: bool,
    pub retry: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientResponse {
    Accepted,
    /// With a retry-after in milliseconds, or 0.
    #[serde(rename = "Refused")]
    Rejected(u64),
    #[serde(rename = "TornDown")]
    Failed,
}

/// As findings write it: in the words of the log's file.
impl fmt::Display for ClientResponse {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("Accepted"),
            Self::Rejected(retry_after_ms) => write!(f, "Refused({retry_after_ms})"),
            Self::Failed => f.write_str("TornDown"),
        }
    }
}

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ConnectionEnd {
    /// After `MOVE`.
    #[serde(rename = "Moved")]
    Migrated,
    Closed,
    Broken,
    /// The client left by itself.
    Left,
}

/// As findings write it: in the words of the log's file.
impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Migrated => "Moved",
            Self::Closed => "Closed",
            Self::Broken => "Broken",
            Self::Left => "Left",
        })
    }
}

/// How a dial ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// The server turned it away: it never ran.
    #[serde(rename = "TurnedAway")]
    Rejected,
    Failed,
    Accepted,
    /// The server broke it.
    #[serde(rename = "Cut")]
    Reset,
    /// The server sent an accepted session away.
    #[serde(rename = "SentAway")]
    Migrated,
    /// The other side ended it.
    #[serde(rename = "GivenUp")]
    Abandoned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Direction {
    ToServer,
    ToClient,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum EventKind {
    /// The first line is out, to that proxy; nobody was there if it could not be sent.
    Opened {
        #[serde(rename = "ask")]
        request: ClientRequest,
        proxy: usize,
    },
    #[serde(rename = "NobodyThere")]
    ProxyUnreachable {
        id: u64,
        proxy: usize,
    },
    Answered {
        id: u64,
        #[serde(rename = "answer")]
        response: ClientResponse,
    },
    /// Something after the final answer that ends a session, or a second one.
    #[serde(rename = "More")]
    ExtraMessage {
        id: u64,
    },
    /// What is no answer at all.
    #[serde(rename = "Garbled")]
    MalformedResponse {
        id: u64,
    },
    #[serde(rename = "Ended")]
    ConnectionEnded {
        id: u64,
        #[serde(rename = "how")]
        end: ConnectionEnd,
    },
    /// The client waited no longer.
    #[serde(rename = "GaveUp")]
    ClientTimedOut {
        id: u64,
    },
    #[serde(rename = "LineLate")]
    MessageLate {
        id: u64,
        took: TickDuration,
    },
    #[serde(rename = "Held")]
    MessageDelayed {
        id: u64,
        #[serde(rename = "way")]
        direction: Direction,
        took: TickDuration,
    },
    #[serde(rename = "Changed")]
    MessageAltered {
        id: u64,
    },
    /// Nothing has come for so long on a connection that stands.
    #[serde(rename = "SilentFor")]
    ConnectionSilent {
        id: u64,
        #[serde(rename = "span")]
        duration: TickDuration,
    },
    #[serde(rename = "Dial")]
    AttemptStarted {
        id: u64,
        server: usize,
        #[serde(rename = "conn")]
        connection: u64,
        #[serde(rename = "told")]
        timeout_ms: u64,
    },
    #[serde(rename = "DialEnded")]
    AttemptEnded {
        id: u64,
        server: usize,
        #[serde(rename = "conn")]
        connection: u64,
        #[serde(rename = "how")]
        end: AttemptEnd,
    },
    #[serde(rename = "Ran")]
    SessionRan {
        id: u64,
        server: usize,
    },
    /// A set-up was done for a dial that had been given up.
    #[serde(rename = "RanLate")]
    RanAfterAbandoned {
        id: u64,
        server: usize,
    },
    /// A cold server was sent more than its multiple, by so much.
    #[serde(rename = "Over")]
    Overloaded {
        server: usize,
        ratio: f64,
    },
    ServerDied {
        server: usize,
    },
    #[serde(rename = "ServerBack")]
    ServerStarted {
        server: usize,
    },
    /// Silent until then.
    ServerSilent {
        server: usize,
        until: Timestamp,
    },
    /// It went with so many sessions still standing there.
    #[serde(rename = "LeftBehind")]
    SessionsLeftBehind {
        server: usize,
        sessions: usize,
    },
    /// That word has been written to that proxy.
    #[serde(rename = "Told")]
    EndpointNotified {
        proxy: usize,
        server: usize,
        ready: bool,
    },
    ProxyUp {
        proxy: usize,
    },
    #[serde(rename = "ProxyGone")]
    ProxyExited {
        proxy: usize,
        planned: bool,
    },
    #[serde(rename = "Fault")]
    FaultInjected(String),
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoggedEvent {
    pub at: Timestamp,
    #[serde(rename = "what")]
    pub kind: EventKind,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EventLog {
    pub events: Vec<LoggedEvent>,
}

impl Default for EventLog {
    fn default() -> Self {
        // Copied as it grows, it would hold the kit up for tens of milliseconds; unwritten room costs nothing.
        Self { events: Vec::with_capacity(1 << 20) }
    }
}

impl EventLog {
    pub fn record(&mut self, at: Timestamp, kind: EventKind) {
        self.events.push(LoggedEvent { at, kind });
    }

    /// One JSON object a line.
    pub fn to_json_lines(&self) -> String {
        let lines = self.events.iter().map(|e| serde_json::to_string(e).unwrap_or_default());
        lines.fold(String::new(), |all, line| all + &line + "\n")
    }
}
