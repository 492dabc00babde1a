//! The event log: clients, servers, external load balancer and endpoint list record what they saw, in the order of time.
//! The proxy that is judged records nothing. Each word of the file is mapped here, once.
use std::fmt;

use serde::Serialize;

use crate::server::ConnectionId;
use crate::time::{TickDuration, Timestamp};

/// The events for which memory is reserved at once: growing a log by a copy would hold a run on sockets up for tens of
/// milliseconds, and memory that is not written to costs nothing.
const INITIAL_CAPACITY: usize = 1 << 20;

/// A client's request for a session.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClientRequest {
    /// The client's number.
    pub client: usize,
    /// The session's id.
    pub id: u64,
    /// The client's key.
    pub key: u64,
    /// The key of the client's group.
    pub group: u64,
    /// The listener, by its place in the scenario.
    pub listener: usize,
    /// How long the client waits for a response.
    pub patience: TickDuration,
    /// Whether an established session was broken or migrated before.
    #[serde(rename = "again")]
    pub reconnecting: bool,
    /// Whether this retries a session that failed.
    pub retry: bool,
}

/// The final response to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientResponse {
    /// The session is established.
    Accepted,
    /// The session was rejected, with a Retry-After in milliseconds, or 0.
    #[serde(rename = "Refused")]
    Rejected(u64),
    /// The session failed, and may have run.
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
    /// The client was told to reconnect elsewhere.
    #[serde(rename = "Moved")]
    Migrated,
    /// It was closed.
    Closed,
    /// It was reset.
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

/// How an attempt ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// The server rejected it: it never ran.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// The server failed it.
    Failed,
    /// The server accepted it.
    Accepted,
    /// The server reset it.
    #[serde(rename = "Cut")]
    Reset,
    /// The server sent an established session elsewhere.
    #[serde(rename = "SentAway")]
    Migrated,
    /// The other side ended it.
    #[serde(rename = "GivenUp")]
    Abandoned,
}

/// The direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Direction {
    /// From a client to its server.
    ToServer,
    /// From a server to its client.
    ToClient,
}

/// What happened. `id` is always that of a session, `server` and `proxy` are numbers from 0.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[expect(missing_docs, reason = "fields that several variants share are described at the type")]
pub enum EventKind {
    /// A client sent a request to a proxy, or could not reach it.
    Opened {
        #[serde(rename = "ask")]
        request: ClientRequest,
        proxy: usize,
    },
    /// The proxy of a request could not be reached.
    #[serde(rename = "NobodyThere")]
    ProxyUnreachable { id: u64, proxy: usize },
    /// A client received the final response.
    Answered {
        id: u64,
        #[serde(rename = "answer")]
        response: ClientResponse,
    },
    /// Something came after a final response that ends a session, or a second one.
    #[serde(rename = "More")]
    ExtraMessage { id: u64 },
    /// A client received what is no response.
    #[serde(rename = "Garbled")]
    MalformedResponse { id: u64 },
    /// A client's connection ended.
    #[serde(rename = "Ended")]
    ConnectionEnded {
        id: u64,
        #[serde(rename = "how")]
        end: ConnectionEnd,
    },
    /// A client waited no longer.
    #[serde(rename = "GaveUp")]
    ClientTimedOut { id: u64 },
    /// A message came back later than its objective.
    #[serde(rename = "LineLate")]
    MessageLate { id: u64, took: TickDuration },
    /// A message was held on its way.
    #[serde(rename = "Held")]
    MessageDelayed {
        id: u64,
        #[serde(rename = "way")]
        direction: Direction,
        took: TickDuration,
    },
    /// A message was altered on its way.
    #[serde(rename = "Changed")]
    MessageAltered { id: u64 },
    /// For so long, nothing has come on a connection that is established.
    #[serde(rename = "SilentFor")]
    ConnectionSilent {
        id: u64,
        #[serde(rename = "span")]
        duration: TickDuration,
    },
    /// A server received the start of an attempt, of which the proxy waits for so many milliseconds.
    #[serde(rename = "Dial")]
    AttemptStarted {
        id: u64,
        server: usize,
        #[serde(rename = "conn")]
        connection: ConnectionId,
        #[serde(rename = "told")]
        timeout_ms: u64,
    },
    /// An attempt, or the connection of an established session, ended at its server.
    #[serde(rename = "DialEnded")]
    AttemptEnded {
        id: u64,
        server: usize,
        #[serde(rename = "conn")]
        connection: ConnectionId,
        #[serde(rename = "how")]
        end: AttemptEnd,
    },
    /// A server has set a session up.
    #[serde(rename = "Ran")]
    SessionRan { id: u64, server: usize },
    /// A server has set a session up for an attempt that had been abandoned.
    #[serde(rename = "RanLate")]
    RanAfterAbandoned { id: u64, server: usize },
    /// A server in slow start was sent so many times its capacity.
    #[serde(rename = "Over")]
    Overloaded { server: usize, ratio: f64 },
    /// A server died.
    ServerDied { server: usize },
    /// A server started, or can be reached again.
    #[serde(rename = "ServerBack")]
    ServerStarted { server: usize },
    /// A server is silent until then.
    ServerSilent { server: usize, until: Timestamp },
    /// A server stopped while so many sessions were established there.
    #[serde(rename = "LeftBehind")]
    SessionsLeftBehind { server: usize, sessions: usize },
    /// A proxy was notified of the status of a server.
    #[serde(rename = "Told")]
    EndpointNotified { proxy: usize, server: usize, ready: bool },
    /// A proxy answers.
    ProxyUp { proxy: usize },
    /// A proxy has exited.
    #[serde(rename = "ProxyGone")]
    ProxyExited { proxy: usize, planned: bool },
    /// A fault was injected.
    #[serde(rename = "Fault")]
    FaultInjected(String),
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoggedEvent {
    /// When it happened.
    pub at: Timestamp,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// The events of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EventLog {
    /// In the order of time.
    pub events: Vec<LoggedEvent>,
}

impl Default for EventLog {
    fn default() -> Self {
        Self { events: Vec::with_capacity(INITIAL_CAPACITY) }
    }
}

impl EventLog {
    /// Records an event.
    pub fn record(&mut self, at: Timestamp, kind: EventKind) {
        self.events.push(LoggedEvent { at, kind });
    }

    /// One JSON object a line.
    pub fn to_json_lines(&self) -> String {
        let mut text = String::new();
        for event in &self.events {
            text += &serde_json::to_string(event).unwrap_or_default();
            text += "\n";
        }
        text
    }
}
