//! The bucket table, the same at every proxy: sessions are hashed to buckets, and weighted rendezvous hashing
//! ranks the endpoints for each bucket. And how many sessions share a bucket.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::{Endpoint, EndpointSet};
use crate::event::SessionRequest;
use crate::ids::EndpointIndex;

/// Buckets of the table; fixed, as it has to be the same at every proxy.
pub(crate) const BUCKET_COUNT: u64 = 4096;
/// Of this many first endpoints of a ranking, the first in the local zone goes first. Not of all: a zone may
/// have too few for its traffic.
const LOCAL_ZONE_CANDIDATES: usize = 6;
/// The factor by which the pairs of earlier sessions fade with each new one.
const PAIR_RETENTION: f64 = 1.0 - 1.0 / 65_536.0;

/// The bucket of a session: by its group key, else by its client key; none if it has neither.
pub(crate) fn bucket_of(request: &SessionRequest) -> Option<u64> {
    match (request.group_key, request.client_key) {
        (0, 0) => None,
        (0, key) | (key, _) => Some(xxh3_64(&key.to_le_bytes()) % BUCKET_COUNT),
    }
}

/// Weighted rendezvous hashing: -weight / ln(hash of bucket and endpoint id, as a fraction of 1). The endpoint
/// with the highest score owns the bucket.
pub(crate) fn rendezvous_score(bucket: u64, endpoint_id: u32, weight: f64) -> f64 {
    let key = (u128::from(bucket) | u128::from(endpoint_id) << 64).to_le_bytes();
    let fraction = ((xxh3_64(&key[..12]) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / fraction.ln()
}

/// The endpoints that pass the filter, by their score for the bucket, the highest first.
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
        Scored { score, id: entry.id, endpoint: entry.endpoint }
    };
    let mut scored: Vec<_> = endpoints.iter().filter(|endpoint| filter(endpoint)).map(score).collect();
    scored.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.id.cmp(&b.id)));
    scored.into_iter().map(|scored| scored.endpoint).collect()
}

/// Moves the first endpoint of the local zone, if it is among the first few, to the front of the ranking.
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

/// The ranking of the ready endpoints for each bucket, computed when first asked for.
#[derive(Debug, Default)]
pub(crate) struct BucketTable {
    rankings: BTreeMap<u64, Vec<EndpointIndex>>,
}

impl BucketTable {
    /// The endpoint list has changed.
    pub(crate) fn clear(&mut self) {
        self.rankings.clear();
    }

    /// The ready endpoints by their score for the bucket, the highest first.
    pub(crate) fn ranking(&mut self, bucket: u64, endpoints: &EndpointSet) -> &[EndpointIndex] {
        self.rankings.entry(bucket).or_insert_with(|| rank(endpoints, bucket, Endpoint::is_ready))
    }
}

/// What is supposed to have been seen before any pair of sessions was: pairs of one group, and pairs in all.
struct PairPrior {
    same_group: f64,
    all: f64,
}

/// For the sessions that are open. A proxy of few sessions takes no two that share a group by chance for a
/// large group.
const OPEN_PAIRS_PRIOR: PairPrior = PairPrior { same_group: 1.0, all: 50.0 };
/// For an endpoint in slow start, to which a group may come at once.
const RECEIVED_PAIRS_PRIOR: PairPrior = PairPrior { same_group: 3.0, all: 50.0 };

/// Ordered pairs of sessions that met at this proxy, the latest most.
#[derive(Debug)]
struct PairCounts {
    same_bucket: f64,
    all: f64,
}

/// How many of this proxy's sessions are in each bucket, and so how large groups are over all proxies.
///
/// A proxy of hundreds has few sessions of any group; it knows the size of groups by how many pairs of its
/// sessions share one.
#[derive(Debug)]
pub(crate) struct BucketPopulation {
    sessions_by_bucket: Vec<u32>,
    sessions: usize,
    /// Ordered pairs of open sessions that share a bucket.
    open_pairs: u64,
    /// Pairs of each session received since the start with those that were open then.
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

    /// The estimated fraction of all sessions, at all proxies, that are in the bucket, by the sessions that are
    /// open here.
    pub(crate) fn share_by_open_sessions(&self, bucket: u64) -> f64 {
        let sessions = self.sessions as f64;
        let pairs = sessions * (sessions - 1.0).max(1.0);
        let mean_share = OPEN_PAIRS_PRIOR.mean_share(self.open_pairs as f64, pairs);
        self.share(bucket, mean_share)
    }

    /// The same by all sessions received since the start, but no less than the mean over the buckets: a group
    /// may come at once, from hundreds of proxies.
    pub(crate) fn least_share_by_received_sessions(&self, bucket: u64) -> f64 {
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
    /// The mean fraction of sessions that share a session's group, by the pairs seen.
    fn mean_share(&self, same_bucket: f64, all: f64) -> f64 {
        (2.0 * self.same_group + same_bucket) / (all + self.all)
    }
}
