//! The selection of sessions to migrate off draining, ejected and overloaded endpoints.

use rand_chacha::ChaCha8Rng;

use crate::bucket_table::rendezvous_score;
use crate::endpoint::{Endpoint, EndpointSet};
use crate::ids::{EndpointIndex, SessionHandle};
use crate::load::EXCESS_PER_LATENCY_DOUBLING;
use crate::random::stochastic_round;
use crate::session::{Session, SessionTable};
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// The fraction of the sessions on an ejected or removed endpoint that is migrated per connect timeout.
const EJECTED_FRACTION: f64 = 0.5;
/// The number of drain graces over which the sessions of a draining endpoint are migrated evenly. The
/// endpoint serves until it stops, and migrating all sessions at once would overload the session store.
const DRAIN_SPREAD: u64 = 5;
/// The fraction of the remaining migration budget that a migration spends.
const MIGRATION_COST: f64 = 0.1;
/// The fraction of the spent migration budget that is replenished per second.
const BUDGET_RETURN_PER_SECOND: f64 = MIGRATION_COST / 2.0;
/// A session with a higher load than this, in mean session loads, is migrated before the others. Otherwise
/// many of them would have to be migrated in its place.
const HEAVY_SESSION_LOAD: f64 = 4.0;
/// The largest fraction of an endpoint's load that is migrated at once for overload.
const MAX_RELIEF: f64 = 0.5;
/// If no endpoint has capacity left, sessions are migrated only if the excess is larger than this: the
/// excess at eight times the tolerated latency.
const MIN_EXCESS_WITHOUT_ALTERNATIVE: f64 = EXCESS_PER_LATENCY_DOUBLING * 3.0;
/// How long a session counts as new.
const NEW_SESSION_AGE: TickDuration = TickDuration::from_secs(2);

/// A factor from 0 to 1 on how readily new and reconnecting sessions leave or avoid endpoints: on the minimum
/// probability with which a new session is migrated for overload, and on the spillover of reconnecting
/// sessions. Each migration for overload lowers it and time restores it, so that an overload of all endpoints
/// does not cause continuous migrations. It does not limit the migration of excess load.
#[derive(Debug)]
pub(crate) struct MigrationBudget {
    remaining: f64,
}

impl MigrationBudget {
    pub(crate) fn new() -> Self {
        Self { remaining: 1.0 }
    }

    /// Returns the remaining budget, from 0 to 1.
    pub(crate) fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Replenishes a part of the spent budget for `elapsed`.
    pub(crate) fn replenish(&mut self, elapsed: TickDuration) {
        let spent = 1.0 - self.remaining;
        self.remaining += spent * BUDGET_RETURN_PER_SECOND * elapsed.as_ticks_f64()
            / TickDuration::from_secs(1).as_ticks_f64();
    }

    fn spend(&mut self) {
        self.remaining *= 1.0 - MIGRATION_COST;
    }
}

/// Returns the number of sessions to migrate now off a closed or ejected endpoint.
pub(crate) fn evacuation_count(
    now: Timestamp,
    endpoint: &Endpoint,
    settings: &Settings,
    rng: &mut ChaCha8Rng,
) -> usize {
    let interval = settings.connect_timeout;
    let fraction = match endpoint.closing_notified_at() {
        Some(notified_at) if endpoint.is_draining() && !endpoint.outlier.is_ejected() => {
            let empty_at = notified_at + settings.drain_grace * DRAIN_SPREAD;
            interval.as_ticks_f64() / empty_at.saturating_since(now).max(interval).as_ticks_f64()
        }
        _ => EJECTED_FRACTION,
    };
    stochastic_round(f64::from(endpoint.load.sessions()) * fraction, rng) as usize
}

/// The sessions to migrate off an overloaded endpoint, and their load in mean session loads.
#[derive(Debug)]
pub(crate) struct Relief {
    pub(crate) sessions: Vec<SessionHandle>,
    pub(crate) load: f64,
}

/// The inputs of the selection of sessions to migrate off an overloaded endpoint.
pub(crate) struct ReliefSelection<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointSet,
    pub(crate) sessions: &'a SessionTable,
    pub(crate) budget: &'a mut MigrationBudget,
    /// The limit on attempts in flight, at most 1.
    pub(crate) capped_concurrency_limit: f64,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl ReliefSelection<'_> {
    /// Selects heavy sessions first, then those with the lowest scores, up to the excess load. Scores are the
    /// same at every proxy. The session that only partly fits is selected at random: if hundreds of proxies
    /// with a session or two there migrated one each, they would empty the endpoint at once. New sessions
    /// have a minimum probability. `None` if no endpoint has capacity left and the excess is small.
    pub(crate) fn select(self, now: Timestamp, index: EndpointIndex) -> Option<Relief> {
        let endpoint = &self.endpoints[index];
        let alternatives = self.fraction_with_capacity(now);
        if alternatives == 0.0 && endpoint.load.excess() <= MIN_EXCESS_WITHOUT_ALTERNATIVE {
            return None;
        }
        let min_new_probability = self.min_new_session_probability(endpoint, alternatives);
        let target = endpoint.load.total() * endpoint.load.excess().min(MAX_RELIEF);
        let mut considered = 0.0;
        let mut relief = Relief { sessions: Vec::new(), load: 0.0 };
        for handle in self.sessions_by_score(index) {
            let session = &self.sessions[handle];
            let is_new = session.started_at() + NEW_SESSION_AGE > now;
            let min_probability = if is_new { min_new_probability } else { 0.0 };
            let probability = if session.load() > HEAVY_SESSION_LOAD && considered < target {
                1.0
            } else {
                ((target - considered) / session.load()).clamp(min_probability, 1.0)
            };
            considered += session.load();
            if stochastic_round(probability, self.rng) > 0.0 {
                relief.load += session.load();
                relief.sessions.push(handle);
                self.budget.spend();
            }
        }
        Some(relief)
    }

    /// Returns the fraction of the ready endpoints that are neither overloaded nor failing.
    fn fraction_with_capacity(&self, now: Timestamp) -> f64 {
        let has_capacity = |endpoint: &&Endpoint| {
            !endpoint.load.is_overloaded(now) && !endpoint.outlier.has_consecutive_failures()
        };
        let with_capacity = self.endpoints.ready().filter(has_capacity).count();
        with_capacity as f64 / self.endpoints.ready().count() as f64
    }

    /// Returns the minimum probability with which a new session is migrated. Without load reports, a proxy
    /// with few sessions on an endpoint can only place one there to find out whether the endpoint has
    /// capacity left, so it migrates that session if the endpoint is overloaded. With load reports the
    /// minimum is 0.
    fn min_new_session_probability(&self, endpoint: &Endpoint, alternatives: f64) -> f64 {
        if self.settings.load_reports {
            return 0.0;
        }
        let by_sessions = alternatives / f64::from(endpoint.load.sessions()).powi(2);
        self.budget.remaining() * by_sessions * self.capped_concurrency_limit
    }

    /// Returns the sessions established on the endpoint: heavy ones first, then by ascending score for the
    /// endpoint.
    fn sessions_by_score(&self, index: EndpointIndex) -> Vec<SessionHandle> {
        struct Scored {
            score: f64,
            handle: SessionHandle,
        }
        let endpoint = &self.endpoints[index];
        let weight = self.endpoints.weight(endpoint);
        let score = |session: &Session| {
            let is_heavy = session.load() > HEAVY_SESSION_LOAD;
            if is_heavy { 0.0 } else { rendezvous_score(session.bucket(), endpoint.entry().id, weight) }
        };
        let established = self.sessions.established_on(index);
        let mut scored: Vec<_> =
            established.map(|(handle, session)| Scored { score: score(session), handle }).collect();
        scored.sort_by(|a, b| a.score.total_cmp(&b.score).then(a.handle.cmp(&b.handle)));
        scored.into_iter().map(|scored| scored.handle).collect()
    }
}
