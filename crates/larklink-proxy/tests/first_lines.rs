//! What a client may send first, and what becomes of one that sends nothing, nonsense or too much.
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, open};
use stage::{nobody, quiet, server, standing, standing_by, start};

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
    let mut other = Peer::connect(proxy.address, &head.replace(" 2 c=", " 3 c="));
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
