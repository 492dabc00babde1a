//! The external load balancer, which distributes client connections round-robin among the proxies of the client's zone.
//! A proxy is in rotation from its first answer on. A dead proxy stays in rotation until the failure is detected.
use crate::time::{TickDuration, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyStatus {
    /// Gets no connections.
    OutOfRotation,
    /// Gets connections.
    InRotation,
    /// Is dead but still gets connections, until the failure is detected at this time.
    FailedUndetectedUntil(Timestamp),
}

/// A load balancer in front of all proxies of a run.
pub struct ExternalLoadBalancer {
    proxies: Vec<ProxyStatus>,
    /// How long after the death of a proxy it is taken out of rotation.
    detection_delay: TickDuration,
    /// For each zone, the proxy index at which the search for the next proxy starts.
    next_by_zone: Vec<usize>,
}

impl ExternalLoadBalancer {
    /// Creates a load balancer without proxies in rotation. Proxies are assigned to zones by index modulo `zones`; the
    /// death of a proxy is detected after `detection_delay`.
    pub fn new(proxies: usize, zones: usize, detection_delay: TickDuration) -> Self {
        Self {
            proxies: vec![ProxyStatus::OutOfRotation; proxies],
            detection_delay,
            next_by_zone: vec![0; zones.max(1)],
        }
    }

    /// Puts a proxy that has answered into rotation.
    pub fn add_proxy(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::InRotation;
    }

    /// Handles the death of a proxy: connections to it fail, and it leaves the rotation after the detection delay.
    pub fn proxy_died(&mut self, now: Timestamp, proxy: usize) {
        if self.proxies[proxy] == ProxyStatus::InRotation {
            self.proxies[proxy] = ProxyStatus::FailedUndetectedUntil(now + self.detection_delay);
        }
    }

    /// Takes a proxy out of rotation at once, for a planned stop.
    pub fn remove_proxy(&mut self, proxy: usize) {
        self.proxies[proxy] = ProxyStatus::OutOfRotation;
    }

    /// Returns the proxy for the next connection of the client with this key, or `None` if no proxy of the client's
    /// zone is in rotation.
    pub fn next_proxy(&mut self, now: Timestamp, key: u64) -> Option<usize> {
        let count = self.proxies.len();
        let zones = self.next_by_zone.len();
        let zone = (key % zones as u64) as usize;
        let first = self.next_by_zone[zone];
        let mut candidates =
            (first..first + count).map(|index| index % count).filter(|proxy| proxy % zones == zone);
        let next = candidates.find(|&proxy| match self.proxies[proxy] {
            ProxyStatus::InRotation => true,
            ProxyStatus::FailedUndetectedUntil(until) => now < until,
            ProxyStatus::OutOfRotation => false,
        })?;
        self.next_by_zone[zone] = next + 1;
        Some(next)
    }
}
