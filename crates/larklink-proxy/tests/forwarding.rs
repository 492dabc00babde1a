//! Sessions through a whole proxy on loopback sockets: attempts, lines both ways, and how each side is ended. Servers and
//! clients are scripted line by line; every wait is for a line or an end that must come.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, open_line};
use stage::{establish, listen, refusing_address, start_with_servers};

#[test]
fn a_session_goes_through_and_only_its_wait_is_rewritten() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, "OPEN ab 12 c=chat,t=acme,d=2000,x=y z,g=1f\r\n");
    let mut server = Peer::accept(&listener);
    let head = server.receive_line();
    let wait =
        head.strip_prefix("OPEN ab 12 c=chat,t=acme,d=").and_then(|h| h.strip_suffix(",x=y z,g=1f\r\n"));
    assert!(wait.is_some_and(|w| (1900..=2000).contains(&w.parse().unwrap())), "{head}");
    server.send("UP 1\r\nLOAD 12.5\r\nhalf a ");
    assert_eq!((client.receive_line(), client.receive_line()), ("UP 1\r\n".into(), "LOAD 12.5\r\n".into()));
    client.send("M 1 \u{e9}\r\n");
    assert_eq!(server.receive_line(), "M 1 \u{e9}\r\n");
    server.send("line\r\nBYE\r\n");
    assert_eq!((client.receive_line(), client.receive_line()), ("half a line\r\n".into(), "BYE\r\n".into()));
    // The server's end need not come for the client to be let go.
    client.expect_end();
}

#[test]
fn each_side_is_ended_as_the_other_ended() {
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
fn a_dial_that_never_ran_goes_on_to_another_server() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[refusing_address(), at]);
    for session in ["c=chat", "c=pay"] {
        for n in 0..8 {
            let mut client = Peer::connect(proxy.address, &open_line(&format!("{session},d=2000,g={n}")));
            let mut server = Peer::accept(&listener);
            server.receive_line();
            // It ends well: a server that breaks off would be doubted in the next round, by chance.
            server.send("UP 1\r\nBYE\r\n");
            assert_eq!((client.receive_line(), client.receive_line()), ("UP 1\r\n".into(), "BYE\r\n".into()));
            drop(server);
            client.expect_end();
        }
    }
}

#[test]
fn a_once_only_session_that_may_have_run_is_torn_down_not_refused() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at, at]);
    let ask = |class| Peer::connect(proxy.address, &open_line(&format!("c={class},d=2000")));
    let mut client = ask("pay");
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(server);
    assert_eq!(client.receive_line(), "ERR\r\n");
    client.expect_end();
    let mut client = ask("pay");
    // Turned away by each server it tries, it has run nowhere.
    let turn = thread::spawn(move || {
        for stream in listener.incoming().take(2) {
            let mut server = Peer::new(stream.unwrap());
            server.receive_line();
            server.send("BUSY inflight=7\r\n");
        }
        listener
    });
    let answer = client.receive_line();
    let wait = answer.strip_prefix("BUSY ").and_then(|a| a.strip_suffix("\r\n"));
    assert!(wait.is_some_and(|ms| ms.parse::<u64>().unwrap() <= 1500), "{answer}");
    client.expect_end();
    let listener = turn.join().unwrap();
    // And one whose time runs out is answered then.
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=50"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    assert_eq!(client.receive_line(), "ERR\r\n");
    server.expect_end();
}

/// It was held for 5.5 s from its first line without one back, over 7 s after the last that had come.
#[test]
fn who_hears_nothing_more_from_its_server_is_soon_moved() {
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

/// Behind a client that took nothing the server was not read, so that it passed for silent: its other sessions
/// were moved off it. A client's slowness is no evidence against its server.
#[test]
fn a_client_that_takes_nothing_is_let_go_and_its_server_is_not_blamed() {
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
        healthy.send(line);
        assert_eq!(its_server.receive_line(), line);
        its_server.send(line);
        assert_eq!(healthy.receive_line(), line);
    }
}

#[test]
fn a_connection_of_before_goes_to_the_server_that_held_it() {
    let ((first, a), (second, b)) = (listen(), listen());
    let proxy = start_with_servers(&[a, b]);
    // Where sessions end at the proxy, d tells how long one was to live: turned away for it, it was lost.
    let whole_life = u64::MAX.to_string();
    for (n, listener, wait) in [(0, &first, "2000"), (1, &second, "7200000"), (0, &first, &whole_life)] {
        let head = open_line(&format!("c=chat,d={wait},at=s-{n}"));
        let mut client = Peer::connect(proxy.address, &head);
        let mut server = Peer::accept(listener);
        assert_eq!(server.receive_line(), head);
        server.send("UP 5\r\n");
        assert_eq!(client.receive_line(), "UP 5\r\n");
    }
}

/// How late 99 in 100 lines are that a server pushes a millisecond apart, milliseconds.
fn pushed(mut server: Peer, mut client: Peer) -> f64 {
    let begun = Instant::now();
    let pushing = thread::spawn(move || {
        for n in 0..1000 {
            thread::sleep((begun + Duration::from_millis(n)).saturating_duration_since(Instant::now()));
            server.send(&format!("{}\r\n", begun.elapsed().as_micros()));
        }
        server
    });
    let mut late: Vec<_> = (0..1000)
        .map(|_| {
            let sent: u128 = client.receive_line().trim().parse().unwrap();
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
    let (listener, at) = listen();
    let client = Peer::connect(at, "");
    let server = Peer::accept(&listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let direct = pushed(server, client);
    let proxy = start_with_servers(&[at]);
    let (client, server) = establish(proxy.address, &listener);
    server.0.get_ref().set_nodelay(true).unwrap();
    let through = pushed(server, client);
    eprintln!("99 in 100 within {direct:.2} ms direct, {through:.2} ms through the proxy");
    assert!(through < 20.0, "{through} ms, {direct} ms direct");
}
