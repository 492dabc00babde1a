//! The program never opens more descriptors than its limit, whatever clients and the endpoint list do.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, WAIT_TIMEOUT, open_line};
use stage::{config, endpoint, list, listen, receive_request, respond, wait_until};

/// The program with few descriptors, and a thread that counts those that it has open all the time.
struct Program {
    child: Child,
    address: SocketAddr,
    ends: Arc<AtomicBool>,
    counter: Option<JoinHandle<usize>>,
}

impl Program {
    /// Starts it with a configured limit, and with another one of the system.
    fn start(agent: SocketAddr, configured: usize, allowed: usize) -> Self {
        let path = std::env::temp_dir()
            .join(format!("larklink-few-{}-{configured}-{allowed}.json", std::process::id()));
        // Endpoints are checked before their first session, and a slow answer does not make them count as overloaded.
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
        let started = log.find_map(|l| l.split_once("listen=").map(|(_, at)| at.parse().unwrap()));
        std::fs::remove_file(&path).unwrap();
        thread::spawn(move || log.for_each(drop));
        let (folder, ends) = (format!("/proc/{}/fd", child.id()), Arc::new(AtomicBool::new(false)));
        let done = Arc::clone(&ends);
        let counter = thread::spawn(move || {
            let mut most = 0;
            while !done.load(Relaxed) {
                most = most.max(std::fs::read_dir(&folder).unwrap().count());
            }
            most
        });
        Self { child, address: started.unwrap(), ends, counter: Some(counter) }
    }

    /// The most descriptors that it has had open.
    fn most(&mut self) -> usize {
        self.ends.store(true, Relaxed);
        self.counter.take().unwrap().join().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.ends.store(true, Relaxed);
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

/// Endpoints at one address: health checks are answered and counted, sessions accepted.
fn endpoints() -> (SocketAddr, Arc<AtomicUsize>) {
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

/// Clients that send nothing: `size` of them at once, and another for each that is evicted, up to `all`.
fn idle_clients(at: SocketAddr, size: usize, all: usize) -> JoinHandle<VecDeque<TcpStream>> {
    let mut held: VecDeque<_> = (0..size).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(Peer::new(held.pop_front().unwrap()).receive_line(), "BUSY\r\n", "the limit is full");
    thread::spawn(move || {
        for _ in size..all {
            let mut oldest = held.pop_front().unwrap();
            let _ = oldest.read_to_end(&mut Vec::new());
            let Ok(next) = TcpStream::connect(at) else { break };
            held.push_back(next);
        }
        held
    })
}

/// Discovery is down when the proxy starts and many idle clients connect; then it returns with one list after another.
/// Each list arrives, sessions are accepted by its endpoints, and the limit holds at any moment.
fn holds_the_limit(configured: usize, allowed: usize, lists: &[usize]) {
    let limit = configured.min(allowed);
    let (at, health_checks) = endpoints();
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
    let mut held = Vec::new();
    for (n, &length) in lists.iter().enumerate() {
        let names = |n: usize| endpoint(&format!("s-{n}"), at, "up");
        let index = n as u64 + 1;
        respond(&mut watch, &list(index, true, &(0..length).map(names).collect::<Vec<_>>()));
        assert!(receive_request(&mut watch).contains(&format!("after={index}&")));
        let before = health_checks.load(Relaxed);
        for group in 0..length.min(limit / 8) {
            let mut client =
                Peer::connect(proxy, &open_line(&format!("c=chat,t=acme,d=9000,g={group:x}{n:x}")));
            assert_eq!(client.receive_line(), "UP 1\r\n", "session {group} of list {length}");
            held.push(client);
        }
        wait_until(|| health_checks.load(Relaxed) >= before + length.min(limit / 8) / 2);
    }
    drop(held);
    let most = program.most();
    assert!(most <= limit, "{most} of {limit} descriptors");
}

#[test]
fn with_many_idle_clients_the_list_arrives_when_discovery_returns_and_the_limit_holds() {
    holds_the_limit(192, 1000, &[256]);
}

#[test]
fn a_growing_list_evicts_idle_clients_within_the_limit() {
    holds_the_limit(400, 1000, &[1, 16, 60, 1024]);
}

#[test]
fn a_lower_limit_of_the_system_goes_before_the_configured_one() {
    holds_the_limit(1000, 192, &[256]);
}
