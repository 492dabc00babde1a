//! What the lease store keeps of a lease.
use serde::{Deserialize, Serialize};

use crate::time::TickDuration;

/// One process. A name that is started again is another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process, the same at each start.
    pub name: String,
    /// A number drawn at each start.
    pub incarnation: u64,
}

/// The record of a lease: all that its next holder needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The lease holder; none if the lease was released.
    pub holder: Option<Member>,
    /// Grows by one with each change of holder.
    pub term: u64,
    /// The holder's TTL.
    #[serde(rename = "span")]
    pub ttl: TickDuration,
}

/// A record, and the write that made it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The index of the write.
    pub index: u64,
    /// What it wrote.
    pub record: LeaseRecord,
}
