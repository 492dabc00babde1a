//! The endpoint list as discovery sends it, and the conversion of its entries for the decision engine. Performs no I/O.
use larklink_balancer::{EndpointEntry, EndpointIndex, EndpointState, TickDuration, Timestamp};
use larklink_engine::engine::EndpointId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::watch_state::ListHeader;

const DRAINING: &str = "draining";
const TICKS_PER_MILLISECOND: f64 = 10.0;

/// A complete endpoint list, or changes to one, as discovery sends it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list, which increases with each change.
    pub index: u64,
    /// Whether the list is complete; otherwise it contains the changed entries only.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Returns what decides how the list is used.
    pub(crate) fn header(&self) -> ListHeader {
        ListHeader { index: self.index, complete: self.snapshot, empty: self.endpoints.is_empty() }
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    /// The endpoint's name, from which its id is derived.
    pub name: String,
    /// The endpoint's socket address.
    pub address: String,
    /// The endpoint's state: `up`, `draining` or `removed`. Any other value is treated as `draining`.
    pub status: String,
    /// The name of its zone; empty if unknown.
    #[serde(default)]
    pub zone: String,
    /// The endpoint's cell: the group of endpoints with which it shares idempotency keys.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// The endpoint's capacity relative to other endpoints; 0 if unknown.
    #[serde(default)]
    pub weight: f64,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: f64,
}

/// Derives an endpoint's id from its name alone, so that all proxies agree on the id regardless of the endpoint's
/// address and its position in the list.
pub fn endpoint_id(name: &str) -> EndpointId {
    xxh3_64(name.as_bytes()) as EndpointId
}

impl Endpoint {
    /// Converts the entry for the decision engine. A zone that is not in `zones` gets the index `zones.len()`.
    pub fn to_entry(&self, zones: &[String]) -> EndpointEntry {
        EndpointEntry {
            index: EndpointIndex(0),
            id: endpoint_id(&self.name),
            zone: zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len()) as u16,
            cell: self.cell,
            state: self.state(),
            weight: self.weight,
            started_at: Timestamp::ZERO
                + TickDuration::from_ticks_f64((self.started_at_ms * TICKS_PER_MILLISECOND).round()),
        }
    }

    /// Marks the endpoint as draining.
    pub(crate) fn set_draining(&mut self) {
        self.status = DRAINING.to_owned();
    }

    /// Returns the state that the entry lists.
    pub(crate) fn state(&self) -> EndpointState {
        match self.status.as_str() {
            "up" => EndpointState::Ready,
            "removed" => EndpointState::Removed,
            // An endpoint in an unknown state gets no new sessions and keeps its established ones.
            _ => EndpointState::Draining,
        }
    }
}
