//! A whole proxy on loopback sockets, with servers, an agent and clients that a test holds in its hands, line by line.
#![allow(dead_code, reason = "each file of tests uses a part")]
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
pub mod peer;
use peer::{PATIENCE, Peer, open};

pub struct Proxy {
    pub address: SocketAddr,
    pub stop: Sender<()>,
    pub thread: JoinHandle<()>,
    pub figures: Arc<Metrics>,
    pub hold: Hold,
}

/// Holds a proxy's thread, so that what happens meanwhile happens in the order that a test wants.
pub struct Hold {
    bell: UnixStream,
    held: mpsc::Receiver<()>,
}

impl Hold {
    /// Also a task for the thread that is to be held.
    pub fn new() -> (Self, impl Future<Output = ()>) {
        let ((bell, rung), (tell, held)) = (UnixStream::pair().unwrap(), mpsc::channel());
        let task = async move {
            let rung = Async::new(rung).unwrap();
            let next = async || {
                let mut order = [0];
                let _ = rung.readable().await;
                rung.get_ref().read(&mut order).is_ok_and(|n| n > 0).then_some(order[0])
            };
            while next().await.is_some() {
                while tell.send(()).is_ok() && async_io::block_on(next()) == Some(b's') {
                    future::yield_now().await;
                }
            }
        };
        (Self { bell, held }, task)
    }

    /// The thread stands from here on: the reactor hears what comes, and no task acts.
    pub fn stop(&mut self) {
        self.order(b'x');
        self.held.recv_timeout(PATIENCE).unwrap();
    }

    /// Tasks that have heard something by now act, once; those whom they tell of it do not yet.
    pub fn step(&mut self) {
        self.order(b's');
        self.held.recv_timeout(PATIENCE).unwrap();
    }

    pub fn go(&mut self) {
        self.order(b'g');
    }

    fn order(&mut self, order: u8) {
        self.bell.write_all(&[order]).unwrap();
    }
}

impl Peer {
    pub fn connect(to: SocketAddr, line: &str) -> Self {
        let mut peer = Self::new(TcpStream::connect(to).unwrap());
        peer.say(line);
        peer
    }

    pub fn accept(listener: &TcpListener) -> Self {
        Self::new(listener.accept().unwrap().0)
    }

    /// It leaves, and the other side's kernel knows; its process need not.
    pub fn leaves(self) {
        let of = |at: std::io::Result<SocketAddr>| format!("0100007F:{:04X}", at.unwrap().port());
        let (own, other) = (of(self.0.get_ref().local_addr()), of(self.0.get_ref().peer_addr()));
        drop(self);
        // As the kernel lists it: both addresses, and that the far side has ended it.
        let ended = format!("{other} {own} 08");
        becomes(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&ended));
    }

    pub fn ends(&mut self) {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).unwrap();
        assert!(rest.is_empty(), "{:?} before the end", String::from_utf8_lossy(&rest));
    }

    pub fn breaks(&mut self) {
        assert_eq!(self.0.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    pub fn reset(self) {
        let stream = self.0.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

pub fn server() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // A connection that must come and does not fails the test instead of holding it up.
    socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address that refuses connections, and is kept from other tests.
pub fn nobody() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","status":"{status}","weight":1.0}}"#)
}

pub fn list(index: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

pub fn start(servers: &[SocketAddr], agent: SocketAddr, mode: &str, sockets: usize) -> Proxy {
    start_by(&config(servers, agent, mode, sockets))
}

pub fn start_by(config: &str) -> Proxy {
    serve_at(TcpListener::bind("127.0.0.1:0").unwrap(), config)
}

/// A proxy that finds connections waiting for it.
pub fn serve_at(listener: TcpListener, config: &str) -> Proxy {
    let config: Config = serde_json::from_str(config).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = async_channel::bounded(1);
    let (_, moved) = async_channel::bounded(1);
    let figures = Metrics::new(&config.settings.listeners);
    let counted = Arc::clone(&figures);
    let (hold, holding) = Hold::new();
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
    Proxy { address, stop, thread, figures, hold }
}

pub fn config(servers: &[SocketAddr], agent: SocketAddr, mode: &str, sockets: usize) -> String {
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

pub fn quiet(servers: &[SocketAddr]) -> Proxy {
    start(servers, nobody(), "proxy", 1024)
}

/// A client whose session stands at a server, both ends of it.
pub fn standing(proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    standing_by(&open("c=chat,t=acme,d=2000,g=3"), proxy, listener)
}

pub fn standing_by(head: &str, proxy: SocketAddr, listener: &TcpListener) -> (Peer, Peer) {
    let mut client = Peer::connect(proxy, head);
    let mut server = Peer::accept(listener);
    assert_eq!(server.hear().split(' ').nth(1), head.split(' ').nth(1));
    server.say("UP 77\r\n");
    assert_eq!(client.hear(), "UP 77\r\n");
    (client, server)
}

/// Reads one request of the watch: its path.
pub fn asked(agent: &mut Peer) -> String {
    let line = agent.hear();
    let mut last = line.clone();
    while last != "\r\n" {
        assert!(!last.is_empty(), "the call ended before all of it had come");
        last = agent.hear();
    }
    line.split(' ').nth(1).unwrap().to_owned()
}

pub fn told(agent: &mut Peer, body: &str) {
    agent.say(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// Waits until the figures are these, in the order in which they are told without their names.
pub fn figures_become<const N: usize>(proxy: &Proxy, want: [u32; N]) {
    becomes(|| figures(proxy)[..N] == want);
}

/// Waits until these are the figures behind the answers: tries, sessions in progress, servers.
pub fn figures_end(proxy: &Proxy, want: [u32; 3]) {
    becomes(|| {
        ["app.upstream_tries", "app.in_progress", "app.known_servers"].map(|name| figure(proxy, name)) == want
    });
}

pub fn figure(proxy: &Proxy, name: &str) -> u32 {
    let text = proxy.figures.text();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap()
}

fn figures(proxy: &Proxy) -> Vec<u32> {
    let figure = |line: &str| line.rsplit_once('=').unwrap().1.parse().unwrap();
    proxy.figures.text().lines().map(figure).collect()
}

/// Waits until it is so.
pub fn becomes(so: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !so() {
        assert!(Instant::now() < until, "it does not become so");
        thread::yield_now();
    }
}

/// A server on which connections do not come up until [`Deaf::listen`]: its queue is full, and who knocks meanwhile
/// knocks again a second later.
pub struct Deaf {
    listener: TcpListener,
    at: SocketAddr,
    first: TcpStream,
}

impl Deaf {
    pub fn new() -> (Self, SocketAddr) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        (Self { listener, at, first: TcpStream::connect(at).unwrap() }, at)
    }

    /// Waits until somebody knocks.
    pub fn is_knocked_at(&self) {
        // As the kernel lists it: the far address, and that a connection is being asked for.
        let wanted = format!(":{:04X} 02", self.at.port());
        becomes(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&wanted));
    }

    pub fn listen(self) -> TcpListener {
        drop((self.listener.accept().unwrap(), self.first));
        self.listener
    }
}

/// What has been sent to a server on connections that nobody answered, up to now.
pub fn heads(listener: &TcpListener) -> Vec<String> {
    connections(listener).into_iter().filter(|line| !line.is_empty()).collect()
}

/// The first line on each connection to a server, up to now; nothing where none was sent.
pub fn connections(listener: &TcpListener) -> Vec<String> {
    let last = Peer::connect(listener.local_addr().unwrap(), "the last\r\n");
    let all = std::iter::repeat_with(|| Peer::accept(listener).hear());
    let all = all.take_while(|line| line != "the last\r\n").collect();
    drop(last);
    all
}
