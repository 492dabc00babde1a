//! The admin endpoint: HTTP/1.1 on an address of its own, one request to a connection. It runs in a thread of its own,
//! so that load from clients does not delay it, and reads nothing but the metrics.
pub mod response;

use std::collections::VecDeque;
use std::io::{ErrorKind, Result};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::metrics::Metrics;
use crate::timeout::with_timeout;
use response::respond;

/// Connections that are served at once. A further one evicts the oldest, so that callers that connect and send no
/// complete request keep nobody out, as long as fewer come within `REQUEST_TIMEOUT`.
pub const MAX_CONNECTIONS: usize = 16;
/// Descriptors that the endpoint needs: its connections, its listener, and one that is accepted while the oldest closes.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;

/// How long a connection may take from accept to close.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a caller may take to close after its response: closing with unread data would reset the connection.
const LINGER: Duration = Duration::from_millis(500);
/// The rest after a failure to accept, as without free descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 1024;

/// Starts the endpoint in a thread that runs until the process ends, and returns its address.
///
/// # Errors
/// The address cannot be bound, or there is no thread to be had.
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
    let mut slots = ConnectionSlots::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // The task ends with its connection, or when the slot is needed for another.
                let evicted = slots.take();
                executor.spawn(serve(stream, evicted, Arc::clone(metrics))).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "admin endpoint cannot accept");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// The connections that are served, the oldest first. Each has the receiver of a channel: dropping the sender evicts
/// it, and the sender is closed once the connection has ended.
#[derive(Default)]
struct ConnectionSlots(VecDeque<Sender<()>>);

impl ConnectionSlots {
    /// Takes a slot, that of the oldest connection if none is free.
    fn take(&mut self) -> Receiver<()> {
        self.0.retain(|connection| !connection.is_closed());
        if self.0.len() == MAX_CONNECTIONS {
            self.0.pop_front();
        }
        let (connection, evicted) = async_channel::bounded(1);
        self.0.push_back(connection);
        evicted
    }
}

/// Serves one connection until it ends, its time is over, or it is evicted.
async fn serve(stream: Async<TcpStream>, evicted: Receiver<()>, metrics: Arc<Metrics>) {
    let eviction = async {
        // Nothing is ever sent: this fails when the sender is dropped.
        let _ = evicted.recv().await;
        Ok(())
    };
    // A caller that breaks off is of no interest.
    let _ = with_timeout(REQUEST_TIMEOUT, exchange(&stream, &metrics)).or(eviction).await;
}

/// Reads one request, sends its response, and waits for the caller to close.
async fn exchange(mut stream: &Async<TcpStream>, metrics: &Metrics) -> Result<()> {
    let response = read_request(stream, metrics).await?;
    stream.write_all(response.as_bytes()).await?;
    stream.get_ref().shutdown(Shutdown::Write)?;
    let closed = async {
        let mut ignored = [0; READ_BYTES];
        while stream.read(&mut ignored).await? > 0 {}
        Ok(())
    };
    with_timeout(LINGER, closed).await
}

/// Reads until there is a response.
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
