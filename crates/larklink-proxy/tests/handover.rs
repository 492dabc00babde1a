//! Processes of one proxy that take over from each other: the program itself on loopback, under clients that come
//! without pause. Every wait is for a line, an end or an exit that must come.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

use larklink_proxy::endpoint_list::Endpoint;
use larklink_proxy::handover::channel::message_channel;
use larklink_proxy::handover::messages::{HandoverMessage, VERSION, parse_message};
use larklink_proxy::limiter::ConnectionLimiter;
use rustix::process::{Pid, Signal, kill_process};

mod peer;
use peer::{Peer, WAIT_TIMEOUT, open_line};

/// A proxy's folder, address and configuration; its processes come and go.
struct Proxy {
    folder: PathBuf,
    listen: SocketAddr,
    /// Keeps the port from others; it is bound and never listens.
    _port: socket2::Socket,
}

struct Process {
    child: Child,
    admin_address: SocketAddr,
    /// Its log, read as it comes: a full pipe would hold its exit up.
    log: Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

impl Process {
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until its log says so.
    fn wait_for_log(&self, text: &str) {
        let said = |log: &Receiver<String>| log.recv_timeout(WAIT_TIMEOUT).expect("it never says so");
        while !said(&self.log).contains(text) {}
    }

    fn is_ready(&self) -> bool {
        let mut door = TcpStream::connect(self.admin_address).unwrap();
        door.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        door.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        let mut reply = String::new();
        door.read_to_string(&mut reply).unwrap();
        reply.starts_with("HTTP/1.1 200 ")
    }

    fn wait_until_ready(self) -> Self {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !self.is_ready() {
            assert!(Instant::now() < until, "it is never ready");
            thread::yield_now();
        }
        self
    }

    fn wait_for_exit(mut self) {
        assert!(self.child.wait().unwrap().success());
    }
}

impl Proxy {
    fn new(name: &str, mode: &str, server: SocketAddr, discovery: SocketAddr) -> Self {
        Self::with(name, mode, server, discovery, "{}")
    }

    fn with(name: &str, mode: &str, server: SocketAddr, discovery: SocketAddr, safety: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("larklink-{name}-{mode}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let port = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        port.set_reuse_address(true).unwrap();
        port.set_reuse_port(true).unwrap();
        port.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let listen = port.local_addr().unwrap().as_socket().unwrap();
        let config = format!(
            r#"{{"listen":"{listen}","discovery":"{discovery}","seed":"7","limits":{{"sockets":256}},
                "known":{{"index":1,"endpoints":[
                    {{"name":"s-0","address":"{server}","status":"up","weight":1.0}}]}},
                "settings":{{"grades":[{{"name":"chat","idempotency":"idempotent","aim_ns":400000000,"deadline_ns":500000000}}],
                    "domain":{{"mode":"{mode}"}},"safety":{safety},"policy_limits":{{"dial_timeout_ns":250000000,"send_cap":2}}}}}}"#
        );
        fs::write(folder.join("config.json"), config).unwrap();
        Self { folder, listen, _port: port }
    }

    fn socket_path(&self) -> PathBuf {
        self.folder.join(format!("larklink-{}", self.listen.to_string().replace(':', "-")))
    }

    fn start(&self) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_larklink"));
        command.arg(self.folder.join("config.json"));
        command.env("TMPDIR", &self.folder).env("ROUTER_CONSOLE", "127.0.0.1:0").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let (tell, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = tell.send(line)));
        let door = loop {
            let line = log.recv_timeout(WAIT_TIMEOUT).expect("it ended at its start");
            if let Some((_, door)) = line.split_once("console=") {
                break door.parse().unwrap();
            }
        };
        Process { child, admin_address: door, log }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A stop that came before it heard signals took it away as it stood, with what the kernel had accepted for it.
#[test]
fn a_process_that_is_stopped_as_it_starts_ends_in_good_order() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let proxy = Proxy::new("stopped-early", "proxy", nobody, nobody);
    // It is held at its start by a process that serves already and says nothing.
    let before = UnixListener::bind(proxy.socket_path()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_larklink"));
    command.arg(proxy.folder.join("config.json")).env("TMPDIR", &proxy.folder).stderr(Stdio::null());
    let mut child = command.env("ROUTER_CONSOLE", "127.0.0.1:0").spawn().unwrap();
    let met = before.accept().unwrap();
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    drop((met, before));
    let end = child.wait().unwrap();
    assert!(end.success(), "{end}");
}

/// A server that accepts every session, answers each line with the same line, and ends with the first that says
/// so.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream.unwrap());
                peer.0.get_ref().set_read_timeout(None).unwrap();
                peer.receive_line();
                peer.send("UP 1\r\nLOAD 40\r\n");
                loop {
                    match peer.receive_line() {
                        line if line.is_empty() => return,
                        line if line == "END\r\n" => return peer.send("BYE\r\n"),
                        line => peer.send(&line),
                    }
                }
            });
        }
    });
    at
}

/// An agent that never answers; it is as good as none.
fn silent_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An agent that tells the whole list at once, and nothing more.
fn discovery_service(server: SocketAddr) -> SocketAddr {
    let (listener, at) = silent_listener();
    let body = format!(
        r#"{{"index":2,"snapshot":true,"endpoints":[{{"name":"s-0","address":"{server}","status":"up"}}]}}"#
    );
    thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            let mut peer = Peer::new(stream.unwrap());
            while !matches!(peer.receive_line().as_str(), "\r\n" | "") {}
            let _ =
                write!(peer.0.get_mut(), "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            kept.push(peer);
        }
    });
    at
}

fn establish(proxy: &Proxy) -> Peer {
    let mut client = Peer::new(TcpStream::connect(proxy.listen).unwrap());
    client.send(&open_line("c=chat,t=acme,d=5000,g=3"));
    assert_eq!((client.receive_line(), client.receive_line()), ("UP 1\r\n".into(), "LOAD 40\r\n".into()));
    client
}

fn expect_echo(client: &mut Peer) {
    client.send("M 1\r\n");
    assert_eq!(client.receive_line(), "M 1\r\n");
}

/// Ten replacements, while clients come without pause, each with one answer, and sessions that stand go on unbroken
/// with what each side had said of a line.
#[test]
fn ten_replacements_lose_no_connection_and_break_no_session() {
    for mode in ["pass", "proxy"] {
        let server = echo_server();
        let proxy = Proxy::new("ten", mode, server, discovery_service(server));
        let mut process = proxy.start().wait_until_ready();
        let mut standing: Vec<_> = (0..20).map(|_| establish(&proxy)).collect();
        let over = AtomicBool::new(false);
        /// Lets the others end too where the test fails.
        struct Over<'a>(&'a AtomicBool);
        impl Drop for Over<'_> {
            fn drop(&mut self) {
                self.0.store(true, Relaxed);
            }
        }
        thread::scope(|scope| {
            let come = || {
                let mut served = 0;
                while !over.load(Relaxed) {
                    let mut client = establish(&proxy);
                    client.send("END\r\n");
                    assert_eq!(client.receive_line(), "BYE\r\n");
                    assert_eq!(client.receive_line(), "");
                    served += 1;
                }
                served
            };
            let comers: Vec<_> = (0..4).map(|_| scope.spawn(come)).collect();
            let ends = Over(&over);
            for _ in 0..10 {
                standing.iter_mut().for_each(|c| c.send("half"));
                let next = proxy.start().wait_until_ready();
                process.signal(Signal::TERM);
                std::mem::replace(&mut process, next).wait_for_exit();
                for client in &mut standing {
                    client.send(" of it\r\n");
                    assert_eq!(client.receive_line(), "half of it\r\n");
                    expect_echo(client);
                }
            }
            drop(ends);
            assert!(comers.into_iter().all(|c| c.join().unwrap() > 10));
        });
    }
}

/// A server that drops each session as soon as it has come, and how many have.
fn dropping_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, at) = silent_listener();
    let come = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&come);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut peer, count) = (Peer::new(stream.unwrap()), Arc::clone(&count));
            thread::spawn(move || {
                let mut line = String::new();
                let _ = peer.0.read_line(&mut line);
                count.fetch_add(usize::from(line.starts_with("OPEN")), Relaxed);
            });
        }
    });
    (at, come)
}

/// Both processes of a proxy together keep its retry budget: the one that takes over has no free dial of its own while the
/// old one's still count. Of two free ones in a minute the old one makes one at once.
#[test]
fn a_ration_of_further_dials_holds_for_both_processes_together() {
    let (server, come) = dropping_server();
    let safety = r#"{"budget_free":2,"extra_per_request":0,"counted_over_ns":60000000000}"#;
    let proxy = Proxy::with("retry_budget", "proxy", server, discovery_service(server), safety);
    let refused = || {
        let mut client = Peer::new(TcpStream::connect(proxy.listen).unwrap());
        client.send(&open_line("c=chat,t=acme,d=5000,g=3"));
        assert!(client.receive_line().starts_with("BUSY"));
    };
    let old = proxy.start().wait_until_ready();
    (0..3).for_each(|_| refused());
    assert_eq!(come.load(Relaxed), 3 + 1);
    let new = proxy.start().wait_until_ready();
    old.signal(Signal::TERM);
    old.wait_for_exit();
    (0..3).for_each(|_| refused());
    assert_eq!(come.load(Relaxed), 4 + 3, "the new process spent what was free once more");
    drop(new);
}

/// Whoever of the two is stopped or dies, the one that is left serves on in full.
#[test]
fn the_process_that_is_left_serves_on() {
    let server = echo_server();
    let (_mute, silent) = silent_listener();
    let proxy = Proxy::new("left", "proxy", server, silent);
    let old = proxy.start().wait_until_ready();
    let mut client = establish(&proxy);
    // One that dies before it is ready: with a discovery that says nothing that takes it a while.
    let early = proxy.start();
    assert!(!early.is_ready());
    drop(early);
    old.wait_for_log("new process lost");
    expect_echo(&mut establish(&proxy));
    // One that dies after it was ready, and before the old one was stopped.
    drop(proxy.start().wait_until_ready());
    old.wait_for_log("successor lost, accepting connections again");
    expect_echo(&mut establish(&proxy));
    expect_echo(&mut client);
    // The old one is stopped before the new one is ready, and gives it what stands at once.
    let new = proxy.start();
    assert!(!new.is_ready());
    old.signal(Signal::TERM);
    new.wait_for_log("takeover complete");
    old.wait_for_exit();
    expect_echo(&mut establish(&proxy));
    expect_echo(&mut client);
    // Two new ones at once: one takes over from the other.
    let (one, two) = (proxy.start(), proxy.start());
    let (one, two) = (one.wait_until_ready(), two.wait_until_ready());
    new.signal(Signal::TERM);
    new.wait_for_exit();
    one.signal(Signal::TERM);
    two.signal(Signal::TERM);
    let mut last = proxy.start().wait_until_ready();
    one.wait_for_exit();
    two.wait_for_exit();
    expect_echo(&mut establish(&proxy));
    last.signal(Signal::KILL);
    let _ = last.child.wait();
    // What a killed one leaves behind in the folder keeps no other from its start.
    let _last = proxy.start().wait_until_ready();
    expect_echo(&mut establish(&proxy));
}

#[test]
fn who_meets_nonsense_starts_without_it() {
    let server = echo_server();
    let old_version = r#"{"offer":{"version":7,"list":[]}}"#;
    let long = "x".repeat(2 << 20);
    for said in ["", "hello\n", old_version, "{\"offer\":", "{\"take\":null}\n", "\"stops\"\n", &long] {
        let proxy = Proxy::new("nonsense", "proxy", server, discovery_service(server));
        let place = UnixListener::bind(proxy.socket_path()).unwrap();
        let said = said.to_owned();
        let speaks = thread::spawn(move || {
            let (mut met, _) = place.accept().unwrap();
            // It may hang up before all is said.
            let _ = met.write_all(said.as_bytes());
            if said.ends_with('\n') {
                let _ = met.read(&mut [0]);
            }
        });
        let _process = proxy.start().wait_until_ready();
        speaks.join().unwrap();
        expect_echo(&mut establish(&proxy));
    }
}

/// It asked again and again, twenty times a second, for as long as the other hung.
#[test]
fn who_is_told_that_another_was_faster_is_ready_even_if_that_one_never_serves() {
    let server = echo_server();
    let proxy = Proxy::new("rival", "proxy", server, discovery_service(server));
    let place = UnixListener::bind(proxy.socket_path()).unwrap();
    let door = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    door.set_reuse_port(true).unwrap();
    door.bind(&proxy.listen.into()).unwrap();
    door.listen(1).unwrap();
    thread::spawn(move || {
        for met in place.incoming() {
            let (mut reader, writer) = message_channel(async_io::Async::new(met.unwrap()).unwrap());
            async_io::block_on(async {
                let offer = HandoverMessage::Offer { version: VERSION, endpoints: Vec::new() };
                let _ = writer.send(&offer, &[door.as_fd()]).await;
                if reader.receive().await.is_ok() {
                    let _ = writer.send(&HandoverMessage::AlreadyTaken, &[]).await;
                }
            });
        }
    });
    let process = proxy.start().wait_until_ready();
    process.wait_for_log("never serves");
    expect_echo(&mut establish(&proxy));
}

/// Somebody who comes to the meeting place and says nonsense or nothing, leaves or stays, changes nothing.
#[test]
fn who_is_met_by_nonsense_serves_on() {
    let server = echo_server();
    let proxy = Proxy::new("visited", "proxy", server, discovery_service(server));
    let process = proxy.start().wait_until_ready();
    let meet = || UnixStream::connect(proxy.socket_path()).unwrap();
    let _silent = meet();
    for said in ["nonsense\n", "{\"session\":{}}\n", "\"stops\"\n"] {
        meet().write_all(said.as_bytes()).unwrap();
        process.wait_for_log("new process lost");
        expect_echo(&mut establish(&proxy));
    }
}

#[test]
fn words_that_are_none_are_told_with_their_reason() {
    assert!(parse_message(br#"{"offer":{"version":1,"list":[]}}"#).is_ok());
    for (line, reason) in [
        (&br#"{"offer":{"version":2,"list":[]}}"#[..], "version 2"),
        (br#"{"offer":{"version":1}}"#, "missing field `list`"),
        (br#"{"offer":{"version":1,"list":[]}"#, "EOF"),
        (br#"{"held":{"held":-1}}"#, "invalid value"),
        (br#"{"give":{}}"#, "unknown variant"),
        (b"\xff\xfe", "expected value"),
        (b"", "EOF"),
    ] {
        let wrong = parse_message(line).unwrap_err().to_string();
        assert!(wrong.contains(reason), "{line:?}: {wrong}");
    }
}

/// An offer of 1,024 servers crosses whole, in far more pieces than the socket holds at once.
#[test]
fn an_offer_holds_a_list_of_1024_servers() {
    let list: Vec<_> = (0..1024)
        .map(|n| Endpoint {
            name: format!("server-{n:032}"),
            address: "127.0.0.1:9000".into(),
            ..Endpoint::default()
        })
        .collect();
    let (one, other) = UnixStream::pair().unwrap();
    let (_, writer) = message_channel(async_io::Async::new(one).unwrap());
    let (mut reader, _) = message_channel(async_io::Async::new(other).unwrap());
    let offer = HandoverMessage::Offer { version: VERSION, endpoints: list };
    let said = writer.send(&offer, &[]);
    let (said, heard) = async_io::block_on(futures_lite::future::zip(said, reader.receive()));
    said.unwrap();
    assert_eq!(heard.unwrap(), offer);
}

/// Two processes never hold more than one may; who gives up lets the other have it.
#[test]
fn descriptors_count_for_both() {
    let limiter = ConnectionLimiter::new(6);
    let guest = limiter.try_acquire().unwrap();
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    assert_eq!(limiter.client_descriptors(), 3);
    limiter.set_other_process_use(3);
    assert_eq!(limiter.client_descriptors(), 3);
    // Full with the other's: the guest gives way, and then there is nobody left to.
    let more = limiter.try_acquire().unwrap();
    assert!(!guest.start_session());
    drop(guest);
    assert!(more.start_session());
    assert!(limiter.try_acquire().is_none());
    // Sessions that are given come all the same, and count.
    let given = limiter.adopt();
    assert_eq!(limiter.client_descriptors(), 5);
    limiter.set_other_process_use(1);
    assert!(limiter.try_acquire().is_none());
    drop(given);
    assert!(limiter.try_acquire().is_some());
    limiter.set_other_process_use(0);
    drop((more, session));
    assert_eq!(limiter.client_descriptors(), 0);
}
