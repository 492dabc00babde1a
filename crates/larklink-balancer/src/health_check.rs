//! When an endpoint is checked, and when a session waits for the result.

use rand_chacha::ChaCha8Rng;

use crate::load::EndpointLoad;
use crate::outlier::OutlierState;
use crate::random::random_duration;
use crate::session::Session;
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// Connect timeouts between the checks of an endpoint with one session. More sessions make checks more
/// frequent: with the root of their number, or with their load where checks report load.
const INTERVAL_OF_ONE_SESSION: u64 = 64;
/// Connect timeouts between the checks of an endpoint that has failed, and between load reports at least.
const MIN_INTERVAL: u64 = 2;
/// The interval of a failing endpoint doubles with each failure after its ejection, up to this factor.
const MAX_BACKOFF_FACTOR: u64 = 8;
/// A result is fresh for this long: 1 s.
const RESULT_VALIDITY: TickDuration = TickDuration::from_secs(1);
/// Connect timeouts that a client must still wait, or its session does not wait for a check.
const MIN_PATIENCE: u64 = 2;

/// The health checks of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheckState {
    last_sent_at: Option<Timestamp>,
    /// The latest check has no result yet.
    pending: bool,
}

impl HealthCheckState {
    pub(crate) fn new() -> Self {
        Self { last_sent_at: None, pending: false }
    }

    /// A check is sent.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
        self.pending = true;
    }

    /// The check has a result.
    pub(crate) fn finish(&mut self) {
        self.pending = false;
    }

    /// Whether the latest check has no result yet.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending
    }

    /// When the next check is due, if the endpoint is to be checked at all.
    ///
    /// Checks that report load are sent however lately sessions were answered: sooner at first, as other
    /// proxies may have sent sessions at the same time. The interval of a failing endpoint is random, as all
    /// proxies check a lost zone.
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
            let doubled = 1 << outlier.failures_beyond_ejection().min(u64::BITS / 2);
            let longest = min_interval * MAX_BACKOFF_FACTOR.min(doubled);
            return outlier.last_alive_at().max(last_sent_at) + random_duration(longest / 2..=longest, rng);
        }
        let longest = settings.connect_timeout * INTERVAL_OF_ONE_SESSION;
        let sessions = u64::from(load.sessions().max(1));
        if settings.load_reports {
            let by_load = TickDuration::from_f64(longest.as_f64() / load.total().max(sessions as f64));
            let known_for = last_sent_at.saturating_since(load.occupied_since());
            last_sent_at + by_load.min(min_interval + known_for).max(min_interval)
        } else {
            outlier.last_alive_at().max(last_sent_at) + longest / sessions.isqrt()
        }
    }

    /// Whether the session has to wait for a check before its first attempt at this endpoint.
    ///
    /// With hundreds of proxies none learns from its own few sessions what an endpoint can take, so it checks
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
            && session.deadline() > now + settings.connect_timeout * MIN_PATIENCE;
        may_wait && load.sessions() == 0 && !self.has_fresh_success(now, outlier)
    }

    fn has_fresh_success(&self, now: Timestamp, outlier: &OutlierState) -> bool {
        let fresh = self.last_sent_at.is_some_and(|sent_at| now < sent_at + RESULT_VALIDITY);
        fresh && !self.pending && !outlier.has_consecutive_failures()
    }
}
