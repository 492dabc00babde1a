//! What is scheduled to happen in a simulation: messages in flight, and time limits of the proxies.
use crate::event_log::{ClientRequest, ClientResponse};
use crate::server::{ConnectionId, ServerMessage};

/// Something that happens at its time.
pub(super) enum ScheduledEvent {
    /// A client's request reaches a proxy.
    ClientConnects { proxy: usize, request: ClientRequest },
    /// A client's message of that number reaches the server of its session.
    ClientMessage { id: u64, number: u64 },
    /// The first bytes of a connection reach a server.
    ReachesServer { server: usize, connection: ConnectionId },
    /// A server's message reaches the proxy.
    ReachesProxy { server: usize, connection: ConnectionId, message: ServerMessage },
    /// A proxy's message reaches the client of a session.
    ReachesClient { id: u64, message: ClientMessage },
    /// The time limit of an attempt or a health check has passed.
    TimeLimit(ConnectionId),
    /// A connection could not be made.
    ConnectFailed(ConnectionId),
    /// A proxy is notified of the endpoint list.
    EndpointListChanged { proxy: usize },
    /// All proxies look whether the endpoint list can be reached again.
    RetryEndpointLists,
    /// A proxy starts again.
    StartProxy { proxy: usize },
    /// A proxy that shuts down migrates a session.
    MigrateSession { id: u64 },
    /// A proxy that shuts down looks whether it can exit.
    CheckShutdown { proxy: usize },
}

/// What a proxy sends to a client.
#[derive(Clone)]
pub(super) enum ClientMessage {
    /// The final response.
    Response(ClientResponse),
    /// The client is to reconnect elsewhere.
    Migrate,
    /// The connection breaks.
    ConnectionEnded,
    /// The message of that number comes back.
    Message(u64),
}
