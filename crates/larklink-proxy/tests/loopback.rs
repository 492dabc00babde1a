//! A whole proxy on loopback sockets, with servers and an agent that are scripted line by line. Every wait is for a
//! line or an end that must come; nothing sleeps.
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, open};
use stage::*;

/// The program; it goes with the test.
struct Program(Child);

impl Program {
    /// Also the rest of its log, and its address.
    fn start(config: &Path) -> (Self, impl Iterator<Item = String>, SocketAddr) {
        let child = Command::new(env!("CARGO_BIN_EXE_larklink")).arg(config).stderr(Stdio::piped()).spawn();
        let mut program = Self(child.unwrap());
        let mut log = BufReader::new(program.0.stderr.take().unwrap()).lines().map_while(Result::ok);
        let address = log.find_map(|l| l.split_once("listen=").map(|(_, at)| at.parse().unwrap())).unwrap();
        (program, log, address)
    }

    fn hang_up(&self) {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, rustix::process::Signal::HUP).unwrap();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill().and_then(|()| self.0.wait());
    }
}

#[test]
fn a_session_goes_through_and_only_its_wait_is_rewritten() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let mut client = Peer::connect(proxy.address, "OPEN ab 12 c=chat,t=acme,d=2000,x=y z,g=1f\r\n");
    let mut server = Peer::accept(&listener);
    let head = server.hear();
    let wait =
        head.strip_prefix("OPEN ab 12 c=chat,t=acme,d=").and_then(|h| h.strip_suffix(",x=y z,g=1f\r\n"));
    assert!(wait.is_some_and(|w| (1900..=2000).contains(&w.parse().unwrap())), "{head}");
    server.say("UP 1\r\nLOAD 12.5\r\nhalf a ");
    assert_eq!((client.hear(), client.hear()), ("UP 1\r\n".into(), "LOAD 12.5\r\n".into()));
    client.say("M 1 \u{e9}\r\n");
    assert_eq!(server.hear(), "M 1 \u{e9}\r\n");
    server.say("line\r\nBYE\r\n");
    assert_eq!((client.hear(), client.hear()), ("half a line\r\n".into(), "BYE\r\n".into()));
    // The server's end need not come for the client to be let go.
    client.ends();
}

#[test]
fn each_side_is_ended_as_the_other_ended() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let (client, mut server) = standing(proxy.address, &listener);
    drop(client);
    server.ends();
    let (client, mut server) = standing(proxy.address, &listener);
    client.reset();
    server.breaks();
    let (mut client, server) = standing(proxy.address, &listener);
    server.reset();
    client.breaks();
    let (mut client, server) = standing(proxy.address, &listener);
    drop(server);
    client.ends();
}

#[test]
fn a_dial_that_never_ran_goes_on_to_another_server() {
    let (listener, at) = server();
    let proxy = quiet(&[nobody(), at]);
    for session in ["c=chat", "c=pay"] {
        for n in 0..8 {
            let mut client = Peer::connect(proxy.address, &open(&format!("{session},d=2000,g={n}")));
            let mut server = Peer::accept(&listener);
            server.hear();
            // It ends well: a server that breaks off would be doubted in the next round, by chance.
            server.say("UP 1\r\nBYE\r\n");
            assert_eq!((client.hear(), client.hear()), ("UP 1\r\n".into(), "BYE\r\n".into()));
            drop(server);
            client.ends();
        }
    }
}

#[test]
fn a_once_only_session_that_may_have_run_is_torn_down_not_refused() {
    let (listener, at) = server();
    let proxy = quiet(&[at, at]);
    let ask = |class| Peer::connect(proxy.address, &open(&format!("c={class},d=2000")));
    let mut client = ask("pay");
    let mut server = Peer::accept(&listener);
    server.hear();
    drop(server);
    assert_eq!(client.hear(), "ERR\r\n");
    client.ends();
    let mut client = ask("pay");
    // Turned away by each server it tries, it has run nowhere.
    let turn = thread::spawn(move || {
        for stream in listener.incoming().take(2) {
            let mut server = Peer::new(stream.unwrap());
            server.hear();
            server.say("BUSY inflight=7\r\n");
        }
        listener
    });
    let answer = client.hear();
    let wait = answer.strip_prefix("BUSY ").and_then(|a| a.strip_suffix("\r\n"));
    assert!(wait.is_some_and(|ms| ms.parse::<u64>().unwrap() <= 1500), "{answer}");
    client.ends();
    let listener = turn.join().unwrap();
    // And one whose time runs out is answered then.
    let mut client = Peer::connect(proxy.address, &open("c=pay,d=50"));
    let mut server = Peer::accept(&listener);
    server.hear();
    assert_eq!(client.hear(), "ERR\r\n");
    server.ends();
}

#[test]
fn a_client_that_leaves_while_it_waits_is_noticed() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let client = Peer::connect(proxy.address, &open("c=chat,d=9000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    drop(client);
    server.ends();
}

#[test]
fn bad_first_lines_are_failed_and_probes_answered() {
    let proxy = quiet(&[]);
    let long = format!("OPEN 1 2 c=chat,d=2000,x={}", "y".repeat(5000));
    for line in ["OPEN 1 2 c=nobody,d=2000\r\n", "OPEN 1 xyz c=chat,d=2000\r\n", "what\r\n", &long] {
        let mut client = Peer::connect(proxy.address, line);
        assert_eq!(client.hear(), "ERR\r\n", "{line}");
        client.ends();
    }
    let mut client = Peer::connect(proxy.address, "PING\r\nPING\r\n");
    assert_eq!((client.hear(), client.hear()), ("PONG\r\n".into(), "PONG\r\n".into()));
    client.say(&open("c=chat,d=2000"));
    assert!(client.hear().starts_with("BUSY"), "no server, no session");
}

#[test]
fn without_descriptors_a_client_is_refused_at_once() {
    let (listener, at) = server();
    let proxy = start(&[at], nobody(), "proxy", 8);
    let held: Vec<_> = (0..3).map(|_| standing(proxy.address, &listener)).collect();
    let mut client = Peer::new(TcpStream::connect(proxy.address).unwrap());
    assert_eq!(client.hear(), "BUSY\r\n");
    drop(held);
}

/// Servers fail it wherever it is sent, and that looked like trouble of the session store.
#[test]
fn the_id_of_a_session_that_is_open_is_not_taken_twice() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let head = open("c=chat,d=2000");
    let (mut client, mut server) = standing_by(&head, proxy.address, &listener);
    let mut other = Peer::connect(proxy.address, &head.replace(" 2 ", " 3 "));
    assert_eq!(other.hear(), "ERR\r\n");
    client.say("still here\r\n");
    assert_eq!(server.hear(), "still here\r\n");
}

#[test]
fn who_does_not_wait_for_the_answer_is_failed() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let mut client = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    client.say("too early\r\n");
    assert_eq!(client.hear(), "ERR\r\n");
    server.ends();
}

/// It was held for 5.5 s from its first line without one back, over 7 s after the last that had come.
#[test]
fn who_hears_nothing_more_from_its_server_is_soon_moved() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let (mut client, mut server) = standing(proxy.address, &listener);
    let started = Instant::now();
    client.say("one\r\n");
    assert_eq!(server.hear(), "one\r\n");
    assert_eq!(client.hear(), "MOVE\r\n");
    client.ends();
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Behind a client that took nothing the server was not read, so that it passed for silent: its other sessions
/// were moved off it. A client's slowness is no evidence against its server.
#[test]
fn a_client_that_takes_nothing_is_let_go_and_its_server_is_not_blamed() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let (mut healthy, mut its_server) = standing(proxy.address, &listener);
    let slow: Vec<_> = (0..8)
        .map(|_| {
            let (mut client, mut server) = standing(proxy.address, &listener);
            client.say("much, please\r\n");
            assert_eq!(server.hear(), "much, please\r\n");
            let flood = thread::spawn(move || {
                let line = format!("{}\r\n", "y".repeat(1000)).repeat(64);
                // Until the proxy lets go: far more than all buffers between hold.
                while server.0.get_mut().write_all(line.as_bytes()).is_ok() {}
            });
            // Lines that are answered behind all of that, if ever.
            let mut asks = client.0.get_ref().try_clone().unwrap();
            let asking = thread::spawn(move || {
                while asks.write_all(b"more\r\n").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            });
            (client, flood, asking)
        })
        .collect();
    // Each of them was the server's second failure without a sign of life, and a move for this one.
    for (client, flood, asking) in slow {
        flood.join().unwrap();
        drop(client);
        asking.join().unwrap();
    }
    for line in ["one\r\n", "two\r\n"] {
        healthy.say(line);
        assert_eq!(its_server.hear(), line);
        its_server.say(line);
        assert_eq!(healthy.hear(), line);
    }
}

/// They were let wait for 5 s, and for 60 s after a probe; 3 s are owed.
#[test]
fn who_says_nothing_is_soon_let_go() {
    let proxy = quiet(&[]);
    let started = Instant::now();
    let (mut silent, mut pinged) =
        (Peer::connect(proxy.address, ""), Peer::connect(proxy.address, "PING\r\n"));
    let mut half = Peer::connect(proxy.address, "OPEN 1 2 c=ch");
    assert_eq!((silent.hear(), half.hear()), ("ERR\r\n".into(), "ERR\r\n".into()));
    assert_eq!(pinged.hear(), "PONG\r\n");
    [silent, half, pinged].iter_mut().for_each(Peer::ends);
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Each took two descriptors, and real clients were refused.
#[test]
fn who_has_never_spoken_gives_way_to_sessions() {
    let (listener, at) = server();
    let proxy = start(&[at], nobody(), "proxy", 8);
    let mut pinged = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(pinged.hear(), "PONG\r\n");
    // With six descriptors for clients and their servers, three more than there are.
    let mut silent: Vec<_> = (0..8).map(|_| Peer::connect(proxy.address, "")).collect();
    for mut gone in silent.drain(..3) {
        assert_eq!(gone.hear(), "BUSY\r\n");
    }
    let _held: Vec<_> = (0..2).map(|_| standing(proxy.address, &listener)).collect();
    for mut gone in silent.drain(..4) {
        assert_eq!(gone.hear(), "BUSY\r\n");
    }
    pinged.say("PING\r\n");
    assert_eq!(pinged.hear(), "PONG\r\n");
}

#[test]
fn who_sends_sixty_megabytes_hears_the_error_all_the_same() {
    let proxy = quiet(&[]);
    let mut client = Peer::connect(proxy.address, "OPEN 1 2 c=chat,d=2000,x=");
    let chunk = "y".repeat(1 << 20);
    (0..60).for_each(|_| client.say(&chunk));
    assert_eq!(client.hear(), "ERR\r\n");
    client.ends();
}

#[test]
fn a_connection_of_before_goes_to_the_server_that_held_it() {
    let ((first, a), (second, b)) = (server(), server());
    let proxy = quiet(&[a, b]);
    // Where sessions end at the proxy, d tells how long one was to live: turned away for it, it was lost.
    let whole_life = u64::MAX.to_string();
    for (n, listener, wait) in [(0, &first, "2000"), (1, &second, "7200000"), (0, &first, &whole_life)] {
        let head = open(&format!("c=chat,d={wait},at=s-{n}"));
        let mut client = Peer::connect(proxy.address, &head);
        let mut server = Peer::accept(listener);
        assert_eq!(server.hear(), head);
        server.say("UP 5\r\n");
        assert_eq!(client.hear(), "UP 5\r\n");
    }
}

/// How late 99 in 100 lines are that a server pushes a millisecond apart, milliseconds.
fn pushed(mut server: Peer, mut client: Peer) -> f64 {
    let begun = Instant::now();
    let pushing = thread::spawn(move || {
        for n in 0..1000 {
            thread::sleep((begun + Duration::from_millis(n)).saturating_duration_since(Instant::now()));
            server.say(&format!("{}\r\n", begun.elapsed().as_micros()));
        }
        server
    });
    let mut late: Vec<_> = (0..1000)
        .map(|_| {
            let sent: u128 = client.hear().trim().parse().unwrap();
            (begun.elapsed().as_micros() - sent) as f64 / 1e3
        })
        .collect();
    drop(pushing.join().unwrap());
    late.sort_by(f64::total_cmp);
    late[989]
}

/// A line that waits for the receipt of the one before would be some 40 ms late.
#[test]
fn lines_pushed_by_a_server_do_not_wait_for_receipts() {
    let (listener, at) = server();
    let client = Peer::connect(at, "");
    let server = Peer::accept(&listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let direct = pushed(server, client);
    let proxy = quiet(&[at]);
    let (client, server) = standing(proxy.address, &listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let through = pushed(server, client);
    eprintln!("99 in 100 within {direct:.2} ms direct, {through:.2} ms through the proxy");
    assert!(through < 20.0, "{through} ms, {direct} ms direct");
}

#[test]
fn the_list_is_watched_and_clients_of_a_draining_server_are_moved_between_two_lines() {
    let ((listener, at), (agent, discovery)) = (server(), server());
    let proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    assert_eq!(asked(&mut watch), "/api/targets");
    // A body that is none: asked again, on another connection.
    told(&mut watch, "{]");
    let mut watch = Peer::accept(&agent);
    assert_eq!(asked(&mut watch), "/api/targets");
    assert!(!proxy.figures.is_ready());
    told(&mut watch, &list(41, true, &[endpoint("s-1", at, "up")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=41&wait_ms="));
    figures_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    becomes(|| proxy.figures.is_ready());
    let (mut client, mut server) = standing(proxy.address, &listener);
    server.say("one\r\nhalf of two");
    assert_eq!(client.hear(), "one\r\n");
    told(&mut watch, &list(43, false, &[endpoint("s-1", at, "draining")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=43&"));
    assert_eq!(client.hear(), "MOVE\r\n");
    client.ends();
    server.ends();
}

/// Garbled, cut short, refused, endless, of an older index, told too early: asked again in good order, and sessions
/// go by the list that stands.
#[test]
fn a_discovery_that_lies_is_asked_again_and_costs_no_session() {
    let ((listener, at), (agent, discovery)) = (server(), server());
    let proxy = start(&[at], discovery, "proxy", 1024);
    let whole = list(41, true, &[endpoint("s-0", at, "up")]);
    for wrong in [
        "HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{whole}", whole.len() - 9),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{whole}", whole.len() + 9),
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20 << 10)),
    ] {
        let mut call = Peer::accept(&agent);
        assert_eq!(asked(&mut call), "/api/targets");
        call.say(&wrong);
        drop(call);
        standing(proxy.address, &listener);
    }
    let mut watch = Peer::accept(&agent);
    assert_eq!(asked(&mut watch), "/api/targets");
    told(&mut watch, &whole);
    assert!(asked(&mut watch).starts_with("/api/targets?after=41&"));
    // Changes from before: nothing can be built on them.
    told(&mut watch, &list(7, false, &[endpoint("s-0", at, "removed")]));
    assert_eq!(asked(&mut watch), "/api/targets");
    told(&mut watch, &whole);
    let started = Instant::now();
    for _ in 0..5 {
        assert!(asked(&mut watch).starts_with("/api/targets?after=41&"));
        told(&mut watch, &list(41, false, &[]));
    }
    assert!(
        asked(&mut watch).contains("after=41") && started.elapsed() >= Duration::from_millis(400),
        "a spin"
    );
    standing(proxy.address, &listener);
}

/// Discovery was silent for seven seconds, and an agent that had it back counted as having told of drains: proxies
/// that paused for up to 1.2 s then sent new sessions there past the grace.
#[test]
fn an_agent_that_was_silent_is_heard_within_the_grace_of_its_return() {
    let (agent, discovery) = server();
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut gaps = Vec::new();
    for _ in 0..12 {
        let mut call = Peer::accept(&agent);
        asked(&mut call);
        let lost = Instant::now();
        drop(call);
        asked(&mut Peer::accept(&agent));
        gaps.push(lost.elapsed());
    }
    let grace = Duration::from_millis(500);
    assert!(gaps.iter().all(|gap| *gap < grace), "{gaps:?}");
}

/// Plain, indented, in chunks, in pieces: 1,024 servers, all but one of which go in one change.
#[test]
fn a_list_of_1024_servers_is_heard_however_it_is_written() {
    let all = |address, status: &str| -> Vec<_> {
        (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), address, status)).collect()
    };
    let indented = |text: &str| {
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(text).unwrap()).unwrap()
    };
    let chunked = |text: &str| {
        let chunks = text
            .as_bytes()
            .chunks(777)
            .map(|c| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c)));
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunks.collect::<String>()
        )
    };
    for form in 0..3 {
        let ((listener, at), (agent, discovery)) = (server(), server());
        let proxy = start(&[], discovery, "proxy", 1024);
        let mut watch = Peer::accept(&agent);
        let mut tell = |index, whole, endpoints: &[String]| {
            asked(&mut watch);
            let text = list(index, whole, endpoints);
            match form {
                0 => told(&mut watch, &text),
                1 => told(&mut watch, &indented(&text)),
                _ => chunked(&text)
                    .as_bytes()
                    .chunks(1000)
                    .for_each(|p| watch.0.get_mut().write_all(p).unwrap()),
            }
        };
        tell(41, true, &all(at, "up"));
        tell(42, false, &[]);
        standing(proxy.address, &listener);
        tell(43, false, &all(nobody(), "removed")[1..]);
        tell(44, false, &[]);
        // Only the first is left, whatever a session's key.
        for key in 0..8 {
            standing_by(&open(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, &listener);
        }
    }
}

#[test]
fn a_proxy_that_stops_answers_new_sessions_and_moves_what_it_holds() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    let (mut client, mut server) = standing(proxy.address, &listener);
    drop(proxy.stop);
    let mut late = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    let mut to = Peer::accept(&listener);
    to.hear();
    to.say("UP 9\r\n");
    assert_eq!(late.hear(), "UP 9\r\n");
    assert_eq!((client.hear(), late.hear()), ("MOVE\r\n".into(), "MOVE\r\n".into()));
    client.ends();
    server.ends();
    drop((late, to));
    proxy.thread.join().unwrap();
    assert!(TcpStream::connect(proxy.address).is_err(), "nobody listens any more");
}

/// It ended as soon as nobody waited for an answer, and broke all sessions seconds before it had to.
#[test]
fn where_packets_pass_through_a_proxy_that_stops_moves_nobody_and_stays_while_it_may() {
    let (listener, at) = server();
    let proxy = start(&[at], nobody(), "pass", 1024);
    let (mut client, _server) = standing(proxy.address, &listener);
    let stopped = Instant::now();
    drop(proxy.stop);
    proxy.thread.join().unwrap();
    // New sessions come for 0.6 s, and 0.3 s is the longest dial timeout.
    assert!(stopped.elapsed() >= Duration::from_millis(900));
    client.0.get_ref().set_nonblocking(true).unwrap();
    let nothing = client.0.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(nothing, Err(ErrorKind::WouldBlock), "the connection is left as it is");
}

/// The program itself: it ended on SIGHUP, and each session with it.
#[test]
fn on_sighup_the_list_is_asked_for_at_the_new_address_and_sessions_go_on() {
    let ((first, a), (second, b), (agent, old), (other, new)) = (server(), server(), server(), server());
    let path = std::env::temp_dir().join(format!("larklink-{}.json", std::process::id()));
    std::fs::write(&path, config(&[a], old, "proxy", 1024)).unwrap();
    let (program, mut log, address) = Program::start(&path);
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=41&"));
    let (mut client, mut server) = standing(address, &first);
    // A file that cannot be read changes nothing, and is warned of with its place.
    let zone = |at: &str| {
        config(&[a], old, "proxy", 1024).replace(r#""settings":{"#, &format!(r#""settings":{{"zone":{at},"#))
    };
    for (text, place) in
        [("{".into(), "line 1"), (zone("1"), "settings: zone: 1 is no"), (zone("true"), "settings.zone: ")]
    {
        std::fs::write(&path, text).unwrap();
        program.hang_up();
        let said = log.find(|l| l.contains("WARN the configuration stands as it was")).unwrap();
        assert!(said.contains(place), "{said}");
    }
    std::fs::write(&path, zone("1")).unwrap();
    let refused = Command::new(env!("CARGO_BIN_EXE_larklink")).arg(&path).output().unwrap();
    assert!(
        !refused.status.success()
            && String::from_utf8_lossy(&refused.stderr).contains("settings: zone: 1 is no")
    );
    told(&mut watch, &list(42, false, &[]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=42&"));
    for index in [7, 3] {
        std::fs::write(&path, config(&[a], new, "proxy", 1024)).unwrap();
        program.hang_up();
        watch.ends();
        watch = Peer::accept(&other);
        assert_eq!(asked(&mut watch), "/api/targets", "the old index counts for nothing");
        told(&mut watch, &list(index, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]));
        assert!(asked(&mut watch).starts_with(&format!("/api/targets?after={index}&")));
    }
    client.say("still here\r\n");
    assert_eq!(server.hear(), "still here\r\n");
    // The new list counts.
    told(&mut watch, &list(8, true, &[endpoint("s-1", b, "up")]));
    assert!(asked(&mut watch).contains("after=8"));
    standing(address, &second);
    std::fs::remove_file(&path).unwrap();
}

/// What the new address has counts as told four seconds after SIGHUP, also if it has not answered once: each call that
/// hung there was waited for for three.
#[test]
fn a_drain_at_the_new_address_before_its_first_answer_is_heard_in_time() {
    let ((first, a), (agent, old), (other, new)) = (server(), server(), server());
    let path = std::env::temp_dir().join(format!("larklink-hup-{}.json", std::process::id()));
    std::fs::write(&path, config(&[a], old, "proxy", 1024)).unwrap();
    let (program, _log, address) = Program::start(&path);
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    asked(&mut watch);
    let (mut client, _server) = standing(address, &first);
    std::fs::write(&path, config(&[a], new, "proxy", 1024)).unwrap();
    let begun = Instant::now();
    program.hang_up();
    watch.ends();
    let silent: Vec<_> = (0..2).map(|_| Peer::accept(&other)).collect();
    let mut watch = Peer::accept(&other);
    assert_eq!(asked(&mut watch), "/api/targets");
    told(&mut watch, &list(3, true, &[endpoint("s-0", a, "draining")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=3&"));
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    assert_eq!(client.hear(), "MOVE\r\n");
    drop(silent);
    std::fs::remove_file(&path).unwrap();
}

/// One of each kind of end, against what the servers and clients of this test saw: for each listener accepted,
/// refused, failed; then tries, sessions in progress, servers.
#[test]
fn figures_are_what_peers_saw_whatever_the_end() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    figures_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    let mut mute = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(mute.hear(), "PONG\r\n");
    let (client, mut server) = standing(proxy.address, &listener);
    figures_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 1, 1]);
    drop(client);
    server.ends();
    figures_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 0, 1]);
    // A server that resets a session that stands, and one that ends it.
    let (mut client, server) = standing(proxy.address, &listener);
    server.reset();
    client.breaks();
    let (mut client, mut server) = standing(proxy.address, &listener);
    server.say("BYE\r\n");
    assert_eq!(client.hear(), "BYE\r\n");
    client.ends();
    figures_become(&proxy, [3, 0, 0, 0, 0, 0, 3, 0, 1]);
    // Turned away where it runs out of servers; failed where it may have run.
    let mut client = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    for _ in 0..2 {
        let mut server = Peer::accept(&listener);
        server.hear();
        server.say("BUSY\r\n");
        server.ends();
    }
    assert!(client.hear().starts_with("BUSY"));
    let mut client = Peer::connect(proxy.address, &open("c=pay,d=2000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    drop(server);
    assert_eq!(client.hear(), "ERR\r\n");
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 6, 0, 1]);
    // One that leaves before its answer is none of the three.
    let client = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 1, 1]);
    drop(client);
    server.ends();
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 0, 1]);
    // At a stop it says no, and what it held is counted out as it is moved.
    let (mut client, _server) = standing(proxy.address, &listener);
    proxy.stop.close();
    assert_eq!(client.hear(), "MOVE\r\n");
    client.ends();
    figures_become(&proxy, [4, 1, 0, 0, 0, 1, 8, 0, 1]);
    assert!(!proxy.figures.is_ready());
}
