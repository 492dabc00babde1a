//! What passes between the socket tasks and the decision task: events one way, commands the other.
use std::net::SocketAddr;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use larklink_balancer::{AttemptOutcome, ListScope, Observation, SessionRequest, TickDuration};
use larklink_engine::engine::{AttemptNumber, EndpointId, SessionId};

use crate::endpoint_list::Endpoint;

/// The most events that wait in the queue; the sender of a further one waits until there is space.
pub const QUEUE_CAPACITY: usize = 1024;

/// The most commands that wait for a session: an attempt, a limit of it and a migration.
pub const COMMAND_CAPACITY: usize = 4;

/// What a socket task tells the decision task.
#[derive(Debug)]
pub enum DecisionEvent {
    /// A session has come in.
    OpenSession {
        /// The id given to it.
        session: SessionId,
        /// When its first line was complete: its dial timeout counts from there, however long the queue is.
        received_at: Instant,
        /// What its first line says.
        request: SessionRequest,
        /// Where its commands go.
        commands: Sender<SessionCommand>,
    },
    /// Asks for the address of the endpoint at which a session is established; the answer is a command to connect.
    FindEndpoint {
        /// The session.
        session: SessionId,
        /// Its endpoint.
        endpoint: EndpointId,
        /// Where its commands go.
        commands: Sender<SessionCommand>,
    },
    /// A session that was established through another process goes on in this one.
    AdoptEstablished {
        /// The session.
        session: SessionId,
        /// What its first line says.
        request: SessionRequest,
        /// Its endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint accepted an attempt.
    Established {
        /// The session.
        session: SessionId,
        /// The attempt that was accepted.
        attempt: AttemptNumber,
    },
    /// An attempt or its connection ended.
    AttemptEnded {
        /// The session.
        session: SessionId,
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the session is over with it.
        session_over: bool,
    },
    /// The client has left.
    ClientLeft {
        /// Its session.
        session: SessionId,
    },
    /// Something was observed of an established session.
    Observed {
        /// The session.
        session: SessionId,
        /// Its accepted attempt.
        attempt: AttemptNumber,
        /// What was observed.
        observation: Observation,
    },
    /// A client's message went to the endpoint and its answer came back.
    MessageAnswered {
        /// The session.
        session: SessionId,
        /// Its accepted attempt.
        attempt: AttemptNumber,
        /// Its endpoint.
        endpoint: EndpointId,
        /// The time from sending the message to its answer.
        took: TickDuration,
    },
    /// A health check ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        took: TickDuration,
        /// The values of the load report in its answer; empty if there were none.
        load_report: Vec<f64>,
    },
    /// The endpoint list, or what changed in it.
    EndpointList(ListScope, Vec<Endpoint>),
    /// A poll of the endpoint list failed, or its subscription broke.
    DiscoveryFailed,
    /// This process takes connections in the place of another one of the proxy, which may still make attempts.
    TakeOver,
    /// Asks for the endpoint list as it is now.
    CurrentEndpoints(Sender<Vec<Endpoint>>),
}

/// What the decision task tells the task of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionCommand {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The number of this attempt.
        attempt: AttemptNumber,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// Its address; none if it is not known.
        address: Option<SocketAddr>,
        /// When the attempt counts as timed out.
        deadline: Instant,
        /// The latest time at which its first byte may be sent.
        send_deadline: Instant,
    },
    /// The first byte of an attempt may be sent only up to an earlier time.
    LimitSendDeadline {
        /// The attempt in flight.
        attempt: AttemptNumber,
        /// The latest time at which its first byte may be sent.
        send_deadline: Instant,
    },
    /// Reject the session.
    Reject {
        /// How long its client should wait before it retries; 0 if nothing is to be said.
        retry_after: TickDuration,
    },
    /// Fail the session: it may have run and cannot be retried.
    Fail,
    /// Tell the client to reconnect; the session is over.
    Migrate,
}

/// The queue of events to the decision task.
#[derive(Clone)]
pub struct DecisionQueue(Sender<DecisionEvent>);

impl DecisionQueue {
    /// Waits until there is space in the queue.
    pub async fn send(&self, event: DecisionEvent) {
        // It only fails when the proxy is about to exit.
        let _ = self.0.send(event).await;
    }
}

/// A new queue and the end that the decision task reads.
pub fn queue() -> (DecisionQueue, Receiver<DecisionEvent>) {
    let (sender, receiver) = async_channel::bounded(QUEUE_CAPACITY);
    (DecisionQueue(sender), receiver)
}
