//! The choice of the endpoint for a session's next attempt, by a walk down the ranking of its bucket.

use rand::{RngExt, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::bucket_table::{self, BucketPopulation, BucketTable, Ranking};
use crate::endpoint::{Endpoint, EndpointSet};
use crate::ids::EndpointIndex;
use crate::load::{ReadyTotals, ReportedCapacity};
use crate::migration::MigrationBudget;
use crate::retry_policy;
use crate::session::Session;
use crate::settings::Settings;
use crate::slow_start::SlowStartRequest;
use crate::time::Timestamp;

/// The number of full or loaded endpoints that a session passes, beyond those its group spreads over, before
/// the walk ends. Each endpoint with sessions of a group repeats the work that they share, so overload must
/// not scatter a group.
const MAX_ENDPOINTS_PASSED: usize = 3;
/// Load-based spillover: an endpoint is passed if its load reaches this multiple of the mean load for its
/// weight plus `SPILLOVER_ALLOWANCE`.
const SPILLOVER_FACTOR: f64 = 1.3;
/// The constant part of the spillover threshold, in mean session loads.
const SPILLOVER_ALLOWANCE: f64 = 1.0;
/// The probability that a reconnecting session passes an endpoint on which this proxy has no sessions, on its
/// first attempt and without load reports. Scaled by the remaining migration budget.
const RECONNECTING_SPILLOVER: f64 = 0.5;
/// If no endpoint is suitable, the less loaded of the first two loaded endpoints in the ranking is taken.
const FALLBACK_CHOICES: usize = 2;

/// The assessment of an endpoint for a session.
enum Candidate {
    /// The session may not run on the endpoint, or its slow start does not admit the session.
    Excluded,
    /// The endpoint is at its load limit.
    Full,
    /// The endpoint failed recently, or the session's latest attempt was there.
    Avoided,
    /// The endpoint is overloaded or above the spillover threshold.
    Loaded,
    Suitable,
}

/// The state of a walk down the ranking.
#[derive(Default)]
struct Walk {
    /// The number of full and loaded endpoints passed.
    passed: usize,
    loaded: Vec<EndpointIndex>,
    first_avoided: Option<EndpointIndex>,
}

/// The inputs of the choice of an endpoint.
pub(crate) struct Placement<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a mut EndpointSet,
    pub(crate) population: &'a BucketPopulation,
    pub(crate) reported_capacity: &'a ReportedCapacity,
    pub(crate) migration_budget: &'a MigrationBudget,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl Placement<'_> {
    /// Returns the endpoint for the session's next attempt, or `None` if no endpoint admits it.
    pub(crate) fn choose(
        mut self,
        now: Timestamp,
        session: &Session,
        bucket_table: &mut BucketTable,
    ) -> Option<EndpointIndex> {
        if session.resumes_established()
            && let Some(owner) = self.presumed_owner(now, session)
        {
            return Some(owner);
        }
        let local_zone = self.settings.local_zone;
        let mut ranking = bucket_table.ranking(session.bucket(), self.endpoints, local_zone);
        let ready = self.endpoints.ready_totals();
        let spread_count = self.spread_group(session.bucket(), ready, &mut ranking);
        let mut walk = Walk::default();
        for position in 0.. {
            if walk.passed >= MAX_ENDPOINTS_PASSED + spread_count {
                break;
            }
            let Some(endpoint) = ranking.get(position, self.endpoints) else { break };
            match self.assess(now, session, endpoint, ready, walk.passed) {
                Candidate::Excluded => {}
                Candidate::Full => walk.passed += 1,
                Candidate::Avoided => walk.first_avoided = walk.first_avoided.or(Some(endpoint)),
                Candidate::Loaded => {
                    walk.passed += 1;
                    walk.loaded.push(endpoint);
                }
                Candidate::Suitable => return Some(endpoint),
            }
        }
        self.fall_back(walk)
    }

    /// Returns the endpoint that presumably holds a connection established through another proxy: the first
    /// endpoint of the bucket's ranking that may hold it. `None` if that endpoint is ejected.
    fn presumed_owner(&self, now: Timestamp, session: &Session) -> Option<EndpointIndex> {
        let may_hold = |endpoint: &Endpoint| endpoint.may_hold_established(now, self.settings);
        let owner =
            bucket_table::owner(self.endpoints, session.bucket(), self.settings.local_zone, may_hold)?;
        (!self.endpoints[owner].outlier.is_ejected()).then_some(owner)
    }

    /// Returns how many of the first endpoints the bucket spreads over: as many as fit in its share of the
    /// total weight of the ready endpoints. If no load is reported, rotates the ranking to start at one of
    /// them, drawn at random by weight.
    fn spread_group(&mut self, bucket: u64, ready: ReadyTotals, ranking: &mut Ranking) -> usize {
        let group_share = self.population.share_by_open_sessions(bucket);
        let group_weight = group_share * ready.weight;
        let spread_count = self.count_within_weight(ranking.iter(self.endpoints), group_weight);
        if spread_count > 1 && !self.settings.load_reports {
            let spread = ranking.iter(self.endpoints).take(spread_count);
            let total_weight: f64 = spread.map(|endpoint| self.weight(endpoint)).sum();
            let drawn_weight = self.rng.random::<f64>() * total_weight;
            let all_but_last = ranking.iter(self.endpoints).take(spread_count - 1);
            let start = self.count_within_weight(all_but_last, drawn_weight);
            ranking.rotate_first(spread_count, start);
        }
        spread_count
    }

    /// Returns how many of the first endpoints have at most `weight` in total.
    fn count_within_weight(&self, endpoints: impl Iterator<Item = EndpointIndex>, weight: f64) -> usize {
        let mut remaining = weight;
        let fits = |&endpoint: &EndpointIndex| {
            remaining -= self.weight(endpoint);
            remaining >= 0.0
        };
        endpoints.take_while(fits).count()
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
            Candidate::Avoided
        } else if is_loaded {
            Candidate::Loaded
        } else {
            Candidate::Suitable
        }
    }

    /// Returns whether the endpoint is overloaded or above the spillover threshold. A reconnecting client may
    /// be part of a mass reconnect that this proxy cannot see, so if no load is reported, some of these
    /// clients pass an endpoint without sessions of this proxy.
    fn is_loaded(
        &mut self,
        now: Timestamp,
        session: &Session,
        index: EndpointIndex,
        ready: ReadyTotals,
    ) -> bool {
        let load = &self.endpoints[index].load;
        let spillover_threshold =
            SPILLOVER_FACTOR * ready.load / ready.weight * self.weight(index) + SPILLOVER_ALLOWANCE;
        let may_be_mass_reconnect = session.request().reconnecting
            && session.attempts() == 0
            && load.sessions() == 0
            && !self.settings.load_reports;
        load.is_overloaded(now)
            || load.total() >= spillover_threshold
            || may_be_mass_reconnect
                && self.rng.random_bool(RECONNECTING_SPILLOVER * self.migration_budget.remaining())
    }

    /// Returns whether the endpoint's slow start admits the session. Always true once it is over.
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
        let group_share = self.population.min_share_by_received_sessions(session.bucket());
        let request = SlowStartRequest {
            endpoint_age,
            endpoint_weight: self.weight(index),
            endpoint_load: endpoint.load.total(),
            ready,
            reported_capacity: self.reported_capacity.sessions_per_weight(self.settings.proxy_count),
            group_share: if has_group { group_share } else { 0.0 },
            endpoints_passed: passed,
            arrival: session.slow_start_arrival(),
            already_admitted: session.has_awaited(index),
        };
        self.endpoints[index].slow_start.admits(now, self.settings, &request)
    }

    /// Returns the endpoint to use if none is suitable: of the first two loaded ones, the one with less load
    /// for its weight, with ties broken at random. If none is loaded or full either, returns the first
    /// avoided one.
    fn fall_back(&mut self, mut walk: Walk) -> Option<EndpointIndex> {
        walk.loaded.truncate(FALLBACK_CHOICES);
        walk.loaded.shuffle(self.rng);
        let relative_load =
            |&endpoint: &EndpointIndex| self.endpoints[endpoint].load.total() / self.weight(endpoint);
        let least_loaded =
            walk.loaded.into_iter().min_by(|a, b| relative_load(a).total_cmp(&relative_load(b)));
        least_loaded.or(walk.first_avoided.filter(|_| walk.passed == 0))
    }

    fn weight(&self, endpoint: EndpointIndex) -> f64 {
        self.endpoints.weight(&self.endpoints[endpoint])
    }
}
