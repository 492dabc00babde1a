//! Runs a complete proxy on loopback sockets; the test acts as its clients, its servers and the discovery service, line
//! by line.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
#![allow(dead_code, reason = "each test file uses a part")]
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
    /// Creates a hold, and the task that pauses the thread that runs it.
    pub(crate) fn new() -> (Self, impl Future<Output = ()>) {
        let (commands, received) = UnixStream::pair().unwrap();
        let (pausing, paused) = mpsc::channel();
        let task = async move {
            let received = Async::new(received).unwrap();
            let next = async || {
                let mut command = [0];
                let _ = received.readable().await;
                received.get_ref().read(&mut command).is_ok_and(|n| n > 0).then_some(command[0])
            };
            while next().await.is_some() {
                while pausing.send(()).is_ok() && async_io::block_on(next()) == Some(b's') {
                    future::yield_now().await;
                }
            }
        };
        (Self { commands, paused }, task)
    }

    /// Pauses the thread: the reactor still receives events, and no task runs.
    pub(crate) fn pause(&mut self) {
        self.command(b'x');
        self.paused.recv_timeout(WAIT_TIMEOUT).unwrap();
    }

    /// Runs the tasks that are ready once, but not those that they wake, and pauses the thread again.
    pub(crate) fn step(&mut self) {
        self.command(b's');
        self.paused.recv_timeout(WAIT_TIMEOUT).unwrap();
    }

    /// Resumes the thread.
    pub(crate) fn resume(&mut self) {
        self.command(b'g');
    }

    fn command(&mut self, command: u8) {
        self.commands.write_all(&[command]).unwrap();
    }
}

impl Peer {
    pub(crate) fn connect(to: SocketAddr, line: &str) -> Self {
        let mut peer = Self::new(TcpStream::connect(to).unwrap());
        peer.send(line);
        peer
    }

    pub(crate) fn accept(listener: &TcpListener) -> Self {
        Self::new(listener.accept().unwrap().0)
    }

    /// Closes the connection and waits until the kernel has reported the end to the peer's socket, whether or not the
    /// peer's process has noticed it.
    pub(crate) fn close_and_wait(self) {
        let of = |at: std::io::Result<SocketAddr>| format!("0100007F:{:04X}", at.unwrap().port());
        let (own, other) = (of(self.0.get_ref().local_addr()), of(self.0.get_ref().peer_addr()));
        drop(self);
        // The peer's entry in /proc/net/tcp: both addresses, and the state CLOSE_WAIT.
        let ended = format!("{other} {own} 08");
        wait_until(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&ended));
    }

    pub(crate) fn expect_end(&mut self) {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).unwrap();
        assert!(rest.is_empty(), "{:?} before the end", String::from_utf8_lossy(&rest));
    }

    pub(crate) fn expect_reset(&mut self) {
        assert_eq!(self.0.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

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

/// An address that refuses connections and is reserved, so that no other test uses it.
pub(crate) fn refusing_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

pub(crate) fn endpoint(name: &str, address: SocketAddr, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","status":"{status}","weight":1.0}}"#)
}

pub(crate) fn list(index: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

pub(crate) fn start(servers: &[SocketAddr], agent: SocketAddr, mode: &str, sockets: usize) -> Proxy {
    start_with_config(&config(servers, agent, mode, sockets))
}

pub(crate) fn start_with_config(config: &str) -> Proxy {
    start_on(TcpListener::bind("127.0.0.1:0").unwrap(), config)
}

/// Starts a proxy on a listener that may already have connections in its accept queue.
pub(crate) fn start_on(listener: TcpListener, config: &str) -> Proxy {
    let config: Config = serde_json::from_str(config).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = async_channel::bounded(1);
    let (_, moved) = async_channel::bounded(1);
    let metrics = Metrics::new(&config.settings.listeners);
    let counted = Arc::clone(&metrics);
    let (hold, holding) = ThreadHold::new();
    let thread = thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let options = ProxyOptions {
            config,
            listener,
            shutdown: stopping,
            discovery_addresses: moved,
            metrics: counted,
            socket_path: None,
            predecessor: None,
        };
        executor.spawn(holding).detach();
        let run = proxy::run(options, Rc::clone(&executor));
        async_io::block_on(executor.run(run)).unwrap();
    });
    Proxy { address, stop, thread, metrics, hold }
}

pub(crate) fn config(servers: &[SocketAddr], agent: SocketAddr, mode: &str, sockets: usize) -> String {
    let known: Vec<_> =
        servers.iter().enumerate().map(|(n, a)| endpoint(&format!("s-{n}"), *a, "up")).collect();
    let grade = |name: &str, kind: &str| {
        format!(r#"{{"name":"{name}","idempotency":"{kind}","aim_ns":500000000,"deadline_ns":300000000}}"#)
    };
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{agent}","seed":"7","limits":{{"sockets":{sockets}}},
            "known":{},"settings":{{"grades":[{},{}],"domain":{{"mode":"{mode}"}},
            "policy_limits":{{"dial_timeout_ns":250000000,"send_cap":2,"retry_after":true,
                              "max_retry_after_ns":1500000000}},
            "safety":{{"drain_grace_ns":500000000}}}}}}"#,
        list(1, true, &known),
        grade("chat", "idempotent"),
        grade("pay", "at_most_once"),
    )
}

pub(crate) fn start_with_servers(servers: &[SocketAddr]) -> Proxy {
    start(servers, refusing_address(), "proxy", 1024)
}

/// Establishes a session; returns the client's and the server's connection.
pub(crate) fn establish(proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    establish_with(&open_line("c=chat,t=acme,d=2000,g=3"), proxy, listener)
}

pub(crate) fn establish_with(head: &str, proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    let mut client = Peer::connect(proxy, head);
    let mut server = Peer::accept(listener);
    assert_eq!(server.receive_line().split(' ').nth(1), head.split(' ').nth(1));
    server.send("UP 77\r\n");
    assert_eq!(client.receive_line(), "UP 77\r\n");
    (client, server)
}

/// Receives one request for the endpoint list and returns its path.
pub(crate) fn receive_request(agent: &mut Peer) -> String {
    let line = agent.receive_line();
    let mut last = line.clone();
    while last != "\r\n" {
        assert!(!last.is_empty(), "the connection ended before the request was complete");
        last = agent.receive_line();
    }
    line.split(' ').nth(1).unwrap().to_owned()
}

pub(crate) fn respond(agent: &mut Peer, body: &str) {
    agent.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// Waits until the first metrics, in the order of the text format, have these values.
pub(crate) fn metrics_become<const N: usize>(proxy: &Proxy, want: [u32; N]) {
    wait_until(|| metrics(proxy)[..N] == want);
}

/// Waits until the metrics that follow the answer counts have these values: attempts, sessions in progress, endpoints.
pub(crate) fn last_metrics_become(proxy: &Proxy, want: [u32; 3]) {
    wait_until(|| {
        ["app.upstream_tries", "app.in_progress", "app.known_servers"].map(|name| metric(proxy, name)) == want
    });
}

pub(crate) fn metric(proxy: &Proxy, name: &str) -> u32 {
    let text = proxy.metrics.text();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap()
}

fn metrics(proxy: &Proxy) -> Vec<u32> {
    let value = |line: &str| line.rsplit_once('=').unwrap().1.parse().unwrap();
    proxy.metrics.text().lines().map(value).collect()
}

/// Waits until a condition holds.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "the condition never holds");
        thread::yield_now();
    }
}

/// A server at which no connection is established until [`FullBacklog::listen`]: its backlog is full, and the kernel of
/// a client that connects meanwhile repeats the SYN after a second.
pub(crate) struct FullBacklog {
    listener: TcpListener,
    at: SocketAddr,
    first: TcpStream,
}

impl FullBacklog {
    pub(crate) fn new() -> (Self, SocketAddr) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        (Self { listener, at, first: TcpStream::connect(at).unwrap() }, at)
    }

    /// Waits until a client tries to connect.
    pub(crate) fn wait_for_connection_attempt(&self) {
        // The client's entry in /proc/net/tcp: the remote address, and the state SYN_SENT.
        let wanted = format!(":{:04X} 02", self.at.port());
        wait_until(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&wanted));
    }

    /// Frees the backlog, so that connections are established.
    pub(crate) fn listen(self) -> TcpListener {
        drop((self.listener.accept().unwrap(), self.first));
        self.listener
    }
}

/// The first lines sent so far to a server on connections that were not accepted yet.
pub(crate) fn open_lines(listener: &TcpListener) -> Vec<String> {
    first_lines(listener).into_iter().filter(|line| !line.is_empty()).collect()
}

/// The first line on each connection that was made so far to a server and not accepted yet; empty where none was sent.
pub(crate) fn first_lines(listener: &TcpListener) -> Vec<String> {
    let last = Peer::connect(listener.local_addr().unwrap(), "the last\r\n");
    let all = std::iter::repeat_with(|| Peer::accept(listener).receive_line());
    let all = all.take_while(|line| line != "the last\r\n").collect();
    drop(last);
    all
}
