//! Handover between processes of one proxy: these tests run the program on loopback while clients connect continuously.
//! Every wait is for a line, an end of stream or an exit that must come.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use larklink_proxy::endpoint_list::Endpoint;
use larklink_proxy::handover::channel::message_channel;
use larklink_proxy::handover::messages::{HandoverMessage, VERSION, parse_message};
use larklink_proxy::limiter::ConnectionLimiter;
use rustix::process::{Pid, Signal, kill_process};

mod peer;
use peer::{Peer, WAIT_TIMEOUT, open_line};

/// The folder and listen address of a proxy, whose processes replace each other.
struct Proxy {
    folder: PathBuf,
    listen: SocketAddr,
    /// Reserves the port: the socket is bound and never listens.
    _port: socket2::Socket,
}

struct Process {
    child: Child,
    admin_address: SocketAddr,
    /// Its log, read continuously: a full pipe would block its exit.
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

    /// Waits for a log line that contains `text`.
    fn wait_for_log(&self, text: &str) {
        let next_line = || self.log.recv_timeout(WAIT_TIMEOUT).expect("the log line never comes");
        while !next_line().contains(text) {}
    }

    fn is_ready(&self) -> bool {
        let mut admin = TcpStream::connect(self.admin_address).unwrap();
        admin.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        admin.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        let mut reply = String::new();
        admin.read_to_string(&mut reply).unwrap();
        reply.starts_with("HTTP/1.1 200 ")
    }

    fn wait_until_ready(self) -> Self {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !self.is_ready() {
            assert!(Instant::now() < until, "the process never becomes ready");
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

    /// The listening socket that a predecessor offers.
    fn predecessor_listener(&self) -> socket2::Socket {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.set_reuse_port(true).unwrap();
        listener.bind(&self.listen.into()).unwrap();
        listener.listen(1).unwrap();
        listener
    }

    fn start(&self) -> Process {
        self.start_with_log_level("info")
    }

    fn start_with_log_level(&self, level: &str) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_larklink"));
        command.arg(self.folder.join("config.json")).env("LARKLINK_LOG", level);
        command.env("TMPDIR", &self.folder).env("ROUTER_CONSOLE", "127.0.0.1:0").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let (log_sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = log_sender.send(line)));
        let admin_address = loop {
            let line = log.recv_timeout(WAIT_TIMEOUT).expect("the process exited during its start");
            if let Some((_, address)) = line.split_once("console=") {
                break address.parse().unwrap();
            }
        };
        Process { child, admin_address, log }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a SIGTERM that comes before the signal handlers are installed: it killed the process on the spot,
/// together with the connections that the kernel had accepted for it.
#[test]
fn a_process_that_is_stopped_during_its_start_exits_cleanly() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let proxy = Proxy::new("stopped-early", "proxy", nobody, nobody);
    // A predecessor that sends nothing keeps it in its start.
    let predecessor = UnixListener::bind(proxy.socket_path()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_larklink"));
    command.arg(proxy.folder.join("config.json")).env("TMPDIR", &proxy.folder).stderr(Stdio::null());
    let mut child = command.env("ROUTER_CONSOLE", "127.0.0.1:0").spawn().unwrap();
    let connection = predecessor.accept().unwrap();
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    drop((connection, predecessor));
    let status = child.wait().unwrap();
    assert!(status.success(), "{status}");
}

/// A server that accepts every session, echoes each line, and completes the session at the line `END`.
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

/// A listener; as a discovery address it never responds unless the test accepts.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// A discovery service that sends the complete list at once and no changes.
fn discovery_service(server: SocketAddr) -> SocketAddr {
    let (listener, at) = listen();
    let body = format!(
        r#"{{"index":2,"snapshot":true,"endpoints":[{{"name":"s-0","address":"{server}","status":"up"}}]}}"#
    );
    thread::spawn(move || {
        let mut open_connections = Vec::new();
        for stream in listener.incoming() {
            let mut peer = Peer::new(stream.unwrap());
            while !matches!(peer.receive_line().as_str(), "\r\n" | "") {}
            let _ =
                write!(peer.0.get_mut(), "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            open_connections.push(peer);
        }
    });
    at
}

/// An offer of a process that does not exchange session ids.
fn offer(endpoints: Vec<Endpoint>) -> HandoverMessage {
    HandoverMessage::Offer { version: VERSION, endpoints, exchanges_session_ids: false }
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

/// A proxy's process is replaced ten times while clients connect continuously. Each client is served once, and
/// established sessions continue without a break, including partial lines that each side has sent.
#[test]
fn ten_replacements_lose_no_connection_and_break_no_session() {
    for mode in ["pass", "proxy"] {
        let server = echo_server();
        let proxy = Proxy::new("ten", mode, server, discovery_service(server));
        let mut process = proxy.start().wait_until_ready();
        let mut established: Vec<_> = (0..20).map(|_| establish(&proxy)).collect();
        let stopped = AtomicBool::new(false);
        /// Stops the client threads on drop, also if the test fails.
        struct StopOnDrop<'a>(&'a AtomicBool);
        impl Drop for StopOnDrop<'_> {
            fn drop(&mut self) {
                self.0.store(true, Relaxed);
            }
        }
        thread::scope(|scope| {
            let run_clients = || {
                let mut served = 0;
                while !stopped.load(Relaxed) {
                    let mut client = establish(&proxy);
                    client.send("END\r\n");
                    assert_eq!(client.receive_line(), "BYE\r\n");
                    assert_eq!(client.receive_line(), "");
                    served += 1;
                }
                served
            };
            let clients: Vec<_> = (0..4).map(|_| scope.spawn(run_clients)).collect();
            let stop = StopOnDrop(&stopped);
            for _ in 0..10 {
                established.iter_mut().for_each(|c| c.send("half"));
                let next = proxy.start().wait_until_ready();
                process.signal(Signal::TERM);
                std::mem::replace(&mut process, next).wait_for_exit();
                for client in &mut established {
                    client.send(" of it\r\n");
                    assert_eq!(client.receive_line(), "half of it\r\n");
                    expect_echo(client);
                }
            }
            drop(stop);
            assert!(clients.into_iter().all(|c| c.join().unwrap() > 10));
        });
    }
}

/// What a server does with the connection of a session after its first line, which it never answers.
#[derive(Clone, Copy, PartialEq)]
enum Unanswered {
    Close,
    Hold,
}

/// A server that answers no session, and the number of sessions received.
fn unanswering_server(unanswered: Unanswered) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, at) = listen();
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut peer, count) = (Peer::new(stream.unwrap()), Arc::clone(&count));
            thread::spawn(move || {
                let mut line = String::new();
                let _ = peer.0.read_line(&mut line);
                count.fetch_add(usize::from(line.starts_with("OPEN")), Relaxed);
                if unanswered == Unanswered::Hold {
                    let _ = peer.0.read_to_end(&mut Vec::new());
                }
            });
        }
    });
    (at, received)
}

/// Both processes of a proxy share its retry budget of two free retries in a minute. Retries are spaced over the
/// window, so the old process sends one of its two free retries at once. After the takeover these count as used by the
/// old process: the new one sends none.
#[test]
fn the_retry_budget_is_shared_by_both_processes() {
    let (server, received) = unanswering_server(Unanswered::Close);
    let safety = r#"{"budget_free":2,"extra_per_request":0,"counted_over_ns":60000000000}"#;
    let proxy = Proxy::with("retry_budget", "proxy", server, discovery_service(server), safety);
    let expect_rejected = || {
        let mut client = Peer::new(TcpStream::connect(proxy.listen).unwrap());
        client.send(&open_line("c=chat,t=acme,d=5000,g=3"));
        assert!(client.receive_line().starts_with("BUSY"));
    };
    let old = proxy.start().wait_until_ready();
    (0..3).for_each(|_| expect_rejected());
    assert_eq!(received.load(Relaxed), 3 + 1);
    let new = proxy.start().wait_until_ready();
    old.signal(Signal::TERM);
    old.wait_for_exit();
    (0..3).for_each(|_| expect_rejected());
    assert_eq!(received.load(Relaxed), 4 + 3, "the new process used free retries of its own");
    drop(new);
}

/// Whichever of the two processes is stopped or dies, the remaining one keeps serving all clients.
#[test]
fn the_remaining_process_keeps_serving() {
    let server = echo_server();
    let (_listener, silent_discovery) = listen();
    let proxy = Proxy::new("left", "proxy", server, silent_discovery);
    let old = proxy.start().wait_until_ready();
    let mut client = establish(&proxy);
    // A new process that dies before it is ready, which takes a while because discovery does not respond.
    let early = proxy.start();
    assert!(!early.is_ready());
    drop(early);
    old.wait_for_log("new process lost");
    expect_echo(&mut establish(&proxy));
    // A new process that dies after it was ready and before the old one is stopped.
    drop(proxy.start().wait_until_ready());
    old.wait_for_log("successor lost, accepting connections again");
    expect_echo(&mut establish(&proxy));
    expect_echo(&mut client);
    // The old process is stopped before the new one is ready, and hands its sessions over at once.
    let new = proxy.start();
    assert!(!new.is_ready());
    old.signal(Signal::TERM);
    new.wait_for_log("takeover complete");
    old.wait_for_exit();
    expect_echo(&mut establish(&proxy));
    expect_echo(&mut client);
    // Two new processes at once: one takes over from the other.
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
    // The socket file that a killed process leaves behind does not prevent a new start.
    let _last = proxy.start().wait_until_ready();
    expect_echo(&mut establish(&proxy));
}

#[test]
fn a_process_starts_without_a_handover_if_its_predecessor_sends_invalid_messages() {
    let server = echo_server();
    // Has no line end, so the process gets the end of the stream and never checks the version.
    let other_version = r#"{"offer":{"version":7,"list":[]}}"#;
    let long = "x".repeat(2 << 20);
    for message in ["", "hello\n", other_version, "{\"offer\":", "{\"take\":null}\n", "\"stops\"\n", &long] {
        let proxy = Proxy::new("nonsense", "proxy", server, discovery_service(server));
        let socket = UnixListener::bind(proxy.socket_path()).unwrap();
        let message = message.to_owned();
        let predecessor = thread::spawn(move || {
            let (mut stream, _) = socket.accept().unwrap();
            // The new process may close the connection before all is written.
            let _ = stream.write_all(message.as_bytes());
            if message.ends_with('\n') {
                let _ = stream.read(&mut [0]);
            }
        });
        let _process = proxy.start().wait_until_ready();
        predecessor.join().unwrap();
        expect_echo(&mut establish(&proxy));
    }
}

/// Guards against an endless wait: a process whose takeover was denied asked again twenty times a second for as long as
/// the process that had been faster hung.
#[test]
fn a_process_becomes_ready_even_if_a_rival_that_was_faster_never_serves() {
    let server = echo_server();
    let proxy = Proxy::new("rival", "proxy", server, discovery_service(server));
    let socket = UnixListener::bind(proxy.socket_path()).unwrap();
    let listener = proxy.predecessor_listener();
    thread::spawn(move || {
        for stream in socket.incoming() {
            let (mut reader, writer) = message_channel(async_io::Async::new(stream.unwrap()).unwrap());
            async_io::block_on(async {
                let offer = offer(Vec::new());
                let _ = writer.send(&offer, &[listener.as_fd()]).await;
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

/// A process that connects to the handover socket and sends nothing or invalid messages, or disconnects as it takes over,
/// changes nothing.
#[test]
fn a_process_keeps_serving_if_a_new_process_sends_invalid_messages() {
    let server = echo_server();
    let proxy = Proxy::new("visited", "proxy", server, discovery_service(server));
    let process = proxy.start().wait_until_ready();
    let connect = || UnixStream::connect(proxy.socket_path()).unwrap();
    let _silent = connect();
    let _client = establish(&proxy);
    let take_over = "{\"ids\":{}}\n\"take\"\n";
    for message in ["nonsense\n", "{\"session\":{}}\n", "\"stops\"\n", take_over] {
        let mut new_process = BufReader::new(connect());
        new_process.read_line(&mut String::new()).unwrap();
        new_process.get_mut().write_all(message.as_bytes()).unwrap();
        drop(new_process);
        process.wait_for_log("new process lost");
        expect_echo(&mut establish(&proxy));
    }
}

#[test]
fn invalid_messages_are_errors_with_a_reason() {
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
        let error = parse_message(line).unwrap_err().to_string();
        assert!(error.contains(reason), "{line:?}: {error}");
    }
}

/// An offer of 1,024 servers arrives complete.
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
    let offer = offer(list);
    let sent = writer.send(&offer, &[]);
    let (sent, received) = async_io::block_on(futures_lite::future::zip(sent, reader.receive()));
    sent.unwrap();
    assert_eq!(received.unwrap(), offer);
}

/// Opens a session with an id on a connection. Returns the answer.
fn answer_to_id(client: &mut Peer, id: u64, client_key: u64) -> String {
    client.send(&format!("OPEN {id:x} {client_key:x} c=chat,t=acme,d=5000,g=3\r\n"));
    client.receive_line()
}

/// Opens a session that was established through another proxy, as [`answer_to_id`] does.
fn answer_to_established_id(client: &mut Peer, id: u64, client_key: u64) -> String {
    client.send(&format!("OPEN {id:x} {client_key:x} c=chat,t=acme,d=5000,g=3,mid=1\r\n"));
    client.receive_line()
}

fn connect(proxy: &Proxy) -> Peer {
    Peer::new(TcpStream::connect(proxy.listen).unwrap())
}

/// Establishes a session with an id, of a client whose key is the id.
fn establish_id(client: &mut Peer, id: u64) {
    assert_eq!(answer_to_id(client, id, id), "UP 1\r\n");
    assert_eq!(client.receive_line(), "LOAD 40\r\n");
}

/// Another client sends the id on a connection that is open or new.
fn expect_id_refused(client: &mut Peer, id: u64) {
    assert_eq!(answer_to_id(client, id, 0xbad), "ERR\r\n", "the id {id:x} of an open session was accepted");
}

/// Waits until the id is no longer in use, after the end of its session: an established session of another client may
/// have it then. No new session ever may, since the id has run.
fn wait_until_id_is_not_in_use(proxy: &Proxy, id: u64) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while answer_to_established_id(&mut connect(proxy), id, 0xbad) != "UP 1\r\n" {
        assert!(Instant::now() < until, "the id {id:x} is in use for ever");
    }
    expect_id_refused(&mut connect(proxy), id);
}

/// Guards against a session that is served under the id of another client's open session: during a replacement each
/// process knew only its own ids. One of the two clients is then cut off from its session.
#[test]
fn an_id_in_use_in_either_process_is_refused_by_both_during_a_replacement() {
    let server = echo_server();
    let proxy = Proxy::new("ids", "pass", server, discovery_service(server));
    let old = proxy.start_with_log_level("debug").wait_until_ready();
    let mut before = connect(&proxy);
    establish_id(&mut before, 0x9001);
    expect_id_refused(&mut connect(&proxy), 0x9001);
    // Connections that the old process has accepted, and that send their first line after the takeover.
    let mut late: Vec<_> = (0..2).map(|_| connect(&proxy)).collect();
    let new = proxy.start_with_log_level("debug");
    while !new.is_ready() {
        for client in &mut late {
            client.send("PING\r\n");
            assert_eq!(client.receive_line(), "PONG\r\n");
        }
    }
    expect_id_refused(&mut connect(&proxy), 0x9001);
    let mut in_new = connect(&proxy);
    establish_id(&mut in_new, 0x9002);
    old.wait_for_log("received opened=1");
    expect_id_refused(&mut late[0], 0x9002);
    let in_old = &mut late[1];
    establish_id(in_old, 0x9003);
    new.wait_for_log("received opened=1 closed=0");
    new.wait_for_log("received opened=1 closed=0");
    expect_id_refused(&mut connect(&proxy), 0x9003);
    old.signal(Signal::TERM);
    old.wait_for_exit();
    for (client, id) in [(&mut before, 0x9001), (&mut in_new, 0x9002), (in_old, 0x9003)] {
        expect_id_refused(&mut connect(&proxy), id);
        expect_echo(client);
        client.send("END\r\n");
        assert_eq!((client.receive_line(), client.receive_line()), ("BYE\r\n".into(), String::new()));
        wait_until_id_is_not_in_use(&proxy, id);
    }
}

/// Three processes at once: the one in the middle passes the ids of the others on, and takes them back when one exits.
#[test]
fn an_id_in_use_is_refused_by_a_process_that_replaces_the_successor() {
    let server = echo_server();
    let proxy = Proxy::new("three-ids", "proxy", server, discovery_service(server));
    let mut old = proxy.start().wait_until_ready();
    let mut client = connect(&proxy);
    establish_id(&mut client, 0x9001);
    let _middle = proxy.start().wait_until_ready();
    let _new = proxy.start().wait_until_ready();
    expect_id_refused(&mut connect(&proxy), 0x9001);
    expect_echo(&mut client);
    old.signal(Signal::KILL);
    let _ = old.child.wait();
    wait_until_id_is_not_in_use(&proxy, 0x9001);
}

/// Guards against a session that runs twice: an id whose client had left before its server answered was sent to a server
/// again by the other process of a replacement, or after the end of the process that had sent it.
#[test]
fn an_id_that_may_have_run_is_refused_by_both_processes_of_a_replacement() {
    let (server, received) = unanswering_server(Unanswered::Hold);
    let proxy = Proxy::new("used-ids", "proxy", server, discovery_service(server));
    let old = proxy.start().wait_until_ready();
    let send_and_leave = |id: u64| {
        let count = received.load(Relaxed);
        let mut client = connect(&proxy);
        client.send(&format!("OPEN {id:x} 1 c=chat,t=acme,d=5000,g=3\r\n"));
        while received.load(Relaxed) == count {
            thread::yield_now();
        }
        client
    };
    drop(send_and_leave(0xa001));
    let leaves_later = send_and_leave(0xa002);
    let leaves_at_the_end = send_and_leave(0xa003);
    // A connection that the old process has accepted, and that sends its first line after the takeover.
    let mut late = connect(&proxy);
    let new = proxy.start();
    while !new.is_ready() {
        late.send("PING\r\n");
        assert_eq!(late.receive_line(), "PONG\r\n");
    }
    drop(leaves_later);
    drop(send_and_leave(0xa004));
    let sent = received.load(Relaxed);
    for id in [0xa001, 0xa002, 0xa003] {
        expect_id_refused(&mut connect(&proxy), id);
    }
    // Time for the reports of ended sessions: an id must stay refused after them.
    thread::sleep(Duration::from_millis(200));
    expect_id_refused(&mut connect(&proxy), 0xa002);
    expect_id_refused(&mut late, 0xa004);
    old.signal(Signal::TERM);
    drop(leaves_at_the_end);
    old.wait_for_exit();
    let _newest = proxy.start().wait_until_ready();
    for id in 0xa001..=0xa004 {
        expect_id_refused(&mut connect(&proxy), id);
    }
    assert_eq!(received.load(Relaxed), sent, "an id was sent to a server twice");
}

/// Guards against clients that wait for seconds while another process sends messages without pause, and against memory
/// that grows with each connection to the handover socket: connections that stop half way are evicted.
#[test]
fn clients_are_served_while_new_processes_send_without_pause() {
    let server = echo_server();
    let proxy = Proxy::new("flood", "proxy", server, discovery_service(server));
    let _process = proxy.start().wait_until_ready();
    let mut half_messages: Vec<_> = (0..20)
        .map(|_| {
            let mut stream = UnixStream::connect(proxy.socket_path()).unwrap();
            stream.write_all(b"{\"ids\":{\"opened\":[").unwrap();
            stream
        })
        .collect();
    for evicted in &mut half_messages[..16] {
        evicted.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let ended = evicted.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
        // A connection with bytes that the process has not read is reset.
        assert!(matches!(ended, Ok(_) | Err(ErrorKind::ConnectionReset)), "not evicted: {ended:?}");
    }
    let is_served = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = UnixStream::connect(proxy.socket_path()).unwrap();
            let is_served = Arc::clone(&is_served);
            let messages = "{\"ids\":{}}\n".repeat(10_000);
            thread::spawn(move || {
                while !is_served.load(Relaxed) {
                    stream.write_all(messages.as_bytes()).unwrap();
                }
            })
        })
        .collect();
    for _ in 0..20 {
        expect_echo(&mut establish(&proxy));
    }
    is_served.store(true, Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

/// A process of an older version would take a message that it does not know for the end of the other process.
#[test]
fn session_ids_are_not_sent_to_older_processes() {
    let server = echo_server();
    let proxy = Proxy::new("older", "proxy", server, discovery_service(server));
    let process = proxy.start().wait_until_ready();
    let mut client = establish(&proxy);
    let stream = UnixStream::connect(proxy.socket_path()).unwrap();
    let (mut reader, writer) = message_channel(async_io::Async::new(stream).unwrap());
    async_io::block_on(async {
        assert!(matches!(reader.receive().await.unwrap(), HandoverMessage::Offer { .. }));
        writer.send(&HandoverMessage::TakeOver, &[]).await.unwrap();
        assert!(matches!(reader.receive().await.unwrap(), HandoverMessage::Granted { .. }));
        client.send("END\r\n");
        // The session's end is reported by the number of descriptors only.
        assert!(matches!(reader.receive().await.unwrap(), HandoverMessage::DescriptorsInUse { .. }));
    });
    drop((reader, writer));
    process.wait_for_log("successor lost");
    drop(process);

    let proxy = Proxy::new("older-predecessor", "proxy", server, discovery_service(server));
    let socket = UnixListener::bind(proxy.socket_path()).unwrap();
    let listener = proxy.predecessor_listener();
    let predecessor = thread::spawn(move || {
        let (mut reader, writer) = message_channel(async_io::Async::new(socket.accept().unwrap().0).unwrap());
        async_io::block_on(async {
            writer.send(&offer(Vec::new()), &[listener.as_fd()]).await.unwrap();
            let first = reader.receive().await.unwrap();
            let _ = writer.send(&HandoverMessage::Granted { descriptors_in_use: 0 }, &[]).await;
            first
        })
    });
    let _process = proxy.start().wait_until_ready();
    assert_eq!(predecessor.join().unwrap(), HandoverMessage::TakeOver);
}

/// Guards against a session that is cut off: one that was handed over to a process which was itself ending was not
/// resumed there, and reset at its exit.
#[test]
fn a_session_that_is_handed_over_to_an_ending_process_is_handed_on() {
    let server = echo_server();
    let proxy = Proxy::new("chain", "proxy", server, discovery_service(server));
    let first = proxy.start().wait_until_ready();
    let mut client = connect(&proxy);
    let second = proxy.start();
    while !second.is_ready() {
        client.send("PING\r\n");
        assert_eq!(client.receive_line(), "PONG\r\n");
    }
    let line = open_line("c=chat,t=acme,d=5000,g=3");
    let (begin, rest) = line.split_at(10);
    client.send(begin);
    // Keeps the second process from exiting early.
    let mut of_second = connect(&proxy);
    of_second.send(begin);
    first.signal(Signal::TERM);
    let _third = proxy.start().wait_until_ready();
    second.signal(Signal::TERM);
    second.wait_for_log("no more connections accepted");
    client.send(rest);
    assert_eq!(client.receive_line(), "UP 1\r\n");
    assert_eq!(client.receive_line(), "LOAD 40\r\n");
    first.wait_for_exit();
    second.wait_for_exit();
    expect_echo(&mut client);
}

/// Guards against a proxy that nobody accepts connections for: a new process that was stopped before its predecessor
/// stayed until its grace period was over, although it had no session and its predecessor would hand none over.
#[test]
fn a_process_that_is_stopped_before_its_predecessor_exits_early() {
    /// 0.6 s for accepting and the longest dial timeout of the configuration.
    const GRACE_PERIOD: Duration = Duration::from_millis(1100);
    let server = echo_server();
    let proxy = Proxy::new("early-exit", "proxy", server, discovery_service(server));
    let old = proxy.start().wait_until_ready();
    let mut client = establish(&proxy);
    let new = proxy.start().wait_until_ready();
    let stopped_at = Instant::now();
    new.signal(Signal::TERM);
    new.wait_for_exit();
    let stayed = stopped_at.elapsed();
    old.wait_for_log("successor lost, accepting connections again");
    assert!(stayed < GRACE_PERIOD, "{stayed:?}");
    expect_echo(&mut client);
    expect_echo(&mut establish(&proxy));
}

/// Two processes together never have more descriptors open than the limit; what one releases, the other may use.
#[test]
fn the_descriptors_of_both_processes_count() {
    let limiter = ConnectionLimiter::new(6);
    let idle = limiter.try_acquire().unwrap();
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    assert_eq!(limiter.client_descriptors(), 3);
    limiter.set_other_process_use(3);
    assert_eq!(limiter.client_descriptors(), 3);
    // The limit is reached with those of the other process: the idle connection is evicted, and then none is left to
    // evict.
    let more = limiter.try_acquire().unwrap();
    assert!(!idle.start_session());
    drop(idle);
    assert!(more.start_session());
    assert!(limiter.try_acquire().is_none());
    // Sessions that are handed over are accepted beyond the limit, and count.
    let handed_over = limiter.adopt();
    assert_eq!(limiter.client_descriptors(), 5);
    limiter.set_other_process_use(1);
    assert!(limiter.try_acquire().is_none());
    drop(handed_over);
    assert!(limiter.try_acquire().is_some());
    limiter.set_other_process_use(0);
    drop((more, session));
    assert_eq!(limiter.client_descriptors(), 0);
}
