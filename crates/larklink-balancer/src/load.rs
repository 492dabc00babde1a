//! The load of sessions and endpoints: means, load limits, overload, and the capacity that endpoints report.
//!
//! Load is counted in mean session loads: a session of average load counts 1.

use crate::time::{TickDuration, Timestamp};

/// Load reports over which the mean load of a session is taken.
const MEAN_LOAD_REPORTS: f64 = 256.0;
/// Load reports over which the mean load of a listener's sessions is taken.
const LISTENER_LOAD_REPORTS: f64 = 16.0;
/// Health checks over which the reported capacity is taken.
const CAPACITY_REPORTS: f64 = 256.0;
/// An endpoint that reports more than this fraction of its capacity as load is overloaded.
const OVERLOAD_UTILIZATION: f64 = 0.6;
/// An overloaded endpoint is relieved of its load above this fraction of its capacity.
const TARGET_UTILIZATION: f64 = 0.75;
/// How long an observation of overload holds: 1.5 s, as latency is observed each second while it is high.
const OVERLOAD_VALIDITY: TickDuration = TickDuration::from_millis(1_500);
/// Fraction of an overloaded endpoint's load that is too much, for each doubling of the latency.
pub(crate) const EXCESS_PER_LATENCY_DOUBLING: f64 = 0.08;
/// Sessions are migrated off an overloaded endpoint once in this time: 1 s.
const RELIEF_INTERVAL: TickDuration = TickDuration::from_secs(1);
/// A load limit is never lower than this: mean session loads.
const MIN_LOAD_LIMIT: f64 = 0.25;
/// A load limit grows by this fraction each second.
const LIMIT_GROWTH_PER_SECOND: f64 = 0.03;
/// What an endpoint with capacity left may get in addition to its load: mean session loads.
const LIMIT_HEADROOM: f64 = 2.0;

/// The load that this proxy's sessions put on one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLoad {
    /// Sessions that are established there or being attempted.
    sessions: u32,
    /// Their load, in mean session loads.
    total: f64,
    /// Since when it has had sessions without a break.
    occupied_since: Timestamp,
    /// The most load that it can take, learned from overload, in mean session loads.
    limit: f64,
    overload: Overload,
}

/// What is known of an endpoint's overload.
#[derive(Clone, Debug)]
struct Overload {
    /// It counts as overloaded before this time.
    until: Timestamp,
    /// Fraction of its load that is too much, by the latest observation.
    excess: f64,
    /// When sessions were last migrated off it for overload.
    last_relieved_at: Timestamp,
}

impl EndpointLoad {
    pub(crate) fn new() -> Self {
        Self {
            sessions: 0,
            total: 0.0,
            occupied_since: Timestamp::ZERO,
            limit: f64::INFINITY,
            overload: Overload { until: Timestamp::ZERO, excess: 0.0, last_relieved_at: Timestamp::ZERO },
        }
    }

    /// Its process has restarted: the overload and the load limit of the old one are discarded.
    pub(crate) fn record_restart(&mut self) {
        self.overload.until = Timestamp::ZERO;
        self.limit = f64::INFINITY;
    }

    pub(crate) fn add_session(&mut self, now: Timestamp, load: f64) {
        if self.sessions == 0 {
            self.occupied_since = now;
        }
        self.sessions += 1;
        self.total += load;
    }

    pub(crate) fn remove_session(&mut self, load: f64) {
        self.sessions = self.sessions.saturating_sub(1);
        self.total = if self.sessions == 0 { 0.0 } else { (self.total - load).max(0.0) };
    }

    /// The load of one of its sessions has changed by `change`.
    pub(crate) fn change_session_load(&mut self, change: f64) {
        self.total = (self.total + change).max(0.0);
    }

    /// A message takes `latency`, where `tolerated` is half the latency objective. The excess grows with each
    /// doubling, as the work that has piled up has to be done too.
    pub(crate) fn record_message_latency(
        &mut self,
        now: Timestamp,
        latency: TickDuration,
        tolerated: TickDuration,
    ) {
        if latency > tolerated {
            let doublings = (latency.as_f64() / tolerated.as_f64()).log2().max(1.0);
            self.overload.until = now + OVERLOAD_VALIDITY;
            self.overload.excess = EXCESS_PER_LATENCY_DOUBLING * doublings;
        } else {
            self.overload.until = Timestamp::ZERO;
            self.overload.excess = 0.0;
        }
    }

    /// A health check succeeded and reported `utilization`, load over capacity; 0 where it reports none.
    ///
    /// `slow` says that the answer took long; it counts only where no load is reported, as it may come from
    /// the network alone.
    pub(crate) fn record_health_check(
        &mut self,
        now: Timestamp,
        utilization: f64,
        slow: bool,
        load_reports: bool,
    ) {
        if utilization > OVERLOAD_UTILIZATION || !load_reports && slow {
            self.overload.until = self.overload.until.max(now + OVERLOAD_VALIDITY);
            self.limit = self.limit.min(self.total).max(MIN_LOAD_LIMIT);
        } else if load_reports {
            // Every proxy may add in proportion, even one that has had little there so far.
            let sustainable = (self.total + LIMIT_HEADROOM) * OVERLOAD_UTILIZATION / utilization;
            self.limit = self.limit.max(sustainable);
        }
        self.overload.excess = self.overload.excess.max(1.0 - TARGET_UTILIZATION / utilization);
    }

    /// Sessions with `migrated` load are being migrated off it. The limit keeps new ones from taking their place.
    pub(crate) fn record_relief(&mut self, now: Timestamp, migrated: f64) {
        self.overload.last_relieved_at = now;
        self.overload.excess = 0.0;
        self.limit = self.limit.min(self.total - migrated).max(MIN_LOAD_LIMIT);
    }

    /// Raises the load limit for `elapsed`.
    pub(crate) fn grow_limit(&mut self, elapsed: TickDuration) {
        self.limit *= 1.0 + LIMIT_GROWTH_PER_SECOND * elapsed.as_f64() / TickDuration::from_secs(1).as_f64();
    }

    /// Whether a session of this load would exceed the load limit.
    pub(crate) fn would_exceed_limit(&self, load: f64) -> bool {
        self.total + load > self.limit
    }

    pub(crate) fn is_overloaded(&self, now: Timestamp) -> bool {
        self.overload.until > now
    }

    /// Whether sessions should be migrated off it now for overload.
    pub(crate) fn relief_is_due(&self, now: Timestamp) -> bool {
        self.overload.excess > 0.0
            && self.is_overloaded(now)
            && self.overload.last_relieved_at + RELIEF_INTERVAL <= now
    }

    /// Fraction of its load that is too much, by the latest observation.
    pub(crate) fn excess(&self) -> f64 {
        self.overload.excess
    }

    /// Sessions that are established there or being attempted.
    pub(crate) fn sessions(&self) -> u32 {
        self.sessions
    }

    /// The load of these sessions, in mean session loads.
    pub(crate) fn total(&self) -> f64 {
        self.total
    }

    /// Since when it has had sessions without a break.
    pub(crate) fn occupied_since(&self) -> Timestamp {
        self.occupied_since
    }
}

/// Load and weight of all endpoints that are ready.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyTotals {
    /// In mean session loads.
    pub(crate) load: f64,
    pub(crate) weight: f64,
}

/// The mean load that sessions report.
#[derive(Debug)]
struct MeanSessionLoad {
    /// In microseconds of work a second.
    mean: f64,
    samples: f64,
}

impl MeanSessionLoad {
    fn record(&mut self, load: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_LOAD_REPORTS);
        self.mean += (load - self.mean) / self.samples;
    }
}

/// The mean load of all sessions, and of each listener's.
#[derive(Debug)]
pub(crate) struct SessionLoads {
    overall: MeanSessionLoad,
    /// Exponentially weighted means by listener, in mean session loads.
    by_listener: Vec<f64>,
}

impl SessionLoads {
    pub(crate) fn new(listeners: usize) -> Self {
        let overall = MeanSessionLoad { mean: 0.0, samples: 0.0 };
        Self { overall, by_listener: vec![1.0; listeners] }
    }

    /// The load to expect of a new session of `listener`, in mean session loads.
    pub(crate) fn expected(&self, listener: usize) -> f64 {
        self.by_listener[listener]
    }

    /// Takes in the load that a session of `listener` reports, in microseconds of work a second, and returns it
    /// in mean session loads.
    pub(crate) fn record(&mut self, listener: usize, load: f64) -> f64 {
        self.overall.record(load);
        let relative = if self.overall.mean > 0.0 { load / self.overall.mean } else { 1.0 };
        let listener_mean = &mut self.by_listener[listener];
        *listener_mean += (relative - *listener_mean) / LISTENER_LOAD_REPORTS;
        relative
    }
}

/// What endpoints past their slow start report: the sessions that they have, of all proxies, and the capacity
/// that these take. Both are exponentially weighted sums over the latest health checks.
#[derive(Debug)]
pub(crate) struct ReportedCapacity {
    sessions: f64,
    /// Reported utilization times the endpoint's weight.
    used_weight: f64,
}

impl ReportedCapacity {
    pub(crate) fn new() -> Self {
        Self { sessions: 0.0, used_weight: 0.0 }
    }

    /// Takes in a report: `sessions` take `utilization` of an endpoint of that weight.
    pub(crate) fn record(&mut self, sessions: f64, utilization: f64, weight: f64) {
        self.sessions += sessions - self.sessions / CAPACITY_REPORTS;
        self.used_weight += utilization * weight - self.used_weight / CAPACITY_REPORTS;
    }

    /// The sessions of one of `proxy_count` proxies that an endpoint of weight 1 can take at full load; none if
    /// nothing was reported or the number of proxies is unknown (0).
    pub(crate) fn sessions_per_weight(&self, proxy_count: u32) -> Option<f64> {
        let sessions = self.sessions / self.used_weight / f64::from(proxy_count);
        sessions.is_normal().then_some(sessions)
    }
}
