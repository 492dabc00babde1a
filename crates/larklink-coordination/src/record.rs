//! The lease record in the lease store.
use serde::{Deserialize, Serialize};

use crate::time::TickDuration;

/// A process that takes part in a lease. A process that restarts under the same name is a different member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process, which stays the same across restarts.
    pub name: String,
    /// A random number chosen at each start.
    pub incarnation: u64,
}

/// The stored state of a lease, which contains everything that a candidate needs to take it over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The lease holder, or `None` if the lease was released.
    pub holder: Option<Member>,
    /// Incremented by one each time the lease is acquired.
    pub term: u64,
    /// How long the lease stays valid after a renewal, as configured on its holder.
    #[serde(rename = "span")]
    pub ttl: TickDuration,
}

/// A lease record together with the index of the write that stored it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The index of the write. It is higher for each later write.
    pub index: u64,
    /// The record that was written.
    pub record: LeaseRecord,
}
