//! The bucket table and the population of its buckets.
//!
//! Sessions are hashed to buckets, and weighted rendezvous hashing ranks the endpoints for each bucket. All
//! proxies compute the same table.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::{Endpoint, EndpointSet};
use crate::event::SessionRequest;
use crate::ids::EndpointIndex;

/// The number of buckets. Fixed, since all proxies must use the same table.
pub(crate) const BUCKET_COUNT: u64 = 4096;
/// The number of first endpoints of a ranking among which one in the local zone is preferred. Not all
/// endpoints are considered, since a zone may have too few for its traffic.
const LOCAL_ZONE_CANDIDATES: usize = 6;
/// The number of first endpoints of a ranking that are computed at first, more than most sessions need.
const PREFIX_LENGTH: usize = 256;
/// The most endpoints in all cached rankings together, at 8 bytes each. Bounds the memory of the table whatever
/// the size of the fleet, which may have some thousand endpoints.
const MAX_CACHED_ENDPOINTS: usize = 1 << 19;
/// The factor by which the weight of earlier pairs decays with each received session.
const PAIR_RETENTION: f64 = 1.0 - 1.0 / 65_536.0;

/// Returns the bucket of a session, from its group key or else its client key. `None` if it has neither.
pub(crate) fn bucket_of(request: &SessionRequest) -> Option<u64> {
    match (request.group_key, request.client_key) {
        (0, 0) => None,
        (0, key) | (key, _) => Some(xxh3_64(&key.to_le_bytes()) % BUCKET_COUNT),
    }
}

/// Returns the weighted rendezvous hashing score of an endpoint for a bucket: -weight / ln(h), where h is the
/// hash of bucket and endpoint id scaled to the interval from 0 to 1. The endpoint with the highest score
/// owns the bucket.
pub(crate) fn rendezvous_score(bucket: u64, endpoint_id: u32, weight: f64) -> f64 {
    let key = (u128::from(bucket) | u128::from(endpoint_id) << 64).to_le_bytes();
    let fraction = ((xxh3_64(&key[..12]) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / fraction.ln()
}

/// An endpoint and its score for a bucket.
struct Scored {
    score: f64,
    id: u32,
    endpoint: EndpointIndex,
}

impl Scored {
    /// Orders by descending score. No two endpoints are equal, so each sort has the same result.
    fn rank_order(&self, other: &Self) -> Ordering {
        let by_score = other.score.total_cmp(&self.score);
        by_score.then(self.id.cmp(&other.id)).then(self.endpoint.cmp(&other.endpoint))
    }
}

/// Returns the first endpoints that pass the filter, at most `limit`, by descending score for the bucket.
fn rank(
    endpoints: &EndpointSet,
    bucket: u64,
    limit: usize,
    filter: impl Fn(&Endpoint) -> bool,
) -> Vec<EndpointIndex> {
    let score = |endpoint: &Endpoint| {
        let entry = endpoint.entry();
        let score = rendezvous_score(bucket, entry.id, endpoints.weight(endpoint));
        Scored { score, id: entry.id, endpoint: entry.index }
    };
    let mut scored: Vec<_> = endpoints.iter().filter(|endpoint| filter(endpoint)).map(score).collect();
    if limit < scored.len() {
        scored.select_nth_unstable_by(limit, Scored::rank_order);
        scored.truncate(limit);
    }
    scored.sort_unstable_by(Scored::rank_order);
    // Collected from references: the result must not keep the allocation of `scored`.
    scored.iter().map(|scored| scored.endpoint).collect()
}

/// Returns the owner of a bucket among the endpoints that pass the filter: the first one of the local zone if
/// it is among the `LOCAL_ZONE_CANDIDATES` first ones, else the first one.
pub(crate) fn owner(
    endpoints: &EndpointSet,
    bucket: u64,
    local_zone: Option<u16>,
    filter: impl Fn(&Endpoint) -> bool,
) -> Option<EndpointIndex> {
    let mut candidates = rank(endpoints, bucket, LOCAL_ZONE_CANDIDATES, filter);
    prefer_local_zone(&mut candidates, endpoints, local_zone);
    candidates.first().copied()
}

/// Moves the first endpoint of the local zone to the front of the ranking if it is among the
/// `LOCAL_ZONE_CANDIDATES` first ones.
fn prefer_local_zone(ranking: &mut [EndpointIndex], endpoints: &EndpointSet, local_zone: Option<u16>) {
    let is_local = |index: &EndpointIndex| local_zone == Some(endpoints[*index].entry().zone);
    if let Some(position) = ranking.iter().take(LOCAL_ZONE_CANDIDATES).position(is_local) {
        ranking[..=position].rotate_right(1);
    }
}

/// The first ready endpoints of a bucket's ranking.
#[derive(Debug)]
struct RankingPrefix {
    endpoints: Vec<EndpointIndex>,
    /// Whether it is the whole ranking.
    complete: bool,
}

/// A cache of rankings, computed on first use as far as they are needed.
#[derive(Debug, Default)]
pub(crate) struct BucketTable {
    prefixes: BTreeMap<u64, RankingPrefix>,
    /// The total length of the prefixes.
    cached_endpoints: usize,
}

impl BucketTable {
    /// Discards all rankings, as the endpoint list has changed.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.cached_endpoints = 0;
    }

    /// Returns the ready endpoints by descending score for the bucket, with one of the local zone preferred.
    pub(crate) fn ranking<'a>(
        &'a mut self,
        bucket: u64,
        endpoints: &EndpointSet,
        local_zone: Option<u16>,
    ) -> Ranking<'a> {
        let mut first = self.prefix(bucket, endpoints, PREFIX_LENGTH).to_vec();
        prefer_local_zone(&mut first, endpoints, local_zone);
        Ranking { table: self, bucket, first }
    }

    /// Returns at least the first `count` ready endpoints by descending score, or all if there are fewer.
    fn prefix(&mut self, bucket: u64, endpoints: &EndpointSet, count: usize) -> &[EndpointIndex] {
        let cached = self.prefixes.get(&bucket);
        if cached.is_none_or(|prefix| !prefix.complete && prefix.endpoints.len() < count) {
            self.insert(bucket, RankingPrefix::compute(bucket, endpoints, count));
        }
        &self.prefixes[&bucket].endpoints
    }

    fn insert(&mut self, bucket: u64, prefix: RankingPrefix) {
        if self.cached_endpoints + prefix.endpoints.len() > MAX_CACHED_ENDPOINTS {
            self.clear();
        }
        self.cached_endpoints += prefix.endpoints.len();
        if let Some(replaced) = self.prefixes.insert(bucket, prefix) {
            self.cached_endpoints -= replaced.endpoints.len();
        }
    }
}

impl RankingPrefix {
    /// Computes a prefix of `PREFIX_LENGTH` if that is at least `count`, else the whole ranking.
    fn compute(bucket: u64, endpoints: &EndpointSet, count: usize) -> Self {
        let limit = if count <= PREFIX_LENGTH { PREFIX_LENGTH } else { usize::MAX };
        let endpoints = rank(endpoints, bucket, limit, Endpoint::is_ready);
        Self { complete: endpoints.len() < limit, endpoints }
    }
}

/// The ready endpoints for a session, by descending score for its bucket except that one of the local zone is
/// preferred and the first ones may have been rotated. A fleet may have thousands of endpoints, of which most
/// sessions need a few, so the later ones are ranked when they are asked for.
pub(crate) struct Ranking<'a> {
    table: &'a mut BucketTable,
    bucket: u64,
    first: Vec<EndpointIndex>,
}

impl Ranking<'_> {
    /// Returns the endpoint at a position. `all` must be as it was when the ranking was obtained.
    pub(crate) fn get(&mut self, position: usize, all: &EndpointSet) -> Option<EndpointIndex> {
        if position >= self.first.len() {
            let known = self.first.len();
            let prefix = self.table.prefix(self.bucket, all, position + 1);
            // The first ones keep their order.
            self.first.extend_from_slice(&prefix[known..]);
        }
        self.first.get(position).copied()
    }

    /// Returns the endpoints in order. `all` must be as it was when the ranking was obtained.
    pub(crate) fn iter(&mut self, all: &EndpointSet) -> impl Iterator<Item = EndpointIndex> {
        (0..).map_while(move |position| self.get(position, all))
    }

    /// Rotates the first `count` endpoints, which must have been returned before, so that the one at `start`
    /// comes first.
    pub(crate) fn rotate_first(&mut self, count: usize, start: usize) {
        self.first[..count].rotate_left(start);
    }
}

/// The prior of a pair count: the pairs that are assumed to have been counted before any session.
struct PairPrior {
    same_group: f64,
    all: f64,
}

/// The prior for open sessions. It keeps a proxy with few sessions from taking two that share a group by
/// chance for a large group.
const OPEN_PAIRS_PRIOR: PairPrior = PairPrior { same_group: 1.0, all: 50.0 };
/// The prior for received sessions, used for endpoints in slow start, where a whole group may arrive at once.
const RECEIVED_PAIRS_PRIOR: PairPrior = PairPrior { same_group: 3.0, all: 50.0 };

/// Counts of ordered pairs of sessions that were open at this proxy together. Recent pairs weigh most.
#[derive(Debug)]
struct PairCounts {
    same_bucket: f64,
    all: f64,
}

/// The number of this proxy's sessions in each bucket, from which the size of groups over all proxies is
/// estimated.
///
/// A proxy among hundreds has few sessions of any group. The fraction of pairs of its sessions that share a
/// group indicates how large groups are.
#[derive(Debug)]
pub(crate) struct BucketPopulation {
    sessions_by_bucket: Vec<u32>,
    sessions: usize,
    /// Ordered pairs of open sessions that share a bucket.
    open_pairs: u64,
    /// Pairs of each session received since the start with the sessions that were open when it arrived.
    received_pairs: PairCounts,
}

impl BucketPopulation {
    pub(crate) fn new() -> Self {
        Self {
            sessions_by_bucket: vec![0; BUCKET_COUNT as usize],
            sessions: 0,
            open_pairs: 0,
            received_pairs: PairCounts { same_bucket: 0.0, all: 0.0 },
        }
    }

    pub(crate) fn add(&mut self, bucket: u64) {
        let in_bucket = &mut self.sessions_by_bucket[bucket as usize];
        let received = &mut self.received_pairs;
        received.all = received.all * PAIR_RETENTION + 2.0 * self.sessions as f64;
        received.same_bucket = received.same_bucket * PAIR_RETENTION + 2.0 * f64::from(*in_bucket);
        self.open_pairs += 2 * u64::from(*in_bucket);
        *in_bucket += 1;
        self.sessions += 1;
    }

    pub(crate) fn remove(&mut self, bucket: u64) {
        let in_bucket = &mut self.sessions_by_bucket[bucket as usize];
        *in_bucket -= 1;
        self.open_pairs -= 2 * u64::from(*in_bucket);
        self.sessions -= 1;
    }

    /// Estimates the fraction of the sessions of all proxies that are in the bucket, from this proxy's open
    /// sessions.
    pub(crate) fn share_by_open_sessions(&self, bucket: u64) -> f64 {
        let sessions = self.sessions as f64;
        let pairs = sessions * (sessions - 1.0).max(1.0);
        let mean_share = OPEN_PAIRS_PRIOR.mean_share(self.open_pairs as f64, pairs);
        self.share(bucket, mean_share)
    }

    /// Estimates the same fraction from all sessions received since the start, and returns at least the mean
    /// over the buckets, since a whole group may arrive at once from hundreds of proxies.
    pub(crate) fn min_share_by_received_sessions(&self, bucket: u64) -> f64 {
        let received = &self.received_pairs;
        let mean_share = RECEIVED_PAIRS_PRIOR.mean_share(received.same_bucket, received.all);
        self.share(bucket, mean_share).max(mean_share)
    }

    fn share(&self, bucket: u64, mean_share: f64) -> f64 {
        let others = (self.sessions as f64 - 1.0).max(1.0);
        f64::from(self.sessions_by_bucket[bucket as usize]) / (others + 1.0 / mean_share)
    }
}

impl PairPrior {
    /// Returns the mean fraction of sessions that share a session's group, from the counted pairs.
    fn mean_share(&self, same_bucket: f64, all: f64) -> f64 {
        (2.0 * self.same_group + same_bucket) / (all + self.all)
    }
}
