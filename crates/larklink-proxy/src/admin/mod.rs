//! The admin endpoint: an HTTP/1.1 server on a separate address that serves one request per connection. It runs in a
//! separate thread, so that client load does not delay it, and accesses the metrics only.
pub mod response;

use std::io::{ErrorKind, Result};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::connection::discard_until_end;
use crate::connection_slots::{ConnectionSlots, Eviction};
use crate::metrics::Metrics;
use crate::timeout::with_timeout;
use response::respond;

/// Connections that are served concurrently. A further one evicts the oldest, so that callers that never complete their
/// request do not block others. A caller is still served if fewer than this connect after it within `REQUEST_TIMEOUT`.
pub const MAX_CONNECTIONS: usize = 16;
/// Descriptors that the admin endpoint needs: for its connections, its listener, and a connection that is accepted
/// before the oldest has closed.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;

/// How long a connection may last from accept to close.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long to wait after the response for the caller to close: closing a socket with unread data would reset the
/// connection, and the caller might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait after a failure to accept, for example when no descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 1024;

/// Starts the admin endpoint in a thread that runs until the process exits. Returns the address that it is bound to.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub fn start(address: SocketAddr, metrics: Arc<Metrics>) -> Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(address)?;
    let bound = listener.get_ref().local_addr()?;
    std::thread::Builder::new().name("admin".into()).spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.run(accept(&listener, &metrics, &executor)));
    })?;
    Ok(bound)
}

async fn accept(
    listener: &Async<TcpListener>,
    metrics: &Arc<Metrics>,
    executor: &Rc<LocalExecutor<'static>>,
) {
    let mut slots = ConnectionSlots::new(MAX_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // The task ends with its connection, or when the connection is evicted.
                let eviction = slots.add();
                executor.spawn(serve(stream, eviction, Arc::clone(metrics))).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "admin endpoint cannot accept");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves a connection until it ends, times out or is evicted.
async fn serve(stream: Async<TcpStream>, eviction: Eviction, metrics: Arc<Metrics>) {
    let evicted = async {
        eviction.wait().await;
        Ok(())
    };
    // Errors are ignored: they only mean that the caller disconnected or timed out.
    let _ = with_timeout(REQUEST_TIMEOUT, exchange(&stream, &metrics)).or(evicted).await;
}

/// Reads a request, sends the response, and waits for the caller to close the connection.
async fn exchange(mut stream: &Async<TcpStream>, metrics: &Metrics) -> Result<()> {
    let response = read_request(stream, metrics).await?;
    stream.write_all(response.as_bytes()).await?;
    stream.get_ref().shutdown(Shutdown::Write)?;
    with_timeout(LINGER_TIMEOUT, discard_until_end(stream, LINGER_TIMEOUT)).await
}

/// Reads a request until it can be answered. Returns the response.
async fn read_request(mut stream: &Async<TcpStream>, metrics: &Metrics) -> Result<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some(response) = respond(&bytes, metrics) {
            return Ok(response);
        }
        match stream.read(&mut chunk).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            length => bytes.extend_from_slice(&chunk[..length]),
        }
    }
}
