//! Calls to a proxy's admin endpoint.
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

/// How long a caller waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer.
pub(crate) struct AdminAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: String,
}

/// Makes one call.
///
/// # Errors
/// There is no answer within a second, or it is not HTTP.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<AdminAnswer> {
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        Err(Error::from(ErrorKind::TimedOut))
    };
    call(address, path).or(timeout).await
}

async fn call(address: SocketAddr, path: &str) -> Result<AdminAnswer> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes()).await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    let (head, body) = reply.split_once("\r\n\r\n").ok_or(ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(AdminAnswer { status: status.ok_or(ErrorKind::InvalidData)?, body: body.to_owned() })
}
