//! The quota of sessions for an endpoint in slow start, shared by all proxies.
//!
//! The capacity of an endpoint in slow start grows from an initial fraction to the full capacity. Each proxy
//! accrues its part of the quota over time and sends a session once it has accrued a whole one. Each session
//! that requests quota leaves only a fraction of a session accrued, even if several whole ones had accrued or
//! the endpoint's load does not admit it, so that no burst builds up. A proxy that rarely receives sessions
//! sends at random instead, so that the total of all proxies is correct.
//!
//! Example: the initial capacity is 0.2, the slow start takes 40 s, the overload multiple is 2 and the
//! overload window is 10 s. If the ready endpoints have 160 sessions per unit of weight on average, from all
//! proxies, an endpoint of weight 1 that started 15 s ago may have 0.2 + 0.8 * 15 / 40 = 0.5 of that, which
//! is 80 sessions, and all proxies may send it 2 * 80 / 40 = 4 sessions per second, or n = 40 per window.
//!
//! - With 4 proxies, each has 40 sessions per unit of weight. It may have 20 on the new endpoint and accrues
//!   4 / 4 = 1 session per second. Random variation counts with a factor of 1 - 4 / 4 = 0: each of four
//!   proxies sends at regular intervals, so no margin is kept for it.
//! - With 40 proxies, each has 4 sessions per unit of weight and may have 2 on the new endpoint. Random
//!   variation counts with a factor of 1 - 4 / 40 = 0.9, so each accrues
//!   4 / 40 / (1 + sqrt(0.9 / 40)) = 0.1 / 1.15 sessions per second, or one in 11.5 s.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::load::ReadyTotals;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The number of proxies at which quota accrues over at most one overload window. The bound grows with the
/// square of their number.
const PROXIES_WITH_FREQUENT_SESSIONS: f64 = 20.0;
/// The largest number of an overload window's sessions that count as sent at regular intervals. With n
/// sessions in the window, random variation counts with the factor 1 - min(n, this) / proxies.
const MAX_REGULAR_SESSIONS: f64 = 4.0;
/// The load that an endpoint may have above its current capacity, since proxies send whole sessions: mean
/// session loads.
const LOAD_ALLOWANCE: f64 = 1.0;

/// The arrival data of a session that slow start quotas depend on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStartArrival {
    /// Ticks since the previous session, at most the overload window.
    since_previous_session: f64,
    /// A uniform random number from 0 to 1.
    draw: f64,
}

/// Records when sessions arrive at this proxy.
#[derive(Debug)]
pub(crate) struct SessionArrivals {
    /// When the latest session was received or this process started. The predecessor has spent the quota of
    /// any earlier time.
    last_at: Timestamp,
}

impl SessionArrivals {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { last_at: now }
    }

    /// Records that a session is received now, and returns its arrival data.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        overload_window: TickDuration,
        rng: &mut ChaCha8Rng,
    ) -> SlowStartArrival {
        let since_previous_session = ((now - self.last_at).min(overload_window)).as_ticks_f64();
        self.last_at = now;
        SlowStartArrival { since_previous_session, draw: rng.random() }
    }
}

/// The inputs of the decision whether an endpoint in slow start admits a session.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartRequest {
    /// The time since the endpoint started.
    pub(crate) endpoint_age: TickDuration,
    pub(crate) endpoint_weight: f64,
    /// This proxy's load on the endpoint, in mean session loads.
    pub(crate) endpoint_load: f64,
    pub(crate) ready: ReadyTotals,
    /// The number of sessions of one proxy that an endpoint of weight 1 can take, from load reports; `None`
    /// if unknown.
    pub(crate) reported_capacity: Option<f64>,
    /// The estimated fraction of all sessions that share this session's group; 0 if it has no group.
    pub(crate) group_share: f64,
    /// The number of full or loaded endpoints that the session passed before this one.
    pub(crate) endpoints_passed: usize,
    pub(crate) arrival: SlowStartArrival,
    /// Whether the quota admitted the session before it waited for a health check of the endpoint.
    pub(crate) already_admitted: bool,
}

/// The growth of capacity during slow start.
struct Ramp<'a> {
    settings: &'a Settings,
    proxy_count: f64,
    /// The overload window, in ticks.
    window: f64,
}

impl<'a> Ramp<'a> {
    fn new(settings: &'a Settings) -> Self {
        let proxy_count = f64::from(settings.proxy_count.max(1));
        Self {
            settings,
            proxy_count,
            window: (settings.overload_window.max(TickDuration::from_ticks(1))).as_ticks_f64(),
        }
    }

    /// Returns the load from this proxy that an endpoint can take at its age, in mean session loads. The
    /// capacity after slow start is taken from load reports or, without them, from this proxy's mean load on
    /// the ready endpoints.
    fn current_capacity(&self, request: &SlowStartRequest) -> f64 {
        let initial = self.settings.initial_capacity;
        let age = request.endpoint_age.as_ticks_f64();
        let fraction = initial + (1.0 - initial) * age / self.settings.slow_start_duration.as_ticks_f64();
        let load_per_weight = request.ready.load / request.ready.weight;
        fraction * request.endpoint_weight * request.reported_capacity.unwrap_or(load_per_weight)
    }

    /// Returns the sessions that this proxy may send per tick.
    ///
    /// All proxies may send n sessions per overload window, and the endpoint is overloaded beyond
    /// n + 2 sqrt(n) + 2, which leaves two standard deviations for random variation. Few proxies send at
    /// regular intervals and use all of n. Each of hundreds sends at random, so their mean is lowered by a
    /// further relative standard deviation: the mean times 1 + sqrt(random_fraction / n) is n.
    fn rate(&self, current_capacity: f64) -> f64 {
        let multiple = self.settings.overload_multiple;
        let duration = self.settings.slow_start_duration.as_ticks_f64();
        let sessions_per_window = multiple * current_capacity * self.proxy_count / duration * self.window;
        let regular_sessions = sessions_per_window.min(MAX_REGULAR_SESSIONS);
        let random_fraction = (1.0 - regular_sessions / self.proxy_count).max(0.0);
        let mean = sessions_per_window / (1.0 + (random_fraction / sessions_per_window).sqrt());
        mean / self.window / self.proxy_count
    }

    /// Returns the upper bound, in ticks, on the interval taken from session arrivals. `accrued_until` uses
    /// the time since the last request if that is longer, up to the endpoint's age and one window.
    fn max_idle_interval(&self) -> f64 {
        self.window * (self.proxy_count / PROXIES_WITH_FREQUENT_SESSIONS).powi(2)
    }
}

/// The part of an endpoint's quota that this proxy has accrued.
#[derive(Clone, Debug)]
pub(crate) struct SlowStartQuota {
    /// When a session last requested quota.
    last_requested_at: Timestamp,
    /// The fraction of a session that was left then.
    accrued: f64,
}

impl SlowStartQuota {
    pub(crate) fn new() -> Self {
        Self { last_requested_at: Timestamp::ZERO, accrued: 0.0 }
    }

    /// Returns whether an endpoint in slow start admits the session now.
    pub(crate) fn admits(&mut self, now: Timestamp, settings: &Settings, request: &SlowStartRequest) -> bool {
        let ramp = Ramp::new(settings);
        let current_capacity = ramp.current_capacity(request);
        let accrued = self.accrued_until(now, &ramp, ramp.rate(current_capacity), request);
        self.last_requested_at = now;
        self.accrued = accrued.fract();
        (request.already_admitted || accrued >= 1.0)
            && request.endpoint_load < current_capacity + LOAD_ALLOWANCE
    }

    /// Returns the sessions accrued until now at `rate` per tick. If the last request is within the window,
    /// they accrue since then, but at most over the endpoint's age. Otherwise they accrue since the proxy's
    /// previous session, scaled to this endpoint, and start from a random fraction.
    fn accrued_until(&self, now: Timestamp, ramp: &Ramp<'_>, rate: f64, request: &SlowStartRequest) -> f64 {
        // This endpoint also receives the sessions of the full and loaded endpoints that the session passed,
        // so its share is multiplied.
        let share = (request.endpoint_weight / request.ready.weight).max(request.group_share)
            * (request.endpoints_passed + 1) as f64;
        let since_request = now.saturating_since(self.last_requested_at).as_ticks_f64();
        let recent = since_request.min(request.endpoint_age.as_ticks_f64()).min(ramp.window);
        if since_request < ramp.window {
            return self.accrued + rate * recent;
        }
        let between_sessions = request.arrival.since_previous_session / share;
        let idle = between_sessions.min(ramp.max_idle_interval()).max(recent);
        1.0 - request.arrival.draw + rate * idle
    }
}
