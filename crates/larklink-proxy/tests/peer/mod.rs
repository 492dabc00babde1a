//! One end of a connection, spoken line by line, as the tests on sockets share it.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A line and the connection it came on.
pub(crate) struct Peer(pub(crate) BufReader<TcpStream>);

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line; nothing at the end.
    pub(crate) fn receive_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }
}

/// A first line with an id of its own, as each connection has.
pub(crate) fn open_line(rest: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("OPEN {:x} 2 {rest}\r\n", NEXT.fetch_add(1, Relaxed))
}
