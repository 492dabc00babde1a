//! The scheduled events of a simulation: messages in flight, timeouts, and steps of proxy restarts and shutdowns.
use crate::event_log::{ClientRequest, ClientResponse};
use crate::server::{ConnectionId, ServerMessage};

/// An event that is handled at its due time.
pub(super) enum ScheduledEvent {
    /// A client's request reaches a proxy.
    ClientConnects { proxy: usize, request: ClientRequest },
    /// A client's message with this sequence number reaches the server of its session.
    ClientMessage { id: u64, number: u64 },
    /// The first line of a connection reaches a server.
    ReachesServer { server: usize, connection: ConnectionId },
    /// A server's message reaches the proxy of its connection.
    ReachesProxy { server: usize, connection: ConnectionId, message: ServerMessage },
    /// A message from a proxy reaches the client of a session.
    ReachesClient { id: u64, message: ClientMessage },
    /// An attempt or a health check times out, unless it has been accepted or has ended.
    TimedOut(ConnectionId),
    /// A connection to a server could not be established.
    ConnectFailed(ConnectionId),
    /// A proxy is notified of a new version of the endpoint list.
    EndpointListChanged { proxy: usize },
    /// All proxies poll the endpoint list again, after it was unreachable or they were behind.
    RetryEndpointLists,
    /// A proxy restarts.
    StartProxy { proxy: usize },
    /// A proxy that is shutting down migrates a session.
    MigrateSession { id: u64 },
    /// A proxy that is shutting down checks whether it can exit.
    CheckShutdown { proxy: usize },
}

/// A message from a proxy to a client, or the end of their connection.
#[derive(Clone)]
pub(super) enum ClientMessage {
    /// The final response to the session request.
    Response(ClientResponse),
    /// The client has to reconnect elsewhere.
    Migrate,
    /// The connection is reset.
    ConnectionEnded,
    /// The message with this sequence number comes back.
    Message(u64),
}
