//! What is served and serves: proxies, servers, session store, endpoint list and external load balancer.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// The proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFleet {
    /// How many there are.
    pub count: usize,
    /// Proxies, servers and clients lie in so many zones by turns; the external load balancer stays within one.
    pub zones: usize,
    /// The memory that each may use.
    pub memory_mb: u64,
    /// The file descriptors that each may use.
    pub descriptors: usize,
    /// Whether each has an admin endpoint, is asked for its metrics, and can be replaced.
    pub doors: bool,
    /// How many, the last in number, run in another shape than the rest: they may not check health, and crossing zones
    /// costs more than a migration.
    pub moved: usize,
}

impl Default for ProxyFleet {
    fn default() -> Self {
        Self { count: 3, zones: 1, memory_mb: 192, descriptors: 4096, doors: false, moved: 0 }
    }
}

/// What proxies have to keep, and are judged by.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyRules {
    /// How long a connection to a server may take.
    pub connect_timeout: ConfigDuration,
    /// The most attempts of one session.
    #[serde(rename = "dials")]
    pub max_attempts: u32,
    /// The longest Retry-After of a rejection; none is given if it is 0.
    #[serde(rename = "retry_after")]
    pub max_retry_after: ConfigDuration,
    /// How long after the notification of a drain new sessions may still be sent to the server.
    pub drain_grace: ConfigDuration,
    /// Whether proxies may check the health of servers.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// How long after a failed poll a proxy counts as notified of what it could not read.
    #[serde(rename = "must_ask_in")]
    pub discovery_deadline: ConfigDuration,
    /// Whether packets pass through: a proxy that stops migrates nothing, and its end breaks its sessions.
    #[serde(rename = "passes")]
    pub passthrough: bool,
}

impl Default for ProxyRules {
    fn default() -> Self {
        Self {
            connect_timeout: ConfigDuration::from_millis(250),
            max_attempts: 4,
            max_retry_after: ConfigDuration::from_millis(1500),
            drain_grace: ConfigDuration::from_millis(500),
            health_checks: true,
            discovery_deadline: ConfigDuration::from_millis(10_000),
            passthrough: false,
        }
    }
}

/// Equal servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerGroup {
    /// How many there are.
    pub count: usize,
    /// The cores of each.
    pub cores: usize,
    /// The speed of a core.
    pub speed: f64,
    /// The most sessions of each.
    #[serde(rename = "holds")]
    pub max_sessions: usize,
    /// The work of a set-up, on a core of speed 1.
    pub setup_work: ConfigDuration,
    /// Set-ups are rejected while one would wait for longer than this.
    #[serde(rename = "queue")]
    pub max_queue_wait: ConfigDuration,
    /// The share of its capacity that a server has when it starts.
    #[serde(rename = "start_capacity")]
    pub initial_capacity: f64,
    /// How long its slow start takes.
    #[serde(rename = "warm_up")]
    pub slow_start_duration: ConfigDuration,
    /// How many times its capacity it may be sent in slow start before it is overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window over which that is counted.
    #[serde(rename = "fall_after")]
    pub overload_window: ConfigDuration,
    /// Whether an overloaded server dies.
    #[serde(rename = "falls")]
    pub dies_when_overloaded: bool,
    /// How long after that it starts again.
    #[serde(rename = "back_after")]
    pub restart_after: ConfigDuration,
    /// How often it makes a load report.
    #[serde(rename = "report_every")]
    pub report_interval: ConfigDuration,
    /// Whether it is listed from the start; otherwise it joins by a fault.
    pub listed: bool,
    /// Its weight in the endpoint list.
    pub weight: f64,
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            count: 6,
            cores: 2,
            speed: 1.0,
            max_sessions: 5000,
            setup_work: ConfigDuration::from_millis(2),
            max_queue_wait: ConfigDuration::from_millis(1500),
            initial_capacity: 0.12,
            slow_start_duration: ConfigDuration::from_millis(20_000),
            overload_multiple: 4.0,
            overload_window: ConfigDuration::from_millis(1000),
            dies_when_overloaded: true,
            restart_after: ConfigDuration::from_millis(2000),
            report_interval: ConfigDuration::from_millis(200),
            listed: true,
            weight: 1.0,
        }
    }
}

/// The session store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionStoreSettings {
    /// Calls a second.
    pub rate: f64,
    /// The longest wait of a call; one that would wait for longer fails.
    pub bound: ConfigDuration,
}

impl Default for SessionStoreSettings {
    fn default() -> Self {
        Self { rate: 2000.0, bound: ConfigDuration::from_millis(2000) }
    }
}

/// The endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListSettings {
    /// How long after a change it shows.
    pub lag: ConfigDuration,
}

impl Default for EndpointListSettings {
    fn default() -> Self {
        Self { lag: ConfigDuration::from_millis(200) }
    }
}

/// The external load balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadBalancerSettings {
    /// How long a dead proxy still gets connections.
    pub notices_after: ConfigDuration,
}

impl Default for LoadBalancerSettings {
    fn default() -> Self {
        Self { notices_after: ConfigDuration::from_millis(2000) }
    }
}
