//! One poll of discovery: an HTTP request on a connection that is reused from poll to poll.
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use thiserror::Error;

use crate::discovery::http::{Response, ResponseError, ResponseReader};
use crate::endpoint_list::EndpointList;
use crate::timeout::with_timeout;

const READ_BYTES: usize = 16 << 10;

/// A connection to discovery.
pub(crate) type DiscoveryConnection = Async<TcpStream>;

/// Why a poll failed.
#[derive(Debug, Error)]
pub(crate) enum PollError {
    /// The connection failed, or a part of the poll took too long.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response cannot be used.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

impl PollError {
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == ErrorKind::TimedOut)
    }

    /// Whether discovery responded, and with something else than a list. A list that breaks off in mid-JSON is a
    /// broken connection instead.
    pub(crate) fn is_rejection(&self) -> bool {
        match self {
            Self::Io(e) => e.kind() == ErrorKind::InvalidData,
            Self::Response(ResponseError::Body(e)) => !e.is_eof(),
            Self::Response(_) => true,
        }
    }
}

/// How long the parts of a poll may take.
pub(crate) struct PartTimeouts {
    /// The connection.
    pub(crate) connect: Duration,
    /// A response, from its first byte on.
    pub(crate) response: Duration,
}

/// How far a poll has come, for the caller also if it gives the poll up.
#[derive(Default)]
pub(crate) struct PollProgress {
    pub(crate) connected: Cell<bool>,
    pub(crate) response_begun: Cell<bool>,
}

/// Polls once. Returns the list, and the connection if it can be reused.
///
/// # Errors
/// No usable response within the timeouts. There is none for the wait before a response begins: the caller has it.
pub(crate) async fn poll(
    discovery: SocketAddr,
    reused: Option<DiscoveryConnection>,
    path: &str,
    timeouts: &PartTimeouts,
    progress: &PollProgress,
) -> Result<(EndpointList, Option<DiscoveryConnection>), PollError> {
    let mut stream = match reused {
        Some(connection) => connection,
        None => with_timeout(timeouts.connect, DiscoveryConnection::connect(discovery)).await?,
    };
    progress.connected.set(true);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    stream.readable().await?;
    // A response that never ends must not keep the proxy from later changes.
    let read = async { Ok(read_response(&mut stream, progress).await) };
    let (response, received) = with_timeout(timeouts.response, read).await??;
    // Bytes beyond the response would be taken for the next one.
    let keep = response.keep_alive && response.length == received;
    Ok((response.list, keep.then_some(stream)))
}

/// Reads a response; returns it and how many bytes were received.
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
        bytes.extend_from_slice(&chunk[..length]);
        progress.response_begun.set(true);
        if let Some(response) = reader.read(&bytes)? {
            return Ok((response, bytes.len()));
        }
    }
}
