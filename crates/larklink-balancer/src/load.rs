//! The load of sessions and endpoints: mean loads, load limits, overload and reported capacity.
//!
//! The unit of load is the mean session load: a session of average load counts 1.

use crate::time::{TickDuration, Timestamp};

/// The number of load reports over which the mean load of a session is taken.
const MEAN_LOAD_REPORTS: f64 = 256.0;
/// The number of load reports over which the mean load of a listener's sessions is taken.
const LISTENER_LOAD_REPORTS: f64 = 16.0;
/// The number of health checks over which the reported capacity is taken.
const CAPACITY_REPORTS: f64 = 256.0;
/// An endpoint that reports a higher utilization than this is overloaded.
const OVERLOAD_UTILIZATION: f64 = 0.6;
/// The utilization to which an overloaded endpoint is relieved.
const TARGET_UTILIZATION: f64 = 0.75;
/// How long an observation of overload is valid. High latency is observed once per second, so overload
/// persists from one observation to the next.
const OVERLOAD_VALIDITY: TickDuration = TickDuration::from_millis(1_500);
/// The excess fraction of an overloaded endpoint's load per doubling of the latency.
pub(crate) const EXCESS_PER_LATENCY_DOUBLING: f64 = 0.08;
/// The minimum interval between migrations off an overloaded endpoint.
const RELIEF_INTERVAL: TickDuration = TickDuration::from_secs(1);
/// The lower bound of a load limit, in mean session loads.
const MIN_LOAD_LIMIT: f64 = 0.25;
/// The fraction by which a load limit grows per second.
const LIMIT_GROWTH_PER_SECOND: f64 = 0.03;
/// The load that an endpoint with capacity left may get in addition to its own, in mean session loads.
const LIMIT_HEADROOM: f64 = 2.0;

/// The load of this proxy's sessions on an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLoad {
    /// The number of sessions that are established there or have an attempt in flight there.
    sessions: u32,
    /// The load of these sessions, in mean session loads.
    total: f64,
    /// Since when the endpoint has had sessions without interruption.
    occupied_since: Timestamp,
    /// The load limit, learned from overload, in mean session loads.
    limit: f64,
    overload: Overload,
}

/// The observed overload of an endpoint.
#[derive(Clone, Debug)]
struct Overload {
    /// The endpoint counts as overloaded until this time.
    until: Timestamp,
    /// The fraction of its load that is in excess, from the latest observation.
    excess: f64,
    /// When sessions were last migrated off the endpoint for overload.
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

    /// Records a restart of the endpoint: discards the overload and the load limit of the old process.
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

    /// Records that the load of one of the sessions has changed by `change`.
    pub(crate) fn change_session_load(&mut self, change: f64) {
        self.total = (self.total + change).max(0.0);
    }

    /// Records the latency of a message. The endpoint is overloaded if it exceeds `tolerated`, which is half
    /// the latency objective. The excess grows with each doubling, as the backlog of work must be done too.
    pub(crate) fn record_message_latency(
        &mut self,
        now: Timestamp,
        latency: TickDuration,
        tolerated: TickDuration,
    ) {
        if latency > tolerated {
            let doublings = (latency.as_ticks_f64() / tolerated.as_ticks_f64()).log2().max(1.0);
            self.overload.until = now + OVERLOAD_VALIDITY;
            self.overload.excess = EXCESS_PER_LATENCY_DOUBLING * doublings;
        } else {
            self.overload.until = Timestamp::ZERO;
            self.overload.excess = 0.0;
        }
    }

    /// Records a successful health check that reported `utilization`, the load over the capacity; 0 if none
    /// was reported.
    ///
    /// `slow` states that the answer took long. It is used only if no load is reported, as the network alone
    /// may cause it.
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
            // The headroom lets every proxy add load, even one that has had little there so far.
            let sustainable = (self.total + LIMIT_HEADROOM) * OVERLOAD_UTILIZATION / utilization;
            self.limit = self.limit.max(sustainable);
        }
        self.overload.excess = self.overload.excess.max(1.0 - TARGET_UTILIZATION / utilization);
    }

    /// Records that sessions with a load of `migrated` are migrated off the endpoint. Lowers the load limit
    /// so that new sessions do not replace them.
    pub(crate) fn record_relief(&mut self, now: Timestamp, migrated: f64) {
        self.overload.last_relieved_at = now;
        self.overload.excess = 0.0;
        self.limit = self.limit.min(self.total - migrated).max(MIN_LOAD_LIMIT);
    }

    /// Grows the load limit over `elapsed`.
    pub(crate) fn grow_limit(&mut self, elapsed: TickDuration) {
        self.limit *= 1.0
            + LIMIT_GROWTH_PER_SECOND * elapsed.as_ticks_f64() / TickDuration::from_secs(1).as_ticks_f64();
    }

    /// Returns whether a session of this load would exceed the load limit.
    pub(crate) fn would_exceed_limit(&self, load: f64) -> bool {
        self.total + load > self.limit
    }

    pub(crate) fn is_overloaded(&self, now: Timestamp) -> bool {
        self.overload.until > now
    }

    /// Returns whether sessions should be migrated off the endpoint now for overload.
    pub(crate) fn relief_is_due(&self, now: Timestamp) -> bool {
        self.overload.excess > 0.0
            && self.is_overloaded(now)
            && self.overload.last_relieved_at + RELIEF_INTERVAL <= now
    }

    /// Returns the fraction of the load that is in excess, from the latest observation.
    pub(crate) fn excess(&self) -> f64 {
        self.overload.excess
    }

    /// Returns the number of sessions that are established there or have an attempt in flight there.
    pub(crate) fn sessions(&self) -> u32 {
        self.sessions
    }

    /// Returns the load of these sessions, in mean session loads.
    pub(crate) fn total(&self) -> f64 {
        self.total
    }

    /// Returns since when the endpoint has had sessions without interruption.
    pub(crate) fn occupied_since(&self) -> Timestamp {
        self.occupied_since
    }
}

/// The total load and weight of the ready endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyTotals {
    /// The load in mean session loads.
    pub(crate) load: f64,
    pub(crate) weight: f64,
}

/// The running mean of the loads that sessions report.
#[derive(Debug)]
struct MeanSessionLoad {
    /// The mean in microseconds of work per second.
    mean: f64,
    samples: f64,
}

impl MeanSessionLoad {
    fn record(&mut self, load: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_LOAD_REPORTS);
        self.mean += (load - self.mean) / self.samples;
    }
}

/// The mean load of all sessions and of each listener's sessions.
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

    /// Returns the expected load of a new session of `listener`, in mean session loads.
    pub(crate) fn expected(&self, listener: usize) -> f64 {
        self.by_listener[listener]
    }

    /// Records the load that a session of `listener` reports, in microseconds of work per second, and returns
    /// it in mean session loads.
    pub(crate) fn record(&mut self, listener: usize, load: f64) -> f64 {
        self.overall.record(load);
        let relative = if self.overall.mean > 0.0 { load / self.overall.mean } else { 1.0 };
        let listener_mean = &mut self.by_listener[listener];
        *listener_mean += (relative - *listener_mean) / LISTENER_LOAD_REPORTS;
        relative
    }
}

/// The number of sessions that endpoints past their slow start report, from all proxies, and the capacity
/// that these sessions use. Both are exponentially weighted sums over the latest health checks.
#[derive(Debug)]
pub(crate) struct ReportedCapacity {
    sessions: f64,
    /// The reported utilization times the endpoint's weight.
    used_weight: f64,
}

impl ReportedCapacity {
    pub(crate) fn new() -> Self {
        Self { sessions: 0.0, used_weight: 0.0 }
    }

    /// Records a report that `sessions` use the fraction `utilization` of the capacity of an endpoint of that
    /// weight.
    pub(crate) fn record(&mut self, sessions: f64, utilization: f64, weight: f64) {
        self.sessions += sessions - self.sessions / CAPACITY_REPORTS;
        self.used_weight += utilization * weight - self.used_weight / CAPACITY_REPORTS;
    }

    /// Returns the number of sessions of one of `proxy_count` proxies that an endpoint of weight 1 can take
    /// at full load. `None` if nothing was reported or the number of proxies is unknown (0).
    pub(crate) fn sessions_per_weight(&self, proxy_count: u32) -> Option<f64> {
        let sessions = self.sessions / self.used_weight / f64::from(proxy_count);
        sessions.is_normal().then_some(sessions)
    }
}
