//! What a proxy that is asked to stop does with new and established sessions.
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod harness;
use harness::peer::{Peer, open_line};
use harness::{establish, listen, refusing_address, start, start_with_servers};

#[test]
fn a_stopping_proxy_answers_new_sessions_and_migrates_established_ones() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (mut client, mut server) = establish(proxy.address, &listener);
    drop(proxy.stop);
    let mut late = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut late_server = Peer::accept(&listener);
    late_server.receive_line();
    late_server.send("UP 9\r\n");
    assert_eq!(late.receive_line(), "UP 9\r\n");
    assert_eq!((client.receive_line(), late.receive_line()), ("MOVE\r\n".into(), "MOVE\r\n".into()));
    client.expect_end();
    server.expect_end();
    drop((late, late_server));
    proxy.thread.join().unwrap();
    assert!(TcpStream::connect(proxy.address).is_err(), "the listener is still open");
}

/// Guards against an early exit: the proxy exited as soon as no session waited for an answer, and broke all established
/// sessions seconds before the end of its grace period.
#[test]
fn a_stopping_pass_through_proxy_migrates_nobody_and_uses_its_grace_period() {
    let (listener, at) = listen();
    let proxy = start(&[at], refusing_address(), "pass", 1024);
    let (mut client, _server) = establish(proxy.address, &listener);
    let stopped = Instant::now();
    drop(proxy.stop);
    proxy.thread.join().unwrap();
    // New sessions are accepted for 0.6 s, and the longest dial timeout is 0.3 s.
    assert!(stopped.elapsed() >= Duration::from_millis(900));
    client.0.get_ref().set_nonblocking(true).unwrap();
    let nothing = client.0.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(nothing, Err(ErrorKind::WouldBlock), "the connection is left as it is");
}
