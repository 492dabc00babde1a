//! The walk down a ranking: on which endpoint a session's next attempt is made.

use rand::{RngExt, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::bucket_table::{self, BucketPopulation, BucketTable};
use crate::endpoint::EndpointSet;
use crate::ids::EndpointIndex;
use crate::load::{ReadyTotals, ReportedCapacity};
use crate::migration::MigrationBudget;
use crate::retry_policy;
use crate::session::Session;
use crate::settings::Settings;
use crate::slow_start::SlowStartRequest;
use crate::time::Timestamp;

/// Endpoints at capacity that a session passes before the walk ends. The sessions of a group share work, which
/// each endpoint that has any of them does again, so overload must not scatter a group.
const MAX_ENDPOINTS_PASSED: usize = 3;
/// Load-based spillover: an endpoint is passed if its load is this many times the mean for its weight,
const SPILLOVER_FACTOR: f64 = 1.3;
/// and this many mean session loads on top.
const SPILLOVER_ALLOWANCE: f64 = 1.0;
/// The share of reconnecting sessions that pass an endpoint without sessions of this proxy, while the whole
/// migration budget remains.
const RECONNECTING_SPILLOVER: f64 = 0.5;
/// If every endpoint is loaded, the less loaded of this many first ones is taken.
const FALLBACK_CHOICES: usize = 2;

/// What the walk found on one endpoint.
enum Candidate {
    /// The session may not run there, or the endpoint's slow start does not admit it.
    Excluded,
    /// The endpoint is at its load limit.
    Full,
    /// It failed lately, or the session's last attempt was there.
    Suspect,
    /// It is overloaded, or has clearly more load than the mean.
    Loaded,
    Suitable,
}

/// How far the walk has come.
#[derive(Default)]
struct Walk {
    /// Endpoints that are up but at capacity.
    passed: usize,
    loaded: Vec<EndpointIndex>,
    first_suspect: Option<EndpointIndex>,
}

/// All that the choice of an endpoint depends on.
pub(crate) struct Placement<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a mut EndpointSet,
    pub(crate) bucket_table: &'a mut BucketTable,
    pub(crate) population: &'a BucketPopulation,
    pub(crate) reported_capacity: &'a ReportedCapacity,
    pub(crate) migration_budget: &'a MigrationBudget,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl Placement<'_> {
    /// The endpoint for the session's next attempt; none if no endpoint admits it.
    pub(crate) fn choose(mut self, now: Timestamp, session: &Session) -> Option<EndpointIndex> {
        if session.resumes_established()
            && let Some(owner) = self.earlier_owner(now, session)
        {
            return Some(owner);
        }
        let mut ranking = self.bucket_table.ranking(session.bucket(), self.endpoints).to_vec();
        bucket_table::prefer_local_zone(&mut ranking, self.endpoints, self.settings.local_zone);
        let ready = self.endpoints.ready_totals();
        let breadth = self.spread_group(session.bucket(), ready, &mut ranking);
        let mut walk = Walk::default();
        for endpoint in ranking {
            if walk.passed >= MAX_ENDPOINTS_PASSED + breadth {
                break;
            }
            match self.assess(now, session, endpoint, ready, walk.passed) {
                Candidate::Excluded => {}
                Candidate::Full => walk.passed += 1,
                Candidate::Suspect => walk.first_suspect = walk.first_suspect.or(Some(endpoint)),
                Candidate::Loaded => {
                    walk.passed += 1;
                    walk.loaded.push(endpoint);
                }
                Candidate::Suitable => return Some(endpoint),
            }
        }
        self.fall_back(walk)
    }

    /// The endpoint that holds a connection established through another proxy: the first of its bucket's ranking
    /// over the endpoints that may hold it. None if that one is ejected.
    fn earlier_owner(&self, now: Timestamp, session: &Session) -> Option<EndpointIndex> {
        let mut ranking = bucket_table::rank(self.endpoints, session.bucket(), |endpoint| {
            endpoint.may_hold_established(now, self.settings)
        });
        bucket_table::prefer_local_zone(&mut ranking, self.endpoints, self.settings.local_zone);
        ranking.first().copied().filter(|&owner| !self.endpoints[owner].outlier.is_ejected())
    }

    /// Over how many of the first endpoints a group spreads: those whose weight together is the group's share of
    /// all sessions. Where no load is reported, the session starts at one of them at random, by weight.
    fn spread_group(&mut self, bucket: u64, ready: ReadyTotals, ranking: &mut [EndpointIndex]) -> usize {
        let group_share = self.population.share_by_open_sessions(bucket);
        let breadth = self.count_within_weight(ranking, group_share * ready.weight);
        if breadth > 1 && !self.settings.load_reports {
            let total_weight: f64 = ranking[..breadth].iter().map(|&endpoint| self.weight(endpoint)).sum();
            let drawn_weight = self.rng.random::<f64>() * total_weight;
            let start = self.count_within_weight(&ranking[..breadth - 1], drawn_weight);
            ranking[..breadth].rotate_left(start);
        }
        breadth
    }

    /// How many first endpoints of a ranking have no more than `weight` together.
    fn count_within_weight(&self, ranking: &[EndpointIndex], weight: f64) -> usize {
        let mut remaining = weight;
        let fits = |&&endpoint: &&EndpointIndex| {
            remaining -= self.weight(endpoint);
            remaining >= 0.0
        };
        ranking.iter().take_while(fits).count()
    }

    fn assess(
        &mut self,
        now: Timestamp,
        session: &Session,
        index: EndpointIndex,
        ready: ReadyTotals,
        passed: usize,
    ) -> Candidate {
        if !retry_policy::may_run_on(now, session, index, self.endpoints, self.settings)
            || !self.slow_start_admits(now, session, index, ready, passed)
        {
            return Candidate::Excluded;
        }
        let endpoint = &self.endpoints[index];
        if endpoint.load.would_exceed_limit(session.load()) {
            return Candidate::Full;
        }
        let is_loaded = self.is_loaded(now, session, index, ready);
        let is_retry_there = session.attempts() > 0 && index == session.endpoint();
        if is_retry_there || self.endpoints[index].outlier.sample_avoidance(self.rng) {
            Candidate::Suspect
        } else if is_loaded {
            Candidate::Loaded
        } else {
            Candidate::Suitable
        }
    }

    /// Whether the endpoint is overloaded or has clearly more load than the mean. A client that reconnects may
    /// belong to a mass reconnect that this proxy has not seen: where no load is reported, some of them pass an
    /// endpoint of which it knows nothing.
    fn is_loaded(
        &mut self,
        now: Timestamp,
        session: &Session,
        index: EndpointIndex,
        ready: ReadyTotals,
    ) -> bool {
        let load = &self.endpoints[index].load;
        let most = SPILLOVER_FACTOR * ready.load / ready.weight * self.weight(index) + SPILLOVER_ALLOWANCE;
        let may_be_mass_reconnect = session.request().reconnecting
            && session.attempts() == 0
            && load.sessions() == 0
            && !self.settings.load_reports;
        load.is_overloaded(now)
            || load.total() >= most
            || may_be_mass_reconnect
                && self.rng.random_bool(RECONNECTING_SPILLOVER * self.migration_budget.remaining())
    }

    /// Whether the endpoint's slow start admits the session; always once it is over.
    fn slow_start_admits(
        &mut self,
        now: Timestamp,
        session: &Session,
        index: EndpointIndex,
        ready: ReadyTotals,
        passed: usize,
    ) -> bool {
        let endpoint = &self.endpoints[index];
        let endpoint_age = endpoint.age(now);
        if endpoint_age >= self.settings.slow_start_duration {
            return true;
        }
        let has_group = session.request().group_key != 0;
        let group_share = self.population.least_share_by_received_sessions(session.bucket());
        let request = SlowStartRequest {
            endpoint_age,
            endpoint_weight: self.weight(index),
            endpoint_load: endpoint.load.total(),
            ready,
            reported_capacity: self.reported_capacity.sessions_per_weight(self.settings.proxy_count),
            group_share: if has_group { group_share } else { 0.0 },
            endpoints_passed: passed,
            turn: session.slow_start_turn(),
            turn_granted: session.has_awaited(index),
        };
        self.endpoints[index].slow_start.admits(now, self.settings, &request)
    }

    /// No endpoint is suitable: the less loaded of the first two for their weight, ties by chance. If none is
    /// loaded or full either, the first suspect one.
    fn fall_back(&mut self, mut walk: Walk) -> Option<EndpointIndex> {
        walk.loaded.truncate(FALLBACK_CHOICES);
        walk.loaded.shuffle(self.rng);
        let relative_load =
            |&endpoint: &EndpointIndex| self.endpoints[endpoint].load.total() / self.weight(endpoint);
        let least_loaded =
            walk.loaded.into_iter().min_by(|a, b| relative_load(a).total_cmp(&relative_load(b)));
        least_loaded.or(walk.first_suspect.filter(|_| walk.passed == 0))
    }

    fn weight(&self, endpoint: EndpointIndex) -> f64 {
        self.endpoints.weight(&self.endpoints[endpoint])
    }
}
