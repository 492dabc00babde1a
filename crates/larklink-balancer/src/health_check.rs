//! The schedule of an endpoint's health checks, and which sessions wait for a result.

use rand_chacha::ChaCha8Rng;

use crate::load::EndpointLoad;
use crate::outlier::OutlierState;
use crate::random::random_duration;
use crate::session::Session;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The check interval of an endpoint with one session, in connect timeouts. It is divided by the square root
/// of the number of sessions or, if checks report load, by their load.
const INTERVAL_OF_ONE_SESSION: u64 = 64;
/// The minimum interval between load reports, and the first interval after a failure, in connect timeouts.
const MIN_INTERVAL: u64 = 2;
/// The interval of an endpoint that has failed doubles with each failure after its ejection, up to this
/// factor.
const MAX_BACKOFF_FACTOR: u64 = 8;
/// How long the result of a check is fresh.
const RESULT_VALIDITY: TickDuration = TickDuration::from_secs(1);
/// The minimum time, in connect timeouts, that a client must have left for its session to wait for a check.
const MIN_TIME_LEFT_FOR_CHECK: u64 = 2;

/// The health checks of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheckState {
    last_sent_at: Option<Timestamp>,
    /// Whether the latest check has no result yet.
    pending: bool,
}

impl HealthCheckState {
    pub(crate) fn new() -> Self {
        Self { last_sent_at: None, pending: false }
    }

    /// Records that a check is sent.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
        self.pending = true;
    }

    /// Records that the latest check has a result.
    pub(crate) fn finish(&mut self) {
        self.pending = false;
    }

    /// Returns whether the latest check has no result yet.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending
    }

    /// Returns when the next check is due, if the endpoint is to be checked at all.
    ///
    /// If checks report load, responses to sessions do not postpone them, and they are more frequent while
    /// the endpoint's sessions are recent, as other proxies may have sent sessions at the same time. The
    /// interval of a failing endpoint is randomized, so that the proxies do not check the endpoints of a
    /// failed zone in lockstep.
    pub(crate) fn next_check_at(
        &self,
        settings: &Settings,
        outlier: &OutlierState,
        load: &EndpointLoad,
        rng: &mut ChaCha8Rng,
    ) -> Timestamp {
        let last_sent_at = self.last_sent_at.unwrap_or(Timestamp::ZERO);
        let min_interval = settings.connect_timeout * MIN_INTERVAL;
        if outlier.has_consecutive_failures() {
            let backoff_factor = 1 << outlier.failures_beyond_ejection().min(u64::BITS / 2);
            let interval = min_interval * MAX_BACKOFF_FACTOR.min(backoff_factor);
            return outlier.last_response_at().max(last_sent_at)
                + random_duration(interval / 2..=interval, rng);
        }
        let max_interval = settings.connect_timeout * INTERVAL_OF_ONE_SESSION;
        let sessions = u64::from(load.sessions().max(1));
        if settings.load_reports {
            let by_load =
                TickDuration::from_ticks_f64(max_interval.as_ticks_f64() / load.total().max(sessions as f64));
            let occupied_for = last_sent_at.saturating_since(load.occupied_since());
            last_sent_at + by_load.min(min_interval + occupied_for).max(min_interval)
        } else {
            outlier.last_response_at().max(last_sent_at) + max_interval / sessions.isqrt()
        }
    }

    /// Returns whether the session must wait for a check before its first attempt at the endpoint.
    ///
    /// A proxy among hundreds has too few sessions to learn from them what an endpoint can take, so it checks
    /// an endpoint on which it has none.
    pub(crate) fn must_precede_attempt(
        &self,
        now: Timestamp,
        settings: &Settings,
        session: &Session,
        outlier: &OutlierState,
        load: &EndpointLoad,
    ) -> bool {
        let may_wait = settings.health_checks
            && session.attempts() == 0
            && !session.request().established
            && session.may_await_health_check()
            && session.deadline() > now + settings.connect_timeout * MIN_TIME_LEFT_FOR_CHECK;
        may_wait && load.sessions() == 0 && !self.has_fresh_success(now, outlier)
    }

    fn has_fresh_success(&self, now: Timestamp, outlier: &OutlierState) -> bool {
        let fresh = self.last_sent_at.is_some_and(|sent_at| now < sent_at + RESULT_VALIDITY);
        fresh && !self.pending && !outlier.has_consecutive_failures()
    }
}
