//! Probes: one kept connection to each server that was asked, for a line there and a line back.
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{ErrorKind, IoSlice, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use larklink::types::Outcome;

use crate::clock::tenths;
use crate::events::{Event, Queue};
use crate::lines::{Reply, report, word};
use crate::servers::{Link, connect, within, write_gathered};

pub struct Probes {
    /// The names of a report's values; empty where probes tell no load.
    names: Vec<String>,
    connect_timeout: Duration,
    kept: RefCell<HashMap<u32, (SocketAddr, Link)>>,
    queue: Queue,
}

impl Probes {
    pub fn new(names: Vec<String>, connect_timeout: Duration, queue: Queue) -> Self {
        Self { names, connect_timeout, kept: RefCell::default(), queue }
    }

    /// Asks a server; the answer goes to the queue.
    pub async fn ask(&self, server: u32, address: SocketAddr) {
        let started = Instant::now();
        let kept = self.kept.borrow_mut().remove(&server);
        let mut answer = match kept {
            Some((at, link)) if at == address => self.exchange(link).await,
            _ => Err(Outcome::Broken),
        };
        // A kept connection may have gone idle, or its server may have started anew: that tells nothing yet.
        if matches!(answer, Err(Outcome::Broken)) {
            answer = match connect(address, self.connect_timeout).await {
                Ok(link) => self.exchange(link).await,
                Err(how) => Err(how),
            };
        }
        let (how, report) = match answer {
            Ok((how, report, link)) => {
                self.kept.borrow_mut().insert(server, (address, link));
                (how, report)
            }
            Err(how) => (how, Vec::new()),
        };
        self.queue.send(Event::Probed { server, how, took: tenths(started.elapsed()), report }).await;
    }

    /// Closes the connection to a server that is gone.
    pub fn forget(&self, server: u32) {
        self.kept.borrow_mut().remove(&server);
    }

    async fn exchange(&self, mut link: Link) -> std::result::Result<(Outcome, Vec<f64>, Link), Outcome> {
        match within(self.connect_timeout, self.lines(&mut link)).await {
            Ok((how, report)) => Ok((how, report, link)),
            Err(e) if e.kind() == ErrorKind::TimedOut => Err(Outcome::Late),
            Err(_) => Err(Outcome::Broken),
        }
    }

    async fn lines(&self, link: &mut Link) -> Result<(Outcome, Vec<f64>)> {
        let ask: &[u8] = if self.names.is_empty() { b"PING\r\n" } else { b"STATS\r\n" };
        write_gathered(&link.stream, &mut [IoSlice::new(ask)]).await?;
        let n = link.line().await?;
        let (word, rest) = word(&link.inbox.bytes()[..n]);
        let answer = match word {
            Reply::Pong => (Outcome::Accepted, report(rest, &self.names)),
            Reply::Busy => (Outcome::Full, Vec::new()),
            _ => (Outcome::Error, Vec::new()),
        };
        link.inbox.consume(n);
        Ok(answer)
    }
}
