//! What a client may send first, and how one is treated that sends nothing, invalid lines or too much.
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

mod harness;
use harness::peer::{Peer, open_line};
use harness::{
    establish, establish_with, listen, non_empty_first_lines, refusing_address, start, start_with_servers,
    wait_until,
};

#[test]
fn a_client_that_disconnects_while_it_waits_is_detected() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let client = Peer::connect(proxy.address, &open_line("c=chat,d=9000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(client);
    server.expect_end();
}

#[test]
fn invalid_first_lines_are_failed_and_health_checks_answered() {
    let proxy = start_with_servers(&[]);
    let long = format!("OPEN 1 2 c=chat,d=2000,x={}", "y".repeat(5000));
    for line in ["OPEN 1 2 c=nobody,d=2000\r\n", "OPEN 1 xyz c=chat,d=2000\r\n", "what\r\n", &long] {
        let mut client = Peer::connect(proxy.address, line);
        assert_eq!(client.receive_line(), "ERR\r\n", "{line}");
        client.expect_end();
    }
    let mut client = Peer::connect(proxy.address, "PING\r\nPING\r\n");
    assert_eq!((client.receive_line(), client.receive_line()), ("PONG\r\n".into(), "PONG\r\n".into()));
    client.send(&open_line("c=chat,d=2000"));
    assert!(client.receive_line().starts_with("BUSY"), "without a server the session is rejected");
}

#[test]
fn without_descriptors_a_client_is_rejected_at_once() {
    let (listener, at) = listen();
    let proxy = start(&[at], refusing_address(), "proxy", 8);
    let held: Vec<_> = (0..3).map(|_| establish(proxy.address, &listener)).collect();
    let mut client = Peer::new(TcpStream::connect(proxy.address).unwrap());
    assert_eq!(client.receive_line(), "BUSY\r\n");
    drop(held);
}

/// Guards against a false alarm: every server fails a session whose id is in use, which looked like a fault of the
/// session store.
#[test]
fn the_id_of_an_open_session_is_not_accepted_again() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let head = open_line("c=chat,d=2000");
    let (mut client, mut server) = establish_with(&head, proxy.address, &listener);
    let mut other = Peer::connect(proxy.address, &head.replace(" 2 c=", " 3 c="));
    assert_eq!(other.receive_line(), "ERR\r\n");
    client.send("still here\r\n");
    assert_eq!(server.receive_line(), "still here\r\n");
}

/// Guards against an id that is free while it is in use: of two sessions of a client with one id, on an old and a new
/// route, the first to end freed it.
#[test]
fn an_id_stays_in_use_until_both_sessions_of_its_client_have_ended() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let head = open_line("c=chat,d=2000");
    let (mut client, mut server) = establish_with(&head, proxy.address, &listener);
    let again = head.replace("\r\n", ",mid=1\r\n");
    let (second, mut second_server) = establish_with(&again, proxy.address, &listener);
    drop(second);
    second_server.expect_end();
    wait_until(|| proxy.metrics.text().contains("app.in_progress=1\n"));
    // Only an established session could have an id that has run, unless it is in use.
    let mut other = Peer::connect(proxy.address, &again.replace(" 2 c=", " 3 c="));
    assert_eq!(other.receive_line(), "ERR\r\n");
    client.send("still here\r\n");
    assert_eq!(server.receive_line(), "still here\r\n");
}

/// Guards against a session that runs twice: an id whose client had left, before or after its server answered, was sent
/// to a server again when it came on a new connection.
#[test]
fn the_id_of_a_session_that_may_have_run_is_not_accepted_again() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    for attributes in ["c=pay,d=2000", "c=chat,d=2000", "c=pay,d=2000,at=s-0"] {
        for (is_answered, resets) in [(false, false), (false, true), (true, false), (true, true)] {
            let head = open_line(attributes);
            let mut client = Peer::connect(proxy.address, &head);
            let mut server = Peer::accept(&listener);
            server.receive_line();
            if is_answered {
                server.send("UP 5\r\n");
                assert_eq!(client.receive_line(), "UP 5\r\n");
            }
            if resets {
                client.reset()
            } else {
                drop(client)
            }
            wait_until(|| proxy.metrics.text().contains("app.in_progress=0\n"));
            let mut again = Peer::connect(proxy.address, &head);
            assert_eq!(again.receive_line(), "ERR\r\n", "{head} answered={is_answered} reset={resets}");
        }
    }
    // The second attempt of this session may have run.
    let head = open_line("c=pay,d=2000");
    let mut client = Peer::connect(proxy.address, &head);
    answer_attempt(&listener, "BUSY\r\n");
    answer_attempt(&listener, "ERR\r\n");
    assert_eq!(client.receive_line(), "ERR\r\n");
    assert_eq!(Peer::connect(proxy.address, &head).receive_line(), "ERR\r\n");
    assert_eq!(non_empty_first_lines(&listener), [""; 0]);
}

/// A session that no endpoint has run may come again with its id.
#[test]
fn the_id_of_a_session_that_never_ran_is_accepted_again() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    thread::spawn(move || {
        answer_attempt(&listener, "BUSY\r\n");
        answer_attempt(&listener, "BUSY\r\n");
        answer_attempt(&listener, "UP 5\r\n");
    });
    let head = open_line("c=pay,d=2000");
    let mut answers = std::iter::repeat_with(|| Peer::connect(proxy.address, &head).receive_line());
    let accepted = answers.find(|answer| !answer.starts_with("BUSY")).unwrap();
    assert_eq!(accepted, "UP 5\r\n");
}

/// Accepts an attempt and answers it.
fn answer_attempt(listener: &TcpListener, answer: &str) {
    let mut server = Peer::accept(listener);
    server.receive_line();
    server.send(answer);
}

#[test]
fn a_client_that_sends_before_its_answer_is_failed() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    client.send("too early\r\n");
    assert_eq!(client.receive_line(), "ERR\r\n");
    server.expect_end();
}

/// Guards against long waits: silent clients were kept for 5 s, and for 60 s after a health check; they must be closed
/// within 3 s.
#[test]
fn silent_clients_are_disconnected_soon() {
    let proxy = start_with_servers(&[]);
    let started = Instant::now();
    let (mut silent, mut pinged) =
        (Peer::connect(proxy.address, ""), Peer::connect(proxy.address, "PING\r\n"));
    let mut half = Peer::connect(proxy.address, "OPEN 1 2 c=ch");
    assert_eq!((silent.receive_line(), half.receive_line()), ("ERR\r\n".into(), "ERR\r\n".into()));
    assert_eq!(pinged.receive_line(), "PONG\r\n");
    [silent, half, pinged].iter_mut().for_each(Peer::expect_end);
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Guards against rejections for lack of descriptors: each idle client took two of them, and clients with sessions were
/// rejected.
#[test]
fn clients_that_sent_nothing_are_evicted_for_sessions() {
    let (listener, at) = listen();
    let proxy = start(&[at], refusing_address(), "proxy", 8);
    let mut pinged = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(pinged.receive_line(), "PONG\r\n");
    // Six descriptors are available for clients and their servers: these are three clients too many.
    let mut silent: Vec<_> = (0..8).map(|_| Peer::connect(proxy.address, "")).collect();
    for mut evicted in silent.drain(..3) {
        assert_eq!(evicted.receive_line(), "BUSY\r\n");
    }
    let _held: Vec<_> = (0..2).map(|_| establish(proxy.address, &listener)).collect();
    for mut evicted in silent.drain(..4) {
        assert_eq!(evicted.receive_line(), "BUSY\r\n");
    }
    pinged.send("PING\r\n");
    assert_eq!(pinged.receive_line(), "PONG\r\n");
}

#[test]
fn a_client_that_sends_sixty_megabytes_still_receives_the_error() {
    let proxy = start_with_servers(&[]);
    let mut client = Peer::connect(proxy.address, "OPEN 1 2 c=chat,d=2000,x=");
    let chunk = "y".repeat(1 << 20);
    (0..60).for_each(|_| client.send(&chunk));
    assert_eq!(client.receive_line(), "ERR\r\n");
    client.expect_end();
}
