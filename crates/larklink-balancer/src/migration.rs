//! Who is migrated off a draining, ejected or overloaded endpoint, how many and when.

use rand_chacha::ChaCha8Rng;

use crate::bucket_table::rendezvous_score;
use crate::endpoint::{Endpoint, EndpointSet};
use crate::ids::{EndpointIndex, SessionHandle};
use crate::load::EXCESS_PER_LATENCY_DOUBLING;
use crate::random::round_randomly;
use crate::session::{Session, SessionTable};
use crate::settings::Settings;
use crate::time::{TickDuration, Timestamp};

/// Fraction of the sessions on an ejected or removed endpoint that is migrated each connect timeout.
const EJECTED_FRACTION: f64 = 0.5;
/// A draining endpoint's sessions leave evenly over this many drain graces: it serves until it stops, and all
/// at once would overload the session store.
const DRAIN_SPREAD: u64 = 5;
/// Fraction of the migration budget that one migration spends.
const MIGRATION_COST: f64 = 0.1;
/// Fraction of the spent migration budget that returns each second.
const BUDGET_RETURN_PER_SECOND: f64 = MIGRATION_COST / 2.0;
/// A session of more mean session loads than this is migrated before the others, who would all have to leave in
/// its place.
const HEAVY_SESSION_LOAD: f64 = 4.0;
/// The largest fraction of an endpoint's load that is migrated at once for overload.
const MAX_RELIEF: f64 = 0.5;
/// Where no endpoint has capacity left, sessions are migrated only if the excess is larger than this.
const MIN_EXCESS_WITHOUT_ALTERNATIVE: f64 = EXCESS_PER_LATENCY_DOUBLING * 3.0;
/// A session is new for this long: 2 s.
const NEW_SESSION_AGE: TickDuration = TickDuration::from_secs(2);

/// What further migrations for overload promise, from 0 to 1: each spends a part, and it returns with time, so
/// that an overload of all endpoints does not keep sessions moving.
#[derive(Debug)]
pub(crate) struct MigrationBudget {
    remaining: f64,
}

impl MigrationBudget {
    pub(crate) fn new() -> Self {
        Self { remaining: 1.0 }
    }

    /// What remains, from 0 to 1.
    pub(crate) fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Returns a part of what was spent, for `elapsed`.
    pub(crate) fn replenish(&mut self, elapsed: TickDuration) {
        let spent = 1.0 - self.remaining;
        self.remaining +=
            spent * BUDGET_RETURN_PER_SECOND * elapsed.as_f64() / TickDuration::from_secs(1).as_f64();
    }

    fn spend(&mut self) {
        self.remaining *= 1.0 - MIGRATION_COST;
    }
}

/// How many sessions to migrate now off an endpoint that is closed or ejected.
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
            interval.as_f64() / empty_at.saturating_since(now).max(interval).as_f64()
        }
        _ => EJECTED_FRACTION,
    };
    round_randomly(f64::from(endpoint.load.sessions()) * fraction, rng) as usize
}

/// The sessions that are migrated off an overloaded endpoint, and their load in mean session loads.
#[derive(Debug)]
pub(crate) struct Relief {
    pub(crate) sessions: Vec<SessionHandle>,
    pub(crate) load: f64,
}

/// The choice of sessions that leave an overloaded endpoint.
pub(crate) struct ReliefSelection<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointSet,
    pub(crate) sessions: &'a SessionTable,
    pub(crate) budget: &'a mut MigrationBudget,
    /// The limit on attempts in flight as a fraction of one, 1 at most.
    pub(crate) concurrency: f64,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl ReliefSelection<'_> {
    /// Selects the sessions with the lowest score for the endpoint, the same at every proxy, up to its excess
    /// load. Chance decides about the last one: hundreds of proxies have a session or two there, and one of each
    /// would empty it at once. None if there is nowhere to go.
    pub(crate) fn select(self, now: Timestamp, index: EndpointIndex) -> Option<Relief> {
        let endpoint = &self.endpoints[index];
        let alternatives = self.fraction_with_capacity(now);
        if alternatives == 0.0 && endpoint.load.excess() <= MIN_EXCESS_WITHOUT_ALTERNATIVE {
            return None;
        }
        let new_session_chance = self.new_session_chance(endpoint, alternatives);
        let wanted = endpoint.load.total() * endpoint.load.excess().min(MAX_RELIEF);
        let mut passed = 0.0;
        let mut relief = Relief { sessions: Vec::new(), load: 0.0 };
        for handle in self.by_score(index) {
            let session = &self.sessions[handle];
            let is_new = session.started_at() + NEW_SESSION_AGE > now;
            let least_chance = if is_new { new_session_chance } else { 0.0 };
            let chance = if session.load() > HEAVY_SESSION_LOAD && passed < wanted {
                1.0
            } else {
                ((wanted - passed) / session.load()).clamp(least_chance, 1.0)
            };
            passed += session.load();
            if round_randomly(chance, self.rng) > 0.0 {
                relief.load += session.load();
                relief.sessions.push(handle);
                self.budget.spend();
            }
        }
        Some(relief)
    }

    /// The fraction of the ready endpoints that are neither overloaded nor failing.
    fn fraction_with_capacity(&self, now: Timestamp) -> f64 {
        let has_capacity = |endpoint: &&Endpoint| {
            !endpoint.load.is_overloaded(now) && !endpoint.outlier.has_consecutive_failures()
        };
        let with_capacity = self.endpoints.ready().filter(has_capacity).count();
        with_capacity as f64 / self.endpoints.ready().count() as f64
    }

    /// The least chance that a new session leaves. Where no load is reported, it is the test of an endpoint of
    /// which its proxy knows nothing else.
    fn new_session_chance(&self, endpoint: &Endpoint, alternatives: f64) -> f64 {
        if self.settings.load_reports {
            return 0.0;
        }
        let by_sessions = alternatives / f64::from(endpoint.load.sessions()).powi(2);
        self.budget.remaining() * by_sessions * self.concurrency
    }

    /// The sessions established on the endpoint, heavy ones first, then by their score for it, the lowest first.
    fn by_score(&self, index: EndpointIndex) -> Vec<SessionHandle> {
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
