//! One end of a line-based connection, shared by the tests that use sockets.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that is read line by line.
pub(crate) struct Peer(pub(crate) BufReader<TcpStream>);

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Receives the next line; empty at the end of the stream.
    pub(crate) fn receive_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }
}

/// Creates a first line with a unique session id and the given attributes.
pub(crate) fn open_line(attributes: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("OPEN {:x} 2 {attributes}\r\n", NEXT.fetch_add(1, Relaxed))
}
