//! What is served and serves: proxies, servers, session store, endpoint list and external load balancer.
use serde::Deserialize;

use crate::duration::ConfigDuration;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFleet {
    pub count: usize,
    /// Proxies, servers and clients lie in so many zones by turns; the front deals within one.
    pub zones: usize,
    pub memory_mb: u64,
    pub descriptors: usize,
    /// Each has an operators' door, is asked for its figures, and can be replaced.
    pub doors: bool,
    /// So many, the last in number, run in another shape than the rest: they may not probe, and crossing zones
    /// is priced above a move.
    pub moved: usize,
}

impl Default for ProxyFleet {
    fn default() -> Self {
        Self { count: 3, zones: 1, memory_mb: 192, descriptors: 4096, doors: false, moved: 0 }
    }
}

/// What proxies are told of the rules, and are judged by.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyRules {
    pub connect_timeout: ConfigDuration,
    pub dials: u32,
    /// The longest retry-after; none is given if it is 0.
    pub retry_after: ConfigDuration,
    pub drain_grace: ConfigDuration,
    pub probes: bool,
    pub must_ask_in: ConfigDuration,
    /// Packets pass through: a proxy that stops moves nobody, and its end breaks what it holds.
    pub passes: bool,
}

impl Default for ProxyRules {
    fn default() -> Self {
        Self {
            connect_timeout: ConfigDuration::from_millis(250),
            dials: 4,
            retry_after: ConfigDuration::from_millis(1500),
            drain_grace: ConfigDuration::from_millis(500),
            probes: true,
            must_ask_in: ConfigDuration::from_millis(10_000),
            passes: false,
        }
    }
}

/// Some servers that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerGroup {
    pub count: usize,
    pub cores: usize,
    pub speed: f64,
    /// Sessions that one holds.
    pub holds: usize,
    /// Work of a set-up, on a core of speed 1.
    pub setup_work: ConfigDuration,
    /// Set-ups are turned away while one would wait for longer than this.
    pub queue: ConfigDuration,
    /// The share of its capacity with which it starts cold, and how long it takes to warm up.
    pub start_capacity: f64,
    pub warm_up: ConfigDuration,
    /// Sent more than so many times what it can do while cold, for so long, it is overrun.
    pub fall_multiple: f64,
    pub fall_after: ConfigDuration,
    /// Overrun, it dies, and is back after so long.
    pub falls: bool,
    pub back_after: ConfigDuration,
    pub report_every: ConfigDuration,
    /// In the list from the start; else they join by a fault.
    pub listed: bool,
    pub weight: f64,
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            count: 6,
            cores: 2,
            speed: 1.0,
            holds: 5000,
            setup_work: ConfigDuration::from_millis(2),
            queue: ConfigDuration::from_millis(1500),
            start_capacity: 0.12,
            warm_up: ConfigDuration::from_millis(20_000),
            fall_multiple: 4.0,
            fall_after: ConfigDuration::from_millis(1000),
            falls: true,
            back_after: ConfigDuration::from_millis(2000),
            report_every: ConfigDuration::from_millis(200),
            listed: true,
            weight: 1.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionStoreSettings {
    /// Calls a second.
    pub rate: f64,
    /// A call that would wait for longer fails.
    pub bound: ConfigDuration,
}

impl Default for SessionStoreSettings {
    fn default() -> Self {
        Self { rate: 2000.0, bound: ConfigDuration::from_millis(2000) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListSettings {
    /// A change shows after so long.
    pub lag: ConfigDuration,
}

impl Default for EndpointListSettings {
    fn default() -> Self {
        Self { lag: ConfigDuration::from_millis(200) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadBalancerSettings {
    /// A dead proxy gets connections for so long.
    pub notices_after: ConfigDuration,
}

impl Default for LoadBalancerSettings {
    fn default() -> Self {
        Self { notices_after: ConfigDuration::from_millis(2000) }
    }
}
