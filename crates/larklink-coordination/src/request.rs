//! Requests to the lease store, its responses, and the fencing token.

use crate::record::{LeaseRecord, StoredRecord};
use crate::time::TickDuration;

/// A request to the lease store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    /// A consistent read of the record.
    Read {
        /// Respond only once the index is higher than this one, or after `max_wait`; at once if there is none.
        newer_than: Option<u64>,
        /// How long the response may wait for a newer index.
        max_wait: TickDuration,
    },
    /// A compare-and-set of the record.
    Write {
        /// Write only if the index is still this one; 0 if there is no record yet.
        expected_index: u64,
        /// What to write.
        record: LeaseRecord,
    },
}

/// A response of the lease store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseResponse {
    /// To a read: the record, if there is one.
    Current(Option<StoredRecord>),
    /// The write took effect.
    Written {
        /// Its index; none from a lease store that does not say it.
        index: Option<u64>,
    },
    /// The write had no effect, as the index was another one.
    Conflict,
}

/// The index of the write that made the lease holder. It goes with each act: a far side rejects an act whose token is
/// lower than the highest that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);
