//! The external load balancer: distributes connections among the proxies of their zone, in turn. It uses a proxy once
//! that has answered, and goes on sending to one that has died until it notices.
use crate::time::{TickDuration, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyStatus {
    /// It gets no connections.
    Out,
    /// It gets connections.
    In,
    /// It is dead, which is not noticed until then.
    DeadUntil(Timestamp),
}

/// The external load balancer.
pub struct ExternalLoadBalancer {
    proxies: Vec<ProxyStatus>,
    notices_after: TickDuration,
    /// For each zone, the proxy after the last that got a connection.
    turns: Vec<usize>,
}

impl ExternalLoadBalancer {
    /// The proxies lie in the zones by turns; a dead one is noticed after a time.
    pub fn new(proxies: usize, zones: usize, notices_after: TickDuration) -> Self {
        Self { proxies: vec![ProxyStatus::Out; proxies], notices_after, turns: vec![0; zones.max(1)] }
    }

    /// A proxy answers: from now on it gets connections.
    pub fn proxy_answered(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::In;
    }

    /// A proxy has died: nothing answers there from now on.
    pub fn proxy_died(&mut self, now: Timestamp, proxy: usize) {
        if self.proxies[proxy] == ProxyStatus::In {
            self.proxies[proxy] = ProxyStatus::DeadUntil(now + self.notices_after);
        }
    }

    /// A planned stop: the proxy gets no more connections.
    pub fn remove_proxy(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::Out;
    }

    /// The proxy that gets the next connection of a client with that key: one of the client's zone, if there is any.
    pub fn next_proxy(&mut self, now: Timestamp, key: u64) -> Option<usize> {
        let count = self.proxies.len();
        let zones = self.turns.len();
        let zone = (key % zones as u64) as usize;
        let first = self.turns[zone];
        let mut candidates =
            (first..first + count).map(|number| number % count).filter(|proxy| proxy % zones == zone);
        let next = candidates.find(|&proxy| match self.proxies[proxy] {
            ProxyStatus::In => true,
            ProxyStatus::DeadUntil(until) => now < until,
            ProxyStatus::Out => false,
        })?;
        self.turns[zone] = next + 1;
        Some(next)
    }
}
