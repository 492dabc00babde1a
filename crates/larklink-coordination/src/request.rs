//! Requests to the lease store, its responses, and the fencing token.

use crate::record::{LeaseRecord, StoredRecord};
use crate::time::TickDuration;

/// A request to the lease store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    /// A linearizable read of the record.
    Read {
        /// Makes the read a long poll: the store responds once the index is higher than this one, or after
        /// `max_wait`. With `None` it responds immediately.
        newer_than: Option<u64>,
        /// The longest time that the store waits for a higher index.
        max_wait: TickDuration,
    },
    /// A compare-and-set on the index of the record.
    Write {
        /// The index that the record must still have; 0 if there is no record yet.
        expected_index: u64,
        /// The record to write.
        record: LeaseRecord,
    },
}

/// A response from the lease store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseResponse {
    /// The response to a read: the record, if there is one.
    Current(Option<StoredRecord>),
    /// The write took effect.
    Written {
        /// The index of the write, or `None` if the lease store does not report it.
        index: Option<u64>,
    },
    /// The write was not applied because the index differed from the expected one.
    Conflict,
}

/// The index of the write by which the holder acquired the lease.
///
/// The holder sends it with every operation that the lease protects. The receiver rejects an operation whose token is
/// lower than the highest one that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);
