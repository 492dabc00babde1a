//! The event log: clients, servers, the external load balancer and the endpoint list record what they observe, ordered
//! by time. The proxies under test record nothing. This file also defines the serialized name of each event.
use std::fmt;

use serde::Serialize;

use crate::server::ConnectionId;
use crate::time::{TickDuration, Timestamp};

/// The number of events for which memory is reserved. Reallocating a growing log would delay a run on sockets by tens
/// of milliseconds, while reserved memory that is never written costs nothing.
const INITIAL_CAPACITY: usize = 1 << 20;

/// A client's request to open a session.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClientRequest {
    /// The client's index.
    pub client: usize,
    /// The session id, used in all events of the session.
    pub id: u64,
    /// The client key.
    pub key: u64,
    /// The group key.
    pub group: u64,
    /// The index of the listener in the scenario.
    pub listener: usize,
    /// How long the client waits for a response.
    #[serde(rename = "patience")]
    pub dial_timeout: TickDuration,
    /// Whether the client reconnects after its established session was broken or migrated.
    #[serde(rename = "again")]
    pub reconnecting: bool,
    /// Whether the client retries a session that was not accepted.
    pub retry: bool,
}

/// The final response to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientResponse {
    /// The session is established.
    Accepted,
    /// The session was rejected. The value is the Retry-After in milliseconds, 0 if there is none.
    #[serde(rename = "Refused")]
    Rejected(u64),
    /// The session failed and may have run.
    #[serde(rename = "TornDown")]
    Failed,
}

/// Used in the text of violations; the same names as in the serialized log.
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
    /// The client was asked to reconnect elsewhere.
    #[serde(rename = "Moved")]
    Migrated,
    /// The connection was closed by the other side.
    Closed,
    /// The connection was reset.
    Broken,
    /// The client closed the connection itself.
    Left,
}

/// Used in the text of violations; the same names as in the serialized log.
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
    /// The server rejected it; the session did not run.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// The server answered with an error.
    Failed,
    /// The server accepted it.
    Accepted,
    /// The server reset it.
    #[serde(rename = "Cut")]
    Reset,
    /// The server asked the client of an established session to reconnect elsewhere.
    #[serde(rename = "SentAway")]
    Migrated,
    /// The proxy or its client ended it.
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

/// An event. `id` is always a session id; `server` and `proxy` are indexes from 0.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[expect(missing_docs, reason = "fields that several variants share are described at the type")]
pub enum EventKind {
    /// A client tried to send a request to a proxy.
    Opened {
        #[serde(rename = "ask")]
        request: ClientRequest,
        proxy: usize,
    },
    /// A client could not reach the proxy of its request.
    #[serde(rename = "NobodyThere")]
    ProxyUnreachable { id: u64, proxy: usize },
    /// A client received the final response.
    Answered {
        id: u64,
        #[serde(rename = "answer")]
        response: ClientResponse,
    },
    /// A client received a second final response, or data after a response that ended the session.
    #[serde(rename = "More")]
    ExtraMessage { id: u64 },
    /// A client received a line that is not a valid response.
    #[serde(rename = "Garbled")]
    MalformedResponse { id: u64 },
    /// A client's connection ended.
    #[serde(rename = "Ended")]
    ConnectionEnded {
        id: u64,
        #[serde(rename = "how")]
        end: ConnectionEnd,
    },
    /// A client gave up waiting for a response.
    #[serde(rename = "GaveUp")]
    ClientTimedOut { id: u64 },
    /// The response to a message exceeded the latency objective.
    #[serde(rename = "LineLate")]
    MessageLate { id: u64, took: TickDuration },
    /// A message took too long between client and server.
    #[serde(rename = "Held")]
    MessageDelayed {
        id: u64,
        #[serde(rename = "way")]
        direction: Direction,
        took: TickDuration,
    },
    /// A message was altered between client and server.
    #[serde(rename = "Changed")]
    MessageAltered { id: u64 },
    /// A client has received nothing for `duration` on an established connection.
    #[serde(rename = "SilentFor")]
    ConnectionSilent {
        id: u64,
        #[serde(rename = "span")]
        duration: TickDuration,
    },
    /// A server received the first line of an attempt, with the time for which the proxy waits.
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
    /// A server completed a session setup.
    #[serde(rename = "Ran")]
    SessionRan { id: u64, server: usize },
    /// A server completed the session setup of an abandoned attempt.
    #[serde(rename = "RanLate")]
    RanAfterAbandoned { id: u64, server: usize },
    /// A server in slow start got a load of `ratio` times its capacity.
    #[serde(rename = "Over")]
    Overloaded { server: usize, ratio: f64 },
    /// A server crashed.
    ServerDied { server: usize },
    /// A server started, or became reachable again.
    #[serde(rename = "ServerBack")]
    ServerStarted { server: usize },
    /// A server stops reading and writing until the given time.
    ServerSilent { server: usize, until: Timestamp },
    /// A server stopped with sessions still established.
    #[serde(rename = "LeftBehind")]
    SessionsLeftBehind { server: usize, sessions: usize },
    /// A proxy was notified whether a server is ready.
    #[serde(rename = "Told")]
    EndpointNotified { proxy: usize, server: usize, ready: bool },
    /// A proxy started and answers clients.
    ProxyUp { proxy: usize },
    /// A proxy exited.
    #[serde(rename = "ProxyGone")]
    ProxyExited { proxy: usize, planned: bool },
    /// A fault was injected.
    #[serde(rename = "Fault")]
    FaultInjected(String),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoggedEvent {
    /// When it happened, in ticks from the start.
    pub at: Timestamp,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// The events of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EventLog {
    /// Ordered by time.
    pub events: Vec<LoggedEvent>,
}

impl Default for EventLog {
    fn default() -> Self {
        Self { events: Vec::with_capacity(INITIAL_CAPACITY) }
    }
}

impl EventLog {
    /// Appends an event.
    pub fn record(&mut self, at: Timestamp, kind: EventKind) {
        self.events.push(LoggedEvent { at, kind });
    }

    /// Serializes the log as one JSON object per line.
    pub fn to_json_lines(&self) -> String {
        let mut text = String::new();
        for event in &self.events {
            text += &serde_json::to_string(event).unwrap_or_default();
            text += "\n";
        }
        text
    }
}
