//! The quota of an endpoint that is warming up, shared by all proxies.
//!
//! An endpoint in slow start takes only a growing fraction of its capacity. All proxies share that: the part of
//! each is earned over time, and a session goes there when a whole one has been earned. Where sessions rarely
//! come, chance decides, so that the sum over all proxies is right.
//!
//! Example: the initial capacity is 0.2, slow start takes 40 s, the overload multiple is 2 and the overload
//! window 10 s. A warm endpoint of weight 1 has 160 sessions of all proxies. An endpoint of weight 1 that
//! started 15 s ago may have 0.2 + 0.8 * 15 / 40 = 0.5 of that, and all proxies may send it 2 * 80 / 40 = 4
//! sessions a second, or n = 40 in a window.
//!
//! - 4 proxies have 40 sessions each on the warm one. Each may have 20 on the other, and earns 4 / 4 = 1
//!   session a second: they send in turn, so nothing is kept free.
//! - 40 proxies have 4 sessions each on the warm one. Each may have 2 on the other. Chance counts with a
//!   factor of 1 - 4 / 40 = 0.9, so each earns 4 / 40 / (1 + sqrt(0.9 / 40)) = 0.1 / 1.15 sessions a second,
//!   one in 11.5 s.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::load::ReadyTotals;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// Among this many proxies, each meets sessions for a warming endpoint often enough to earn quota by them alone.
const PROXIES_WITH_FREQUENT_SESSIONS: f64 = 20.0;
/// Up to this many proxies send in turn, which leaves nothing to chance.
const PROXIES_IN_TURN: f64 = 4.0;
/// What an endpoint may get above its present capacity, as proxies round to whole sessions.
const LOAD_ALLOWANCE: f64 = 1.0;

/// A session's turn at endpoints in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStartTurn {
    /// Ticks since the session before it, the overload window at most.
    since_previous_session: f64,
    /// A random number from 0 to 1.
    draw: f64,
}

/// When sessions reach this proxy.
#[derive(Debug)]
pub(crate) struct SessionArrivals {
    /// When the last session was received, or this process started: earlier quota was spent by the process
    /// before it.
    last_at: Timestamp,
}

impl SessionArrivals {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { last_at: now }
    }

    /// The turn of a session that is received now.
    pub(crate) fn next_turn(
        &mut self,
        now: Timestamp,
        overload_window: TickDuration,
        rng: &mut ChaCha8Rng,
    ) -> SlowStartTurn {
        let since_previous_session = ((now - self.last_at).min(overload_window)).as_f64();
        self.last_at = now;
        SlowStartTurn { since_previous_session, draw: rng.random() }
    }
}

/// What a session asks of an endpoint's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartRequest {
    /// Time since the endpoint started.
    pub(crate) endpoint_age: TickDuration,
    pub(crate) endpoint_weight: f64,
    /// This proxy's load on the endpoint, in mean session loads.
    pub(crate) endpoint_load: f64,
    pub(crate) ready: ReadyTotals,
    /// The sessions of one proxy that an endpoint of weight 1 can take, by the load reports; none if unknown.
    pub(crate) reported_capacity: Option<f64>,
    /// The estimated fraction of all sessions that share this session's group; 0 if it has no group.
    pub(crate) group_share: f64,
    /// Endpoints at capacity that the session has passed in its ranking.
    pub(crate) endpoints_passed: usize,
    pub(crate) turn: SlowStartTurn,
    /// The session got its turn here before it waited for a health check.
    pub(crate) turn_granted: bool,
}

/// The settings of slow start, as used here.
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
            window: (settings.overload_window.max(TickDuration::from_ticks(1))).as_f64(),
        }
    }

    /// The load that an endpoint may have from this proxy at its age, in mean session loads. What a warm one
    /// can take is taken from reports, else from what warm ones have of this proxy's sessions.
    fn present_capacity(&self, request: &SlowStartRequest) -> f64 {
        let initial = self.settings.initial_capacity;
        let age = request.endpoint_age.as_f64();
        let fraction = initial + (1.0 - initial) * age / self.settings.slow_start_duration.as_f64();
        let held_per_weight = request.ready.load / request.ready.weight;
        fraction * request.endpoint_weight * request.reported_capacity.unwrap_or(held_per_weight)
    }

    /// Sessions that this proxy may send for each tick.
    ///
    /// If all proxies send n sessions on average in the overload window, chance makes n + 2 sqrt(n) + 2 of them.
    /// A few proxies send in turn; of hundreds each draws, so their standard deviation over n is kept free.
    fn rate(&self, present_capacity: f64) -> f64 {
        let multiple = self.settings.overload_multiple;
        let duration = self.settings.slow_start_duration.as_f64();
        let sessions = multiple * present_capacity * self.proxy_count / duration * self.window;
        let drawn = (1.0 - sessions.min(PROXIES_IN_TURN) / self.proxy_count).max(0.0);
        sessions / (1.0 + (drawn / sessions).sqrt()) / self.window / self.proxy_count
    }

    /// The longest time over which a session earns quota when none has come for a whole window, in ticks.
    fn max_idle_interval(&self) -> f64 {
        self.window * (self.proxy_count / PROXIES_WITH_FREQUENT_SESSIONS).powi(2)
    }
}

/// What this proxy has earned of one endpoint's quota.
#[derive(Clone, Debug)]
pub(crate) struct SlowStartQuota {
    /// When a session last asked for it.
    last_asked_at: Timestamp,
    /// The fraction of a session that was earned by then.
    earned: f64,
}

impl SlowStartQuota {
    pub(crate) fn new() -> Self {
        Self { last_asked_at: Timestamp::ZERO, earned: 0.0 }
    }

    /// Whether an endpoint in slow start admits the session now.
    pub(crate) fn admits(&mut self, now: Timestamp, settings: &Settings, request: &SlowStartRequest) -> bool {
        let ramp = Ramp::new(settings);
        let present_capacity = ramp.present_capacity(request);
        let earned = self.earned_by(now, &ramp, ramp.rate(present_capacity), request);
        self.last_asked_at = now;
        self.earned = earned.fract();
        (request.turn_granted || earned >= 1.0) && request.endpoint_load < present_capacity + LOAD_ALLOWANCE
    }

    /// Sessions earned until now at that rate a tick: since a session last asked, where that is within the
    /// window; else since the previous session, scaled to this endpoint, from a fraction drawn at random.
    fn earned_by(&self, now: Timestamp, ramp: &Ramp<'_>, rate: f64, request: &SlowStartRequest) -> f64 {
        // A session walks on to this endpoint where those before it are at capacity: it counts as often.
        let share = (request.endpoint_weight / request.ready.weight).max(request.group_share)
            * (request.endpoints_passed + 1) as f64;
        let since_asked = now.saturating_since(self.last_asked_at).as_f64();
        let recent = since_asked.min(request.endpoint_age.as_f64()).min(ramp.window);
        if since_asked < ramp.window {
            return self.earned + rate * recent;
        }
        let between_sessions = request.turn.since_previous_session / share;
        let idle = between_sessions.min(ramp.max_idle_interval()).max(recent);
        1.0 - request.turn.draw + rate * idle
    }
}
