//! Runs a complete proxy on loopback sockets. The test acts as its clients, its servers and its discovery agent, line
//! by line.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
#![allow(dead_code, reason = "each test file uses only some of the functions")]
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use larklink_proxy::config::Config;
use larklink_proxy::metrics::Metrics;
use larklink_proxy::proxy::{self, ProxyOptions};

#[path = "../peer/mod.rs"]
pub(crate) mod peer;
use peer::{Peer, WAIT_TIMEOUT, open_line};

/// The same backlog as in the standard library.
const LISTEN_BACKLOG: i32 = 128;

/// The commands of a [`ThreadHold`]. Any byte pauses a running thread; any but `STEP` resumes a paused one.
const PAUSE: u8 = b'x';
const STEP: u8 = b's';
const RESUME: u8 = b'g';

/// A proxy that runs in its own thread.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Closing it asks the proxy to stop.
    pub(crate) stop: Sender<()>,
    pub(crate) thread: JoinHandle<()>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) hold: ThreadHold,
}

/// Pauses a proxy's thread, so that a test controls the order in which the proxy notices events.
pub(crate) struct ThreadHold {
    commands: UnixStream,
    paused: mpsc::Receiver<()>,
}

impl ThreadHold {
    /// Creates a hold, and the task that pauses the thread on which it runs.
    pub(crate) fn new() -> (Self, impl Future<Output = ()>) {
        let (commands, received) = UnixStream::pair().unwrap();
        let (report_paused, paused) = mpsc::channel();
        let task = async move {
            let received = Async::new(received).unwrap();
            let next_command = async || {
                let mut command = [0];
                let _ = received.readable().await;
                received.get_ref().read(&mut command).is_ok_and(|n| n > 0).then_some(command[0])
            };
            while next_command().await.is_some() {
                while report_paused.send(()).is_ok() && async_io::block_on(next_command()) == Some(STEP) {
                    future::yield_now().await;
                }
            }
        };
        (Self { commands, paused }, task)
    }

    /// Pauses the thread: the reactor still receives events, and no task runs.
    pub(crate) fn pause(&mut self) {
        self.command(PAUSE);
        self.paused.recv_timeout(WAIT_TIMEOUT).unwrap();
    }

    /// Runs the tasks that are ready once, but not those that they wake, and pauses the thread again.
    pub(crate) fn step(&mut self) {
        self.command(STEP);
        self.paused.recv_timeout(WAIT_TIMEOUT).unwrap();
    }

    /// Resumes the thread.
    pub(crate) fn resume(&mut self) {
        self.command(RESUME);
    }

    fn command(&mut self, command: u8) {
        self.commands.write_all(&[command]).unwrap();
    }
}

impl Peer {
    /// Connects to an address and sends a first line.
    pub(crate) fn connect(address: SocketAddr, first_line: &str) -> Self {
        let mut peer = Self::new(TcpStream::connect(address).unwrap());
        peer.send(first_line);
        peer
    }

    pub(crate) fn accept(listener: &TcpListener) -> Self {
        Self::new(listener.accept().unwrap().0)
    }

    /// Closes the connection and waits until the kernel has reported the end to the peer's socket, whether or not the
    /// peer's process has noticed it.
    pub(crate) fn close_and_wait(self) {
        let proc_address =
            |address: std::io::Result<SocketAddr>| format!("0100007F:{:04X}", address.unwrap().port());
        let (own, other) =
            (proc_address(self.0.get_ref().local_addr()), proc_address(self.0.get_ref().peer_addr()));
        drop(self);
        // The peer's entry in /proc/net/tcp: both addresses, and the state CLOSE_WAIT.
        let closed_entry = format!("{other} {own} 08");
        wait_until(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&closed_entry));
    }

    /// Asserts that the stream ends without further data.
    pub(crate) fn expect_end(&mut self) {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).unwrap();
        assert!(
            rest.is_empty(),
            "unexpected data before the end of the stream: {:?}",
            String::from_utf8_lossy(&rest)
        );
    }

    /// Asserts that nothing arrives, and the stream does not end, for this time.
    pub(crate) fn expect_silence(&mut self, duration: Duration) {
        self.0.get_ref().set_read_timeout(Some(duration)).unwrap();
        let received = self.0.read(&mut [0]);
        assert_eq!(received.map_err(|error| error.kind()), Err(ErrorKind::WouldBlock));
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    }

    /// Asserts that the connection is reset.
    pub(crate) fn expect_reset(&mut self) {
        assert_eq!(self.0.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    /// Closes the connection with a reset instead of a FIN.
    pub(crate) fn reset(self) {
        let stream = self.0.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Creates a listener for a server of the test, and returns it with its address. The port stays reserved when the
/// listener is closed: a proxy that is still shutting down could otherwise poll discovery at the listener of another
/// test.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let placeholder = port_sharing_socket();
    placeholder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = placeholder.local_addr().unwrap();
    std::mem::forget(placeholder);
    let listener = port_sharing_socket();
    listener.bind(&address).unwrap();
    listener.listen(LISTEN_BACKLOG).unwrap();
    // A connection that never comes fails the test instead of blocking it.
    listener.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    (listener.into(), address.as_socket().unwrap())
}

fn port_sharing_socket() -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket
}

/// Returns an address that refuses connections and stays reserved, so that no other test uses it.
pub(crate) fn refusing_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// An entry of the endpoint list, as JSON.
pub(crate) fn endpoint(name: &str, address: SocketAddr, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","status":"{status}","weight":1.0}}"#)
}

/// An endpoint list as discovery sends it: complete, or only the changes to the last one.
pub(crate) fn list(index: u64, complete: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{complete},"endpoints":[{}]}}"#, endpoints.join(","))
}

/// Starts a proxy with the configuration that [`config`] returns for these arguments.
pub(crate) fn start(
    servers: &[SocketAddr],
    discovery: SocketAddr,
    mode: &str,
    max_descriptors: usize,
) -> Proxy {
    start_with_config(&config(servers, discovery, mode, max_descriptors))
}

pub(crate) fn start_with_config(config: &str) -> Proxy {
    start_on(TcpListener::bind("127.0.0.1:0").unwrap(), config)
}

/// Starts a proxy on a listener that may already have connections in its accept queue.
pub(crate) fn start_on(listener: TcpListener, config: &str) -> Proxy {
    let config: Config = serde_json::from_str(config).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, shutdown) = async_channel::bounded(1);
    let (_, discovery_addresses) = async_channel::bounded(1);
    let metrics = Metrics::new(&config.settings.listeners);
    let proxy_metrics = Arc::clone(&metrics);
    let (hold, hold_task) = ThreadHold::new();
    let thread = thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let options = ProxyOptions {
            config,
            listener,
            shutdown,
            discovery_addresses,
            metrics: proxy_metrics,
            socket_path: None,
            predecessor: None,
        };
        executor.spawn(hold_task).detach();
        let run = proxy::run(options, Rc::clone(&executor));
        async_io::block_on(executor.run(run)).unwrap();
    });
    Proxy { address, stop, thread, metrics, hold }
}

/// A configuration with these servers as the cached endpoint list, this address of discovery, this `domain.mode`, and
/// this limit of descriptors.
pub(crate) fn config(
    servers: &[SocketAddr],
    discovery: SocketAddr,
    mode: &str,
    max_descriptors: usize,
) -> String {
    let cached: Vec<_> =
        servers.iter().enumerate().map(|(n, address)| endpoint(&format!("s-{n}"), *address, "up")).collect();
    let listener = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","idempotency":"{idempotency}","aim_ns":500000000,"deadline_ns":300000000}}"#
        )
    };
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"7","limits":{{"sockets":{max_descriptors}}},
            "known":{},"settings":{{"grades":[{},{}],"domain":{{"mode":"{mode}"}},
            "policy_limits":{{"dial_timeout_ns":250000000,"send_cap":2,"retry_after":true,
                              "max_retry_after_ns":1500000000}},
            "safety":{{"drain_grace_ns":500000000}}}}}}"#,
        list(1, true, &cached),
        listener("chat", "idempotent"),
        listener("pay", "at_most_once"),
    )
}

/// Starts a proxy with these servers as the cached endpoint list, whose discovery refuses connections.
pub(crate) fn start_with_servers(servers: &[SocketAddr]) -> Proxy {
    start(servers, refusing_address(), "proxy", 1024)
}

/// Establishes a session; returns the client's and the server's connection.
pub(crate) fn establish(proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    establish_with(&open_line("c=chat,t=acme,d=2000,g=3"), proxy, listener)
}

/// Establishes a session with this first line; returns the client's and the server's connection.
pub(crate) fn establish_with(first_line: &str, proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    let mut client = Peer::connect(proxy, first_line);
    let mut server = Peer::accept(listener);
    assert_eq!(server.receive_line().split(' ').nth(1), first_line.split(' ').nth(1));
    server.send("UP 77\r\n");
    assert_eq!(client.receive_line(), "UP 77\r\n");
    (client, server)
}

/// Receives one request for the endpoint list and returns its path.
pub(crate) fn receive_request(connection: &mut Peer) -> String {
    let request_line = connection.receive_line();
    let mut last = request_line.clone();
    while last != "\r\n" {
        assert!(!last.is_empty(), "the connection ended before the request was complete");
        last = connection.receive_line();
    }
    request_line.split(' ').nth(1).unwrap().to_owned()
}

/// Sends a successful response with this body.
pub(crate) fn respond(connection: &mut Peer, body: &str) {
    connection.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// Waits until the first metrics have these values, in the order of the text format: per listener accepted, rejected,
/// failed; then attempts, sessions in progress, endpoints listed.
pub(crate) fn wait_for_metrics<const N: usize>(proxy: &Proxy, expected: [u32; N]) {
    wait_until(|| metrics(proxy)[..N] == expected);
}

/// Waits until three metrics that all listeners share have these values: attempts, sessions in progress, endpoints.
pub(crate) fn wait_for_shared_metrics(proxy: &Proxy, expected: [u32; 3]) {
    wait_until(|| {
        ["app.upstream_tries", "app.in_progress", "app.known_servers"].map(|name| metric(proxy, name))
            == expected
    });
}

/// Returns the value of a metric.
pub(crate) fn metric(proxy: &Proxy, name: &str) -> u32 {
    let text = proxy.metrics.text();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap()
}

/// Returns the values of all metrics, in the order of the text format.
fn metrics(proxy: &Proxy) -> Vec<u32> {
    let value = |line: &str| line.rsplit_once('=').unwrap().1.parse().unwrap();
    proxy.metrics.text().lines().map(value).collect()
}

/// Waits until a condition holds, and fails the test if it does not within [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition does not hold after {WAIT_TIMEOUT:?}");
        thread::yield_now();
    }
}

/// A server at which no connection is established until [`FullBacklog::listen`]: its backlog is full, and the kernel of
/// a client that connects meanwhile repeats the SYN after a second.
pub(crate) struct FullBacklog {
    listener: TcpListener,
    address: SocketAddr,
    /// The connection that fills the backlog.
    queued: TcpStream,
}

impl FullBacklog {
    /// Creates the server, and returns it with its address.
    pub(crate) fn new() -> (Self, SocketAddr) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        (Self { listener, address, queued: TcpStream::connect(address).unwrap() }, address)
    }

    /// Waits until a client tries to connect.
    pub(crate) fn wait_for_connection_attempt(&self) {
        // The client's entry in /proc/net/tcp: the remote address, and the state SYN_SENT.
        let connecting_entry = format!(":{:04X} 02", self.address.port());
        wait_until(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&connecting_entry));
    }

    /// Frees the backlog, so that connections are established.
    pub(crate) fn listen(self) -> TcpListener {
        drop((self.listener.accept().unwrap(), self.queued));
        self.listener
    }
}

/// Returns the first lines sent so far to a server on connections that it has not accepted yet.
pub(crate) fn non_empty_first_lines(listener: &TcpListener) -> Vec<String> {
    pending_first_lines(listener).into_iter().filter(|line| !line.is_empty()).collect()
}

/// Returns the first line of each connection made so far to a server that has not accepted it yet; empty if none was
/// sent.
pub(crate) fn pending_first_lines(listener: &TcpListener) -> Vec<String> {
    // Connections are accepted in order, so all others come before this one.
    let last = Peer::connect(listener.local_addr().unwrap(), "the last\r\n");
    let lines = std::iter::repeat_with(|| Peer::accept(listener).receive_line());
    let lines = lines.take_while(|line| line != "the last\r\n").collect();
    drop(last);
    lines
}
