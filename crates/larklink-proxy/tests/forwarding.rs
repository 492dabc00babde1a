//! Sessions through a complete proxy on loopback sockets: attempts, lines in both directions, and how each connection
//! is closed. Servers and clients are scripted line by line; every wait is for a line or an end of stream that must
//! come.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

mod harness;
use harness::peer::{Peer, open_line};
use harness::{establish, listen, refusing_address, start_with_servers};

#[test]
fn a_session_is_relayed_and_only_its_dial_timeout_is_rewritten() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, "OPEN ab 12 c=chat,t=acme,d=2000,x=y z,g=1f\r\n");
    let mut server = Peer::accept(&listener);
    let head = server.receive_line();
    let dial_timeout =
        head.strip_prefix("OPEN ab 12 c=chat,t=acme,d=").and_then(|h| h.strip_suffix(",x=y z,g=1f\r\n"));
    assert!(dial_timeout.is_some_and(|w| (1900..=2000).contains(&w.parse().unwrap())), "{head}");
    server.send("UP 1\r\nLOAD 12.5\r\nhalf a ");
    assert_eq!((client.receive_line(), client.receive_line()), ("UP 1\r\n".into(), "LOAD 12.5\r\n".into()));
    client.send("M 1 \u{e9}\r\n");
    assert_eq!(server.receive_line(), "M 1 \u{e9}\r\n");
    server.send("line\r\nBYE\r\n");
    assert_eq!((client.receive_line(), client.receive_line()), ("half a line\r\n".into(), "BYE\r\n".into()));
    // The client's connection is closed although the server keeps its own open.
    client.expect_end();
}

#[test]
fn each_side_is_closed_or_reset_like_the_other() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (client, mut server) = establish(proxy.address, &listener);
    drop(client);
    server.expect_end();
    let (client, mut server) = establish(proxy.address, &listener);
    client.reset();
    server.expect_reset();
    let (mut client, server) = establish(proxy.address, &listener);
    server.reset();
    client.expect_reset();
    let (mut client, server) = establish(proxy.address, &listener);
    drop(server);
    client.expect_end();
}

#[test]
fn an_attempt_that_never_ran_is_retried_at_another_server() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[refusing_address(), at]);
    for session in ["c=chat", "c=pay"] {
        for n in 0..8 {
            let mut client = Peer::connect(proxy.address, &open_line(&format!("{session},d=2000,g={n}")));
            let mut server = Peer::accept(&listener);
            server.receive_line();
            // The session succeeds: after a failure the proxy might avoid the server in the next round.
            server.send("UP 1\r\nBYE\r\n");
            assert_eq!((client.receive_line(), client.receive_line()), ("UP 1\r\n".into(), "BYE\r\n".into()));
            drop(server);
            client.expect_end();
        }
    }
}

#[test]
fn a_once_only_session_that_may_have_run_is_failed_not_rejected() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at, at]);
    let open_session = |class| Peer::connect(proxy.address, &open_line(&format!("c={class},d=2000")));
    let mut client = open_session("pay");
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(server);
    assert_eq!(client.receive_line(), "ERR\r\n");
    client.expect_end();
    let mut client = open_session("pay");
    // Rejected by each server that is tried, the session has run nowhere.
    let rejecting = thread::spawn(move || {
        for stream in listener.incoming().take(2) {
            let mut server = Peer::new(stream.unwrap());
            server.receive_line();
            server.send("BUSY inflight=7\r\n");
        }
        listener
    });
    let answer = client.receive_line();
    let retry_after = answer.strip_prefix("BUSY ").and_then(|a| a.strip_suffix("\r\n"));
    assert!(retry_after.is_some_and(|ms| ms.parse::<u64>().unwrap() <= 1500), "{answer}");
    client.expect_end();
    let listener = rejecting.join().unwrap();
    // A session whose dial timeout expires is answered at that time.
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=50"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    assert_eq!(client.receive_line(), "ERR\r\n");
    server.expect_end();
}

/// Guards against a late migration: the client was held for 5.5 s from its first unanswered line, which is over 7 s
/// after the last line that it had received.
#[test]
fn the_client_of_a_silent_server_is_migrated_soon() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (mut client, mut server) = establish(proxy.address, &listener);
    let started = Instant::now();
    client.send("one\r\n");
    assert_eq!(server.receive_line(), "one\r\n");
    assert_eq!(client.receive_line(), "MOVE\r\n");
    client.expect_end();
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Guards against blaming the server for a slow client: while a client did not read, the connection to its server was
/// not read either. The server was taken for silent, and its other sessions were migrated.
#[test]
fn a_client_that_does_not_read_is_disconnected_and_its_server_is_not_blamed() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (mut healthy, mut its_server) = establish(proxy.address, &listener);
    let slow: Vec<_> = (0..8)
        .map(|_| {
            let (mut client, mut server) = establish(proxy.address, &listener);
            client.send("much, please\r\n");
            assert_eq!(server.receive_line(), "much, please\r\n");
            let flood = thread::spawn(move || {
                let line = format!("{}\r\n", "y".repeat(1000)).repeat(64);
                // Until the proxy disconnects: far more than all buffers in between can hold.
                while server.0.get_mut().write_all(line.as_bytes()).is_ok() {}
            });
            // Messages whose answers would come after all of that.
            let mut sender = client.0.get_ref().try_clone().unwrap();
            let sending = thread::spawn(move || {
                while sender.write_all(b"more\r\n").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            });
            (client, flood, sending)
        })
        .collect();
    // Each of them counted as another failure of the server without a sign of life, which migrated the healthy client.
    for (client, flood, sending) in slow {
        flood.join().unwrap();
        drop(client);
        sending.join().unwrap();
    }
    for line in ["one\r\n", "two\r\n"] {
        healthy.send(line);
        assert_eq!(its_server.receive_line(), line);
        its_server.send(line);
        assert_eq!(healthy.receive_line(), line);
    }
}

#[test]
fn a_session_from_before_the_start_goes_to_the_server_that_it_names() {
    let ((first, a), (second, b)) = (listen(), listen());
    let proxy = start_with_servers(&[a, b]);
    // In this mode, d of such a session is the lifetime of its connection. Sessions were lost when it was rejected as
    // too long.
    let lifetime = u64::MAX.to_string();
    for (n, listener, dial_timeout) in [(0, &first, "2000"), (1, &second, "7200000"), (0, &first, &lifetime)]
    {
        let head = open_line(&format!("c=chat,d={dial_timeout},at=s-{n}"));
        let mut client = Peer::connect(proxy.address, &head);
        let mut server = Peer::accept(listener);
        assert_eq!(server.receive_line(), head);
        server.send("UP 5\r\n");
        assert_eq!(client.receive_line(), "UP 5\r\n");
    }
}

/// The 99th percentile of the delay of lines that a server sends one millisecond apart, in milliseconds.
fn delay_p99_ms(mut server: Peer, mut client: Peer) -> f64 {
    let begun = Instant::now();
    let sending = thread::spawn(move || {
        for n in 0..1000 {
            thread::sleep((begun + Duration::from_millis(n)).saturating_duration_since(Instant::now()));
            server.send(&format!("{}\r\n", begun.elapsed().as_micros()));
        }
        server
    });
    let mut delays: Vec<_> = (0..1000)
        .map(|_| {
            let sent: u128 = client.receive_line().trim().parse().unwrap();
            (begun.elapsed().as_micros() - sent) as f64 / 1e3
        })
        .collect();
    drop(sending.join().unwrap());
    delays.sort_by(f64::total_cmp);
    delays[989]
}

/// Guards against Nagle's algorithm: a line that waits for the acknowledgement of the previous one is some 40 ms late.
#[test]
fn lines_sent_by_a_server_do_not_wait_for_acknowledgements() {
    let (listener, at) = listen();
    let client = Peer::connect(at, "");
    let server = Peer::accept(&listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let direct = delay_p99_ms(server, client);
    let proxy = start_with_servers(&[at]);
    let (client, server) = establish(proxy.address, &listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let through = delay_p99_ms(server, client);
    eprintln!("99th percentile: {direct:.2} ms direct, {through:.2} ms through the proxy");
    assert!(through < 20.0, "{through} ms, {direct} ms direct");
}
