//! HTTP client for a proxy's admin endpoint.
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A response of an admin endpoint.
pub(crate) struct AdminResponse {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The response body.
    pub(crate) body: String,
}

/// Sends a GET request and reads the response.
///
/// # Errors
/// Fails if the connection fails, or if there is no valid HTTP response within a second.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<AdminResponse> {
    let timeout = async {
        Timer::after(REQUEST_TIMEOUT).await;
        Err(Error::from(ErrorKind::TimedOut))
    };
    request(address, path).or(timeout).await
}

async fn request(address: SocketAddr, path: &str) -> Result<AdminResponse> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes()).await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    let (head, body) = reply.split_once("\r\n\r\n").ok_or(ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(AdminResponse { status: status.ok_or(ErrorKind::InvalidData)?, body: body.to_owned() })
}
