//! What a client may send first, and what becomes of one that sends nothing, nonsense or too much.
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, open_line};
use stage::{establish, establish_with, listen, refusing_address, start, start_with_servers};

#[test]
fn a_client_that_leaves_while_it_waits_is_noticed() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let client = Peer::connect(proxy.address, &open_line("c=chat,d=9000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(client);
    server.expect_end();
}

#[test]
fn bad_first_lines_are_failed_and_probes_answered() {
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
    assert!(client.receive_line().starts_with("BUSY"), "no server, no session");
}

#[test]
fn without_descriptors_a_client_is_refused_at_once() {
    let (listener, at) = listen();
    let proxy = start(&[at], refusing_address(), "proxy", 8);
    let held: Vec<_> = (0..3).map(|_| establish(proxy.address, &listener)).collect();
    let mut client = Peer::new(TcpStream::connect(proxy.address).unwrap());
    assert_eq!(client.receive_line(), "BUSY\r\n");
    drop(held);
}

/// Servers fail it wherever it is sent, and that looked like trouble of the session store.
#[test]
fn the_id_of_a_session_that_is_open_is_not_taken_twice() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let head = open_line("c=chat,d=2000");
    let (mut client, mut server) = establish_with(&head, proxy.address, &listener);
    let mut other = Peer::connect(proxy.address, &head.replace(" 2 c=", " 3 c="));
    assert_eq!(other.receive_line(), "ERR\r\n");
    client.send("still here\r\n");
    assert_eq!(server.receive_line(), "still here\r\n");
}

#[test]
fn who_does_not_wait_for_the_answer_is_failed() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    client.send("too early\r\n");
    assert_eq!(client.receive_line(), "ERR\r\n");
    server.expect_end();
}

/// They were let wait for 5 s, and for 60 s after a probe; 3 s are owed.
#[test]
fn who_says_nothing_is_soon_let_go() {
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

/// Each took two descriptors, and real clients were refused.
#[test]
fn who_has_never_spoken_gives_way_to_sessions() {
    let (listener, at) = listen();
    let proxy = start(&[at], refusing_address(), "proxy", 8);
    let mut pinged = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(pinged.receive_line(), "PONG\r\n");
    // With six descriptors for clients and their servers, three more than there are.
    let mut silent: Vec<_> = (0..8).map(|_| Peer::connect(proxy.address, "")).collect();
    for mut gone in silent.drain(..3) {
        assert_eq!(gone.receive_line(), "BUSY\r\n");
    }
    let _held: Vec<_> = (0..2).map(|_| establish(proxy.address, &listener)).collect();
    for mut gone in silent.drain(..4) {
        assert_eq!(gone.receive_line(), "BUSY\r\n");
    }
    pinged.send("PING\r\n");
    assert_eq!(pinged.receive_line(), "PONG\r\n");
}

#[test]
fn who_sends_sixty_megabytes_hears_the_error_all_the_same() {
    let proxy = start_with_servers(&[]);
    let mut client = Peer::connect(proxy.address, "OPEN 1 2 c=chat,d=2000,x=");
    let chunk = "y".repeat(1 << 20);
    (0..60).for_each(|_| client.send(&chunk));
    assert_eq!(client.receive_line(), "ERR\r\n");
    client.expect_end();
}
