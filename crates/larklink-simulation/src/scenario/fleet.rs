//! The simulated fleet: proxies, servers, session store, endpoint list and external load balancer.
use serde::Deserialize;

use crate::duration::ConfigDuration;

/// Number and resources of the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFleet {
    /// The number of proxies.
    pub count: usize,
    /// The number of zones. Proxies, servers and clients are assigned to them round robin; the external load balancer
    /// sends a client only to proxies of its own zone.
    pub zones: usize,
    /// The memory limit of each proxy, in megabytes.
    pub memory_mb: u64,
    /// The file descriptor limit of each proxy.
    pub descriptors: usize,
    /// Whether each proxy has an admin endpoint, has its metrics polled, and can be replaced by a successor.
    #[serde(rename = "doors")]
    pub admin_endpoints: bool,
    /// How many proxies, counted from the last, run in the "moved" shape, which differs from that of the rest: health
    /// checks are not allowed, and crossing zones costs more than a migration.
    pub moved: usize,
}

impl Default for ProxyFleet {
    fn default() -> Self {
        Self { count: 3, zones: 1, memory_mb: 192, descriptors: 4096, admin_endpoints: false, moved: 0 }
    }
}

/// The limits that proxies must respect and that the audit checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyRules {
    /// The longest time for a connection to a server to be established.
    pub connect_timeout: ConfigDuration,
    /// The maximum number of attempts of one session.
    #[serde(rename = "dials")]
    pub max_attempts: u32,
    /// The longest Retry-After of a rejection; 0 disables Retry-After.
    #[serde(rename = "retry_after")]
    pub max_retry_after: ConfigDuration,
    /// How long new sessions may still be sent to a server after the proxy was notified that it drains.
    pub drain_grace: ConfigDuration,
    /// Whether proxies may send health checks to servers.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// How long after a failed poll of the endpoint list a proxy counts as notified of the changes that it missed.
    #[serde(rename = "must_ask_in")]
    pub discovery_deadline: ConfigDuration,
    /// Whether the deployment is pass-through: a proxy that stops migrates no sessions, and its exit breaks them.
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

/// A group of identical servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerGroup {
    /// The number of servers.
    pub count: usize,
    /// The number of cores of each server.
    pub cores: usize,
    /// The speed of a core, relative to a core of speed 1.
    pub speed: f64,
    /// The maximum number of sessions per server.
    #[serde(rename = "holds")]
    pub max_sessions: usize,
    /// The CPU time of one session setup on a core of speed 1.
    pub setup_work: ConfigDuration,
    /// Session setups that would wait longer than this in the queue are rejected.
    #[serde(rename = "queue")]
    pub max_queue_wait: ConfigDuration,
    /// The fraction of its capacity that a server has when it starts.
    #[serde(rename = "start_capacity")]
    pub initial_capacity: f64,
    /// How long the slow start takes.
    #[serde(rename = "warm_up")]
    pub slow_start_duration: ConfigDuration,
    /// During slow start, the load as a multiple of current capacity above which the server is overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The time window over which that load is measured.
    #[serde(rename = "fall_after")]
    pub overload_window: ConfigDuration,
    /// Whether an overloaded server crashes.
    #[serde(rename = "falls")]
    pub dies_when_overloaded: bool,
    /// How long after a crash by overload, or after the stop that ends a drain, the server restarts.
    #[serde(rename = "back_after")]
    pub restart_after: ConfigDuration,
    /// The interval between load reports.
    #[serde(rename = "report_every")]
    pub report_interval: ConfigDuration,
    /// Whether the servers are in the endpoint list from the start; otherwise a `servers-join` fault adds them.
    pub listed: bool,
    /// The weight in the endpoint list.
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

/// Rate and queue limit of the session store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionStoreSettings {
    /// Capacity in calls per second.
    pub rate: f64,
    /// The longest queueing time; calls that would wait longer fail.
    pub bound: ConfigDuration,
}

impl Default for SessionStoreSettings {
    fn default() -> Self {
        Self { rate: 2000.0, bound: ConfigDuration::from_millis(2000) }
    }
}

/// Propagation delay of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListSettings {
    /// How long it takes until a change is visible.
    pub lag: ConfigDuration,
}

impl Default for EndpointListSettings {
    fn default() -> Self {
        Self { lag: ConfigDuration::from_millis(200) }
    }
}

/// Failure detection of the external load balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadBalancerSettings {
    /// How long a dead proxy still receives new connections.
    #[serde(rename = "notices_after")]
    pub detection_delay: ConfigDuration,
}

impl Default for LoadBalancerSettings {
    fn default() -> Self {
        Self { detection_delay: ConfigDuration::from_millis(2000) }
    }
}
