//! A single poll of discovery: one HTTP request, on a new or a reused connection.
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use thiserror::Error;

use crate::discovery::http::{Response, ResponseError, ResponseReader};
use crate::discovery::watch_state::PollFailure;
use crate::endpoint_list::EndpointList;

const READ_BYTES: usize = 16 << 10;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// A connection to discovery.
pub(crate) type DiscoveryConnection = Async<TcpStream>;

/// A response with an endpoint list.
pub(crate) struct PollResponse {
    pub(crate) list: EndpointList,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<DiscoveryConnection>,
}

/// Why a poll failed.
#[derive(Debug, Error)]
pub(crate) enum PollError {
    /// The connection failed, or a phase of the poll timed out.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response is invalid, or its status is not 200.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

impl PollError {
    /// Whether discovery responded with a longer list than is accepted.
    pub(crate) fn is_list_too_long(&self) -> bool {
        matches!(self, Self::Response(ResponseError::BodyTooLong { .. }))
    }

    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == ErrorKind::TimedOut)
    }

    /// Returns what the failure says of discovery. A response that ends in the middle of the JSON counts as a broken
    /// connection.
    pub(crate) fn failure(&self) -> PollFailure {
        match self {
            Self::Response(ResponseError::Status(SERVICE_UNAVAILABLE | TOO_MANY_REQUESTS)) => {
                PollFailure::Overloaded
            }
            Self::Response(ResponseError::Body(e)) if e.is_eof() => PollFailure::NoResponse,
            Self::Response(_) => PollFailure::InvalidResponse,
            Self::Io(e) if e.kind() == ErrorKind::InvalidData => PollFailure::InvalidResponse,
            Self::Io(_) => PollFailure::NoResponse,
        }
    }
}

/// The progress of a poll, which the caller can read after cancelling the poll.
#[derive(Default)]
pub(crate) struct PollProgress {
    pub(crate) connected: Cell<bool>,
    pub(crate) response_begun: Cell<bool>,
}

/// Polls once. Returns the list, and the connection if it can be reused.
///
/// # Errors
/// No valid response arrived. There is no timeout here; the caller has to limit the whole poll.
pub(crate) async fn poll(
    discovery: SocketAddr,
    reused: Option<DiscoveryConnection>,
    path: &str,
    progress: &PollProgress,
) -> Result<PollResponse, PollError> {
    let mut stream = match reused {
        Some(connection) => connection,
        None => DiscoveryConnection::connect(discovery).await?,
    };
    progress.connected.set(true);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let (response, received) = read_response(&mut stream, progress).await?;
    // With surplus bytes the connection is not reused: they would be parsed as the next response.
    let reusable = response.keep_alive && response.length == received;
    Ok(PollResponse { list: response.list, connection: reusable.then_some(stream) })
}

/// Reads a response. Returns it with the number of bytes received.
async fn read_response(
    stream: &mut DiscoveryConnection,
    progress: &PollProgress,
) -> Result<(Response, usize), PollError> {
    let mut reader = ResponseReader::default();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    loop {
        let length = stream.read(&mut chunk).await?;
        if length == 0 {
            return Err(std::io::Error::from(ErrorKind::UnexpectedEof).into());
        }
        // A service that sends at full speed must not starve other tasks.
        future::yield_now().await;
        bytes.extend_from_slice(&chunk[..length]);
        progress.response_begun.set(true);
        if let Some(response) = reader.read(&bytes)? {
            return Ok((response, bytes.len()));
        }
    }
}
