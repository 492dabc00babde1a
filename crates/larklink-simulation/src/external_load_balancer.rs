//! The front: deals connections out among the proxies of their zone, in turn. It takes a proxy in once that has answered,
//! and goes on sending to one that has died for as long as it takes it to notice.
use larklink_balancer::{TickDuration, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyStatus {
    Out,
    In,
    /// Dead, and not yet noticed until then.
    DeadUntil(TickDuration),
}

pub struct ExternalLoadBalancer {
    proxies: Vec<ProxyStatus>,
    notices_after: TickDuration,
    /// The proxy after the last that was dealt to, by zone.
    turns: Vec<usize>,
}

impl ExternalLoadBalancer {
    /// The proxies lie in the zones by turns.
    pub fn new(proxies: usize, zones: usize, notices_after: TickDuration) -> Self {
        Self { proxies: vec![ProxyStatus::Out; proxies], notices_after, turns: vec![0; zones.max(1)] }
    }

    pub fn proxy_answered(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::In;
    }

    /// Dead: nothing answers there from now on.
    pub fn proxy_died(&mut self, now: Timestamp, proxy: usize) {
        if self.proxies[proxy] == ProxyStatus::In {
            self.proxies[proxy] = ProxyStatus::DeadUntil(now + self.notices_after);
        }
    }

    /// A planned stop: no more is sent there.
    pub fn remove_proxy(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::Out;
    }

    /// The proxy that gets the next connection of clients with that key: one of their zone, if any is in.
    pub fn next_proxy(&mut self, now: Timestamp, key: u64) -> Option<usize> {
        let (n, zones) = (self.proxies.len(), self.turns.len());
        let zone = (key % zones as u64) as usize;
        let from = self.turns[zone];
        let mut order = (from..from + n).map(|i| i % n).filter(|p| p % zones == zone);
        let next = order.find(|&p| match self.proxies[p] {
            ProxyStatus::In => true,
            ProxyStatus::DeadUntil(until) => now < until,
            ProxyStatus::Out => false,
        })?;
        self.turns[zone] = next + 1;
        Some(next)
    }
}
