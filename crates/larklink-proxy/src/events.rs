//! The events that I/O tasks send to the decision task, and the commands that it sends back to sessions.
use std::net::SocketAddr;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use larklink_balancer::{AttemptOutcome, ListScope, Observation, SessionRequest, TickDuration};
use larklink_engine::engine::{AttemptNumber, EndpointId, SessionId};

use crate::endpoint_list::Endpoint;

/// The capacity of the event queue; senders wait while it is full.
pub const QUEUE_CAPACITY: usize = 1024;

/// The capacity of a session's command channel. Up to three commands can be pending: a connect command, a limit on its
/// send deadline and a migration.
pub const COMMAND_CAPACITY: usize = 4;

/// An event sent to the decision task.
#[derive(Debug)]
pub enum DecisionEvent {
    /// A client has requested a session.
    OpenSession {
        /// The id assigned to it.
        session: SessionId,
        /// When its first line was complete. The dial timeout counts from here, so it includes the time spent in the
        /// queue.
        received_at: Instant,
        /// The request from its first line.
        request: SessionRequest,
        /// The channel for its commands.
        commands: Sender<SessionCommand>,
    },
    /// Requests the address of the endpoint at which a session is established; the reply is
    /// [`SessionCommand::Connect`].
    FindEndpoint {
        /// The session.
        session: SessionId,
        /// The endpoint at which the session is established.
        endpoint: EndpointId,
        /// The channel for its commands.
        commands: Sender<SessionCommand>,
    },
    /// A session that was established through another process continues in this one.
    AdoptEstablished {
        /// The session.
        session: SessionId,
        /// The request from its first line.
        request: SessionRequest,
        /// The endpoint at which the session is established.
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
        /// The outcome of the attempt or of its connection.
        outcome: AttemptOutcome,
        /// Whether the session ends with it.
        session_over: bool,
    },
    /// The session ended for a reason that says nothing about an endpoint: its client disconnected, no descriptor was
    /// free, or the process is shutting down, for example.
    ClientLeft {
        /// The session.
        session: SessionId,
    },
    /// An observation about an established session.
    Observed {
        /// The session.
        session: SessionId,
        /// The accepted attempt of the session.
        attempt: AttemptNumber,
        /// What was observed.
        observation: Observation,
    },
    /// An endpoint answered a client's message.
    MessageAnswered {
        /// The session.
        session: SessionId,
        /// The accepted attempt of the session.
        attempt: AttemptNumber,
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// The time from forwarding the message to receiving its answer.
        took: TickDuration,
    },
    /// A health check ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: AttemptOutcome,
        /// How long it took.
        took: TickDuration,
        /// The values of the load report in its answer; empty if there were none.
        load_report: Vec<f64>,
    },
    /// A complete endpoint list, or changes to it, as the scope says.
    EndpointList(ListScope, Vec<Endpoint>),
    /// A poll of the endpoint list failed, or its subscription was interrupted.
    DiscoveryFailed,
    /// This process starts accepting connections in place of another process of the proxy, which may still make
    /// attempts.
    TakeOver,
    /// Requests the current endpoint list.
    CurrentEndpoints(Sender<Vec<Endpoint>>),
}

/// A command from the decision task to the task of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionCommand {
    /// Connect to an endpoint and send the session to it.
    Connect {
        /// The number of this attempt.
        attempt: AttemptNumber,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// The endpoint's address; `None` if it is not known.
        address: Option<SocketAddr>,
        /// When the attempt times out.
        deadline: Instant,
        /// The latest time at which its first byte may be sent.
        send_deadline: Instant,
    },
    /// Bring the send deadline of an attempt forward.
    LimitSendDeadline {
        /// The attempt in flight.
        attempt: AttemptNumber,
        /// The latest time at which its first byte may be sent.
        send_deadline: Instant,
    },
    /// Reject the session.
    Reject {
        /// How long its client should wait before it retries; zero to leave the time out of the answer.
        retry_after: TickDuration,
    },
    /// Fail the session: it may have run and cannot be retried.
    Fail,
    /// Ask the client to reconnect, which ends the session.
    Migrate,
}

/// The sending half of the event queue of the decision task.
#[derive(Clone)]
pub struct DecisionQueue(Sender<DecisionEvent>);

impl DecisionQueue {
    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: DecisionEvent) {
        // Sending fails only if the proxy is about to exit.
        let _ = self.0.send(event).await;
    }
}

/// Creates an event queue; the decision task reads the receiver.
pub fn queue() -> (DecisionQueue, Receiver<DecisionEvent>) {
    let (sender, receiver) = async_channel::bounded(QUEUE_CAPACITY);
    (DecisionQueue(sender), receiver)
}
