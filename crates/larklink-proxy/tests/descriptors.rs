//! The program never opens more descriptors than its limit, regardless of its clients and the endpoint list.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

mod harness;
use harness::peer::{Peer, WAIT_TIMEOUT, open_line};
use harness::{config, endpoint, list, listen, receive_request, respond, wait_until};

/// The program with a low descriptor limit, and a thread that continuously counts its open descriptors.
struct Program {
    child: Child,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    counter: Option<JoinHandle<usize>>,
}

impl Program {
    /// Starts the program with a configured limit and a limit of the system.
    fn start(agent: SocketAddr, configured: usize, allowed: usize) -> Self {
        let path = std::env::temp_dir()
            .join(format!("larklink-few-{}-{configured}-{allowed}.json", std::process::id()));
        // Endpoints are health-checked before their first session, and slow answers do not count as overload.
        let config = config(&[], agent, "proxy", configured)
            .replace(r#""send_cap""#, r#""probing":true,"send_cap""#)
            .replace(r#""domain":{"#, r#""domain":{"message_aim_ns":[20000000000],"#);
        std::fs::write(&path, config).unwrap();
        let program = Command::new("sh")
            .args(["-c", r#"ulimit -n "$1" && exec "$2" "$3""#, "sh", &allowed.to_string()])
            .args([env!("CARGO_BIN_EXE_larklink").as_ref(), path.as_os_str()])
            .stderr(Stdio::piped())
            .spawn();
        let mut child = program.unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let address = log.find_map(|l| l.split_once("listen=").map(|(_, at)| at.parse().unwrap()));
        std::fs::remove_file(&path).unwrap();
        thread::spawn(move || log.for_each(drop));
        let (directory, stop) = (format!("/proc/{}/fd", child.id()), Arc::new(AtomicBool::new(false)));
        let stopped = Arc::clone(&stop);
        let counter = thread::spawn(move || {
            let mut max = 0;
            while !stopped.load(Relaxed) {
                max = max.max(std::fs::read_dir(&directory).unwrap().count());
            }
            max
        });
        Self { child, address: address.unwrap(), stop, counter: Some(counter) }
    }

    /// Stops the counter, and returns the largest number of descriptors that were open at a time.
    fn max_open_descriptors(&mut self) -> usize {
        self.stop.store(true, Relaxed);
        self.counter.take().unwrap().join().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

/// Starts a server that all endpoints share. It accepts sessions, and answers and counts health checks.
fn start_endpoints() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, at) = listen();
    socket2::SockRef::from(&listener).set_read_timeout(None).unwrap();
    let health_checks = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&health_checks);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counted = Arc::clone(&counted);
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut line = String::new();
                while from.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let answer: &[u8] = match line.split(' ').next().unwrap_or("") {
                        "OPEN" => b"UP 1\r\n",
                        _ => b"PONG\r\n",
                    };
                    if std::io::Write::write_all(&mut &stream, answer).is_err() {
                        break;
                    }
                    counted.fetch_add(usize::from(answer == b"PONG\r\n"), Relaxed);
                    line.clear();
                }
            });
        }
    });
    (at, health_checks)
}

/// Connects `concurrent` clients that send nothing, and a further one for each that is evicted, up to `total`.
fn idle_clients(at: SocketAddr, concurrent: usize, total: usize) -> JoinHandle<VecDeque<TcpStream>> {
    let mut clients: VecDeque<_> = (0..concurrent).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(Peer::new(clients.pop_front().unwrap()).receive_line(), "BUSY\r\n", "the limit is full");
    thread::spawn(move || {
        for _ in concurrent..total {
            let mut oldest = clients.pop_front().unwrap();
            let _ = oldest.read_to_end(&mut Vec::new());
            let Ok(next) = TcpStream::connect(at) else { break };
            clients.push_back(next);
        }
        clients
    })
}

/// Discovery is down while the proxy starts and many idle clients connect; then it returns and sends one list after
/// another. Each list arrives, its endpoints accept sessions, and the limit is never exceeded.
fn assert_limit_holds(configured: usize, allowed: usize, lists: &[usize]) {
    let limit = configured.min(allowed);
    let (at, health_checks) = start_endpoints();
    let agent = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    agent.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let mut program = Program::start(agent.local_addr().unwrap().as_socket().unwrap(), configured, allowed);
    let proxy = program.address;
    let clients = idle_clients(proxy, limit + 50, limit + 1500);
    let _clients = clients.join().unwrap();
    agent.listen(8).unwrap();
    agent.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (returned, agent) = (Instant::now(), TcpListener::from(agent));
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    assert!(returned.elapsed() < Duration::from_secs(6), "{:?}", returned.elapsed());
    let mut sessions = Vec::new();
    for (n, &length) in lists.iter().enumerate() {
        let entry = |n: usize| endpoint(&format!("s-{n}"), at, "up");
        let index = n as u64 + 1;
        respond(&mut watch, &list(index, true, &(0..length).map(entry).collect::<Vec<_>>()));
        assert!(receive_request(&mut watch).contains(&format!("after={index}&")));
        let before = health_checks.load(Relaxed);
        for group in 0..length.min(limit / 8) {
            let mut client =
                Peer::connect(proxy, &open_line(&format!("c=chat,t=acme,d=9000,g={group:x}{n:x}")));
            assert_eq!(client.receive_line(), "UP 1\r\n", "session {group} of list {length}");
            sessions.push(client);
        }
        wait_until(|| health_checks.load(Relaxed) >= before + length.min(limit / 8) / 2);
    }
    drop(sessions);
    let max = program.max_open_descriptors();
    assert!(max <= limit, "{max} open descriptors, limit {limit}");
}

#[test]
fn with_many_idle_clients_the_list_arrives_when_discovery_returns_and_the_limit_holds() {
    assert_limit_holds(192, 1000, &[256]);
}

#[test]
fn a_growing_list_evicts_idle_clients_within_the_limit() {
    assert_limit_holds(400, 1000, &[1, 16, 60, 1024]);
}

#[test]
fn a_lower_system_limit_overrides_the_configured_one() {
    assert_limit_holds(1000, 192, &[256]);
}
