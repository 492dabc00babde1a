//! A process that starts is ready long before the ten seconds that nine in ten have, in the worst surroundings.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

mod stage;
use stage::peer::Peer;
use stage::{
    FullBacklog, config, endpoint, establish, list, listen, receive_request, refusing_address, respond,
    start_on, wait_until,
};

const READY: Duration = Duration::from_secs(5);

/// Clients that probe without end and read each answer, until told to stop; and, connected behind them, one that probes
/// once.
struct Flood {
    stop: Arc<AtomicBool>,
    /// How many answers the others had before that one had its own, once it has.
    before: Arc<OnceLock<usize>>,
    thread: JoinHandle<()>,
}

impl Flood {
    const CLIENTS: usize = 600;

    fn new(to: SocketAddr) -> Self {
        let (stop, before) = (Arc::new(AtomicBool::new(false)), Arc::new(OnceLock::new()));
        let (stopping, counted) = (Arc::clone(&stop), Arc::clone(&before));
        let mut all: Vec<_> = (0..Self::CLIENTS).map(|_| TcpStream::connect(to).unwrap()).collect();
        let lines = "PING\r\n".repeat(500);
        for one in &mut all {
            one.write_all(lines.as_bytes()).unwrap();
            one.set_nonblocking(true).unwrap();
        }
        let mut once = TcpStream::connect(to).unwrap();
        once.write_all(b"PING\r\n").unwrap();
        once.set_nonblocking(true).unwrap();
        let thread = thread::spawn(move || {
            let mut answers = 0;
            let mut bytes = vec![0; 64 << 10];
            while !stopping.load(Relaxed) {
                for one in &mut all {
                    if counted.get().is_none() && once.read(&mut bytes).is_ok() {
                        let _ = counted.set(answers);
                    }
                    if let Ok(n) = one.read(&mut bytes) {
                        answers += n / "PONG\r\n".len();
                        let _ = one.write(lines.as_bytes());
                    }
                }
            }
        });
        Self { stop, before, thread }
    }

    fn expect_end(self) {
        self.stop.store(true, Relaxed);
        self.thread.join().unwrap();
    }
}

/// What a start may meet.
enum Start {
    /// Hundreds who probe without end, connected before the process ran.
    Flood,
    /// A list of 1,024 servers, kept and told.
    Many,
    /// Discovery accepts and says nothing, cannot be connected to, or refuses connections.
    Silent,
    FullBacklog,
    Nobody,
    /// In place of the list that was kept, or of its servers, stands this.
    Spoilt(&'static str),
}

const GARBAGE: [&str; 7] = [
    "null",
    "7",
    r#""the list""#,
    r#"{"index":"x"}"#,
    r#"{"index":41,"endpoints":null}"#,
    r#"{"index":41,"endpoints":[]}"#,
    r#"{"index":-1e300,"snapshot":7,"endpoints":[{"name":7},null,{"name":"s-1","address":"x","status":"up"},SERVER]}"#,
];

/// In a flood a probe waited for minutes: who probed without end kept the one thread, which took a connection each two
/// hundred turns. And a kept list that could not be read kept the process from starting at all.
#[test]
fn a_process_is_ready_within_seconds_whatever_it_meets() {
    let spoilt = GARBAGE.into_iter().map(Start::Spoilt);
    let starts = [Start::Flood, Start::Many, Start::Silent, Start::FullBacklog, Start::Nobody]
        .into_iter()
        .chain(spoilt);
    let starts: Vec<_> = starts.map(|start| thread::spawn(move || is_ready_in_time(&start))).collect();
    for start in starts {
        start.join().unwrap();
    }
}

fn is_ready_in_time(start: &Start) {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let (_deaf, unheard) = FullBacklog::new();
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    // As the program listens.
    socket2::SockRef::from(&door).listen(1024).unwrap();
    let to = door.local_addr().unwrap();
    let all: Vec<_> = (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), at, "up")).collect();
    let (discovery, servers) = match start {
        Start::FullBacklog => (unheard, 1),
        Start::Nobody | Start::Spoilt(_) => (refusing_address(), 1),
        Start::Many | Start::Flood => (discovery, 1024),
        Start::Silent => (discovery, 1),
    };
    let mut config = config(&vec![at; servers], discovery, "proxy", 1024);
    if let Start::Spoilt(garbage) = start {
        let kept = list(1, true, &[endpoint("s-0", at, "up")]);
        assert!(config.contains(&kept));
        config = config.replace(&kept, &garbage.replace("SERVER", &endpoint("s-0", at, "up")));
    }
    // An agent of its own pace; the next call shows that the first was heard.
    let silent = agent.try_clone().unwrap();
    let tells = matches!(start, Start::Many | Start::Flood).then(|| {
        thread::spawn(move || {
            let mut watch = Peer::accept(&agent);
            receive_request(&mut watch);
            respond(&mut watch, &list(41, true, &all));
            receive_request(&mut watch);
        })
    });
    let flood = matches!(start, Start::Flood).then(|| Flood::new(to));
    let begun = Instant::now();
    let proxy = start_on(door, &config);
    let mut probe = Peer::connect(to, "PING\r\n");
    assert_eq!(probe.receive_line(), "PONG\r\n");
    if let Some(flood) = &flood {
        wait_until(|| flood.before.get().is_some());
        let before = flood.before.get().unwrap();
        assert!(*before < 40 * Flood::CLIENTS, "{before} answers went to others first");
    }
    if let Some(tells) = tells {
        tells.join().unwrap();
    }
    wait_until(|| proxy.metrics.is_ready());
    assert!(begun.elapsed() < READY, "ready after {:?}", begun.elapsed());
    if !matches!(start, Start::Spoilt(garbage) if !garbage.contains("SERVER")) {
        establish(to, &listener);
    }
    if let Some(flood) = flood {
        flood.expect_end();
    }
    drop(silent);
}
