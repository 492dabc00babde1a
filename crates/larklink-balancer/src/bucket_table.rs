//! The bucket table and the population of its buckets.
//!
//! Sessions are hashed to buckets, and weighted rendezvous hashing ranks the endpoints for each bucket. All
//! proxies compute the same table.

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

/// Returns the endpoints that pass the filter, by descending score for the bucket.
pub(crate) fn rank(
    endpoints: &EndpointSet,
    bucket: u64,
    filter: impl Fn(&Endpoint) -> bool,
) -> Vec<EndpointIndex> {
    struct Scored {
        score: f64,
        id: u32,
        endpoint: EndpointIndex,
    }
    let score = |endpoint: &Endpoint| {
        let entry = endpoint.entry();
        let score = rendezvous_score(bucket, entry.id, endpoints.weight(endpoint));
        Scored { score, id: entry.id, endpoint: entry.index }
    };
    let mut scored: Vec<_> = endpoints.iter().filter(|endpoint| filter(endpoint)).map(score).collect();
    scored.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.id.cmp(&b.id)));
    scored.into_iter().map(|scored| scored.endpoint).collect()
}

/// Moves the first endpoint of the local zone to the front of the ranking if it is among the
/// `LOCAL_ZONE_CANDIDATES` first ones.
pub(crate) fn prefer_local_zone(
    ranking: &mut [EndpointIndex],
    endpoints: &EndpointSet,
    local_zone: Option<u16>,
) {
    let is_local = |index: &EndpointIndex| local_zone == Some(endpoints[*index].entry().zone);
    if let Some(position) = ranking.iter().take(LOCAL_ZONE_CANDIDATES).position(is_local) {
        ranking[..=position].rotate_right(1);
    }
}

/// The rankings of the ready endpoints by bucket, computed on first use.
#[derive(Debug, Default)]
pub(crate) struct BucketTable {
    rankings: BTreeMap<u64, Vec<EndpointIndex>>,
}

impl BucketTable {
    /// Discards all rankings, as the endpoint list has changed.
    pub(crate) fn clear(&mut self) {
        self.rankings.clear();
    }

    /// Returns the ready endpoints by descending score for the bucket.
    pub(crate) fn ranking(&mut self, bucket: u64, endpoints: &EndpointSet) -> &[EndpointIndex] {
        self.rankings.entry(bucket).or_insert_with(|| rank(endpoints, bucket, Endpoint::is_ready))
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
