//! One end of a connection, spoken line by line, as the tests on sockets share it.
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(10);

/// A line and the connection it came on.
pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line; nothing at the end.
    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }
}

/// A first line with an id of its own, as each connection has.
pub fn open(rest: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("OPEN {:x} 2 {rest}\r\n", NEXT.fetch_add(1, Relaxed))
}
