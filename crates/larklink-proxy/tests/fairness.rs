//! A peer that sends without pause does not keep the other tasks of its thread from running: whatever has arrived, each
//! poll handles a bounded part of it.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use async_io::Async;
use futures_lite::future::{block_on, poll_once};
use larklink_proxy::connection::discard_until_end;
use larklink_proxy::handover::channel::message_channel;

/// Longer than the test takes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against an admin endpoint that serves nobody while one caller goes on sending after its response.
#[test]
fn one_poll_discards_a_part_of_what_has_arrived() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let receiver = Async::new(listener.accept().unwrap().0).unwrap();
    sender.set_nonblocking(true).unwrap();
    // Until the kernel's buffers are full.
    while sender.write(&[0; 1 << 20]).is_ok() {}
    assert!(block_on(poll_once(discard_until_end(&receiver, IDLE_TIMEOUT))).is_none());
    assert!(
        receiver.get_ref().peek(&mut [0]).is_ok_and(|length| length > 0),
        "one poll read all that had arrived"
    );
}

/// Guards against clients that wait while another process of the proxy sends messages without pause.
#[test]
fn another_task_runs_between_two_messages_of_another_process() {
    let (mut sender, receiver) = UnixStream::pair().unwrap();
    let (mut reader, _writer) = message_channel(Async::new(receiver).unwrap());
    sender.write_all(&b"{\"ids\":{}}\n".repeat(10)).unwrap();
    drop(sender);
    for _ in 0..10 {
        let mut receive = Box::pin(reader.receive());
        assert!(block_on(poll_once(&mut receive)).is_none(), "a message was received without a pause");
        block_on(receive).unwrap();
    }
    assert_eq!(block_on(reader.receive()).unwrap_err().kind(), ErrorKind::UnexpectedEof);
}
