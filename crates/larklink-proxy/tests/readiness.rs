//! A starting process is ready within seconds in the worst conditions, well before the ten seconds within which nine in
//! ten processes have to be.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

mod harness;
use harness::peer::Peer;
use harness::{
    FullBacklog, config, endpoint, establish, list, listen, receive_request, refusing_address, respond,
    start_on, wait_until,
};

const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Clients that send health checks and read the answers until stopped, and one client, connected after them, that sends
/// a single health check.
struct Flood {
    stop: Arc<AtomicBool>,
    /// How many answers the others got before the single client got its own; set once it has.
    answers_before: Arc<OnceLock<usize>>,
    thread: JoinHandle<()>,
}

impl Flood {
    const CLIENTS: usize = 600;

    fn new(to: SocketAddr) -> Self {
        let (stop, answers_before) = (Arc::new(AtomicBool::new(false)), Arc::new(OnceLock::new()));
        let (stopped, counted) = (Arc::clone(&stop), Arc::clone(&answers_before));
        let mut clients: Vec<_> = (0..Self::CLIENTS).map(|_| TcpStream::connect(to).unwrap()).collect();
        let lines = "PING\r\n".repeat(500);
        for client in &mut clients {
            client.write_all(lines.as_bytes()).unwrap();
            client.set_nonblocking(true).unwrap();
        }
        let mut single = TcpStream::connect(to).unwrap();
        single.write_all(b"PING\r\n").unwrap();
        single.set_nonblocking(true).unwrap();
        let thread = thread::spawn(move || {
            let mut answers = 0;
            let mut bytes = vec![0; 64 << 10];
            while !stopped.load(Relaxed) {
                for client in &mut clients {
                    if counted.get().is_none() && single.read(&mut bytes).is_ok() {
                        let _ = counted.set(answers);
                    }
                    if let Ok(n) = client.read(&mut bytes) {
                        answers += n / "PONG\r\n".len();
                        let _ = client.write(lines.as_bytes());
                    }
                }
            }
        });
        Self { stop, answers_before, thread }
    }

    fn end(self) {
        self.stop.store(true, Relaxed);
        self.thread.join().unwrap();
    }
}

/// The conditions under which a process starts.
enum Conditions {
    /// Hundreds of clients that send health checks without end, connected before the process starts.
    Flood,
    /// A list of 1,024 endpoints, both cached and sent by discovery.
    LongList,
    /// Discovery accepts connections and never responds.
    DiscoverySilent,
    /// Connections to discovery are never established.
    DiscoveryBacklogFull,
    /// Discovery refuses connections.
    DiscoveryDown,
    /// This text takes the place of the cached list.
    InvalidCachedList(&'static str),
}

const INVALID_LISTS: [&str; 7] = [
    "null",
    "7",
    r#""the list""#,
    r#"{"index":"x"}"#,
    r#"{"index":41,"endpoints":null}"#,
    r#"{"index":41,"endpoints":[]}"#,
    r#"{"index":-1e300,"snapshot":7,"endpoints":[{"name":7},null,{"name":"s-1","address":"x","status":"up"},ENDPOINT]}"#,
];

/// Guards against two failures. Clients that sent health checks without end occupied the proxy's thread, which accepted
/// only one connection per two hundred task switches, so that a health check waited for minutes. And an invalid
/// cached list kept the process from starting.
#[test]
fn a_process_is_ready_within_seconds_under_all_conditions() {
    let invalid_lists = INVALID_LISTS.into_iter().map(Conditions::InvalidCachedList);
    let conditions = [
        Conditions::Flood,
        Conditions::LongList,
        Conditions::DiscoverySilent,
        Conditions::DiscoveryBacklogFull,
        Conditions::DiscoveryDown,
    ];
    let runs = conditions.into_iter().chain(invalid_lists);
    let runs: Vec<_> =
        runs.map(|conditions| thread::spawn(move || assert_ready_in_time(&conditions))).collect();
    for run in runs {
        run.join().unwrap();
    }
}

fn assert_ready_in_time(conditions: &Conditions) {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let (_full_backlog, unreachable) = FullBacklog::new();
    let proxy_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // The same backlog as in the program.
    socket2::SockRef::from(&proxy_listener).listen(1024).unwrap();
    let address = proxy_listener.local_addr().unwrap();
    let all: Vec<_> = (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), at, "up")).collect();
    let (discovery, endpoints) = match conditions {
        Conditions::DiscoveryBacklogFull => (unreachable, 1),
        Conditions::DiscoveryDown | Conditions::InvalidCachedList(_) => (refusing_address(), 1),
        Conditions::LongList | Conditions::Flood => (discovery, 1024),
        Conditions::DiscoverySilent => (discovery, 1),
    };
    let mut config = config(&vec![at; endpoints], discovery, "proxy", 1024);
    if let Conditions::InvalidCachedList(invalid) = conditions {
        let cached = list(1, true, &[endpoint("s-0", at, "up")]);
        assert!(config.contains(&cached));
        config = config.replace(&cached, &invalid.replace("ENDPOINT", &endpoint("s-0", at, "up")));
    }
    // Keeps the agent's socket open to the end; the thread below ends when the next poll shows that the list arrived.
    let silent_agent = agent.try_clone().unwrap();
    let responder = matches!(conditions, Conditions::LongList | Conditions::Flood).then(|| {
        thread::spawn(move || {
            let mut watch = Peer::accept(&agent);
            receive_request(&mut watch);
            respond(&mut watch, &list(41, true, &all));
            receive_request(&mut watch);
        })
    });
    let flood = matches!(conditions, Conditions::Flood).then(|| Flood::new(address));
    let started = Instant::now();
    let proxy = start_on(proxy_listener, &config);
    let mut health_check = Peer::connect(address, "PING\r\n");
    assert_eq!(health_check.receive_line(), "PONG\r\n");
    if let Some(flood) = &flood {
        wait_until(|| flood.answers_before.get().is_some());
        let answers = flood.answers_before.get().unwrap();
        assert!(*answers < 40 * Flood::CLIENTS, "{answers} answers went to other clients first");
    }
    if let Some(responder) = responder {
        responder.join().unwrap();
    }
    wait_until(|| proxy.metrics.is_ready());
    assert!(started.elapsed() < READY_TIMEOUT, "ready after {:?}", started.elapsed());
    if !matches!(conditions, Conditions::InvalidCachedList(invalid) if !invalid.contains("ENDPOINT")) {
        establish(address, &listener);
    }
    if let Some(flood) = flood {
        flood.end();
    }
    drop(silent_agent);
}
