//! Probes: one kept connection to each server that was asked, for a line there and a line back; fewer where the
//! descriptors that are set aside for them are fewer than the servers.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{ErrorKind, IoSlice, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use larklink_balancer::AttemptOutcome;
use larklink_engine::settings::ProxySettings;

use crate::clock::{span, tenths};
use crate::endpoint_list::Endpoint;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::limiter::{ConnectionLimiter, ProbePermit};
use crate::protocol::{ServerMessage, report, word};
use crate::upstream::{Connection, connect, within, write_gathered};

pub struct HealthChecker {
    /// The names of a report's values; empty where probes tell no load.
    names: Vec<String>,
    probing: bool,
    connect_timeout: Duration,
    kept: RefCell<HashMap<u32, Kept>>,
    /// Servers that are being asked, and have not gone from the list since: one connection to each is kept.
    asked: RefCell<HashSet<u32>>,
    /// Probes that wait for a descriptor: none rests at a connection meanwhile.
    waiting: Cell<usize>,
    queue: DecisionQueue,
    limiter: Rc<ConnectionLimiter>,
}

struct Kept {
    address: SocketAddr,
    link: Connection,
    descriptor: ProbePermit,
    since: Instant,
}

impl HealthChecker {
    pub fn new(facts: &ProxySettings, queue: DecisionQueue, limiter: Rc<ConnectionLimiter>) -> Self {
        let names = if facts.load_position.is_some() { facts.load_report_names.clone() } else { Vec::new() };
        let (probing, connect_timeout) = (facts.settings.health_checks, span(facts.settings.connect_timeout));
        let (kept, asked, waiting) = Default::default();
        Self { names, probing, connect_timeout, kept, asked, waiting, queue, limiter }
    }

    /// Asks a server; the answer goes to the queue. Its time counts from when there is a descriptor for it.
    pub async fn ask(&self, server: u32, address: SocketAddr) {
        self.asked.borrow_mut().insert(server);
        let kept = self.kept.borrow_mut().remove(&server);
        let (link, descriptor) = match kept {
            Some(Kept { address: at, link, descriptor, .. }) => {
                (Some(link).filter(|_| at == address), descriptor)
            }
            None => (None, self.descriptor().await),
        };
        let started = Instant::now();
        let mut answer = match link {
            Some(link) => self.exchange(link).await,
            None => Err(AttemptOutcome::Reset),
        };
        // A kept connection may have gone idle, or its server may have started anew: that tells nothing yet.
        if matches!(answer, Err(AttemptOutcome::Reset)) {
            answer = match connect(address, self.connect_timeout).await {
                Ok(link) => self.exchange(link).await,
                Err(how) => Err(how),
            };
        }
        let (how, report) = match answer {
            Ok((how, report, link)) => {
                if self.asked.borrow_mut().remove(&server) && self.waiting.get() == 0 {
                    let kept = Kept { address, link, descriptor, since: started };
                    self.kept.borrow_mut().insert(server, kept);
                }
                (how, report)
            }
            Err(how) => {
                self.asked.borrow_mut().remove(&server);
                (how, Vec::new())
            }
        };
        self.queue
            .send(DecisionEvent::HealthChecked {
                endpoint: server,
                outcome: how,
                took: tenths(started.elapsed()),
                load_report: report,
            })
            .await;
    }

    /// Goes by the list as it stands: a descriptor is set aside for each server that may be asked, and connections to
    /// those that are gone are closed, those under way once they have brought their answer. A whole list says nothing
    /// of servers that are gone, and connections to them stayed for good.
    pub fn listed(&self, servers: &BTreeMap<u32, Endpoint>) {
        self.limiter.set_aside(if self.probing { servers.len() } else { 0 });
        self.kept.borrow_mut().retain(|server, _| servers.contains_key(server));
        self.asked.borrow_mut().retain(|server| servers.contains_key(server));
    }

    /// One that is free, or that of the connection that has rested longest, or the next that another probe gives back.
    async fn descriptor(&self) -> ProbePermit {
        if let Some(free) = self.limiter.probe() {
            return free;
        }
        match self.oldest() {
            Some(kept) => kept.descriptor,
            None => {
                self.waiting.set(self.waiting.get() + 1);
                let next = self.limiter.next_probe().await;
                self.waiting.set(self.waiting.get() - 1);
                next
            }
        }
    }

    fn oldest(&self) -> Option<Kept> {
        let mut kept = self.kept.borrow_mut();
        let oldest = kept.iter().min_by_key(|(server, kept)| (kept.since, **server));
        let server = oldest.map(|(&server, _)| server)?;
        kept.remove(&server)
    }

    async fn exchange(
        &self,
        mut link: Connection,
    ) -> std::result::Result<(AttemptOutcome, Vec<f64>, Connection), AttemptOutcome> {
        match within(self.connect_timeout, self.lines(&mut link)).await {
            Ok((how, report)) => Ok((how, report, link)),
            Err(e) if e.kind() == ErrorKind::TimedOut => Err(AttemptOutcome::TimedOut),
            Err(_) => Err(AttemptOutcome::Reset),
        }
    }

    async fn lines(&self, link: &mut Connection) -> Result<(AttemptOutcome, Vec<f64>)> {
        let ask: &[u8] = if self.names.is_empty() { b"PING\r\n" } else { b"STATS\r\n" };
        write_gathered(&link.stream, &mut [IoSlice::new(ask)]).await?;
        let n = link.line().await?;
        let (word, rest) = word(&link.inbox.bytes()[..n]);
        let answer = match word {
            ServerMessage::Pong => (AttemptOutcome::Succeeded, report(rest, &self.names)),
            ServerMessage::Busy => (AttemptOutcome::AtCapacity, Vec::new()),
            _ => (AttemptOutcome::Failed, Vec::new()),
        };
        link.inbox.consume(n);
        Ok(answer)
    }
}
