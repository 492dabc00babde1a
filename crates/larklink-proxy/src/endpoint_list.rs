//! The endpoint list in the form that discovery has it, and the conversion of its entries for the decisions. Pure.
use larklink_balancer::{EndpointEntry, EndpointIndex, EndpointState, TickDuration, Timestamp};
use larklink_engine::engine::EndpointId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const TICKS_PER_MILLISECOND: f64 = 10.0;

/// The endpoint list, or what changed in it, as discovery sends it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Grows with each change.
    pub index: u64,
    /// Whether it is complete; otherwise it contains changes only.
    #[serde(default)]
    pub snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    /// Its name, which its id is made from.
    pub name: String,
    /// Its socket address.
    pub address: String,
    /// Its state: `up`, `draining`, `removed`, or another, which counts as `draining`.
    pub status: String,
    /// The name of its zone; empty if discovery names none.
    #[serde(default)]
    pub zone: String,
    /// The number of its cell, a group of endpoints that share idempotency keys.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// Its capacity relative to other endpoints; 0 if discovery names none.
    #[serde(default)]
    pub weight: f64,
    /// When it started, in milliseconds since 1970; 0 if discovery does not say.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: f64,
}

/// An endpoint's id. It is made from the name alone, so that all proxies agree on it whatever the endpoint's address
/// and its place in the list.
pub fn endpoint_id(name: &str) -> EndpointId {
    xxh3_64(name.as_bytes()) as EndpointId
}

impl Endpoint {
    /// The entry as the decisions take it. A zone that is not among `zones` gets the number after the last.
    pub fn to_entry(&self, zones: &[String]) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointIndex(0),
            id: endpoint_id(&self.name),
            zone: zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len()) as u16,
            cell: self.cell,
            state: self.state(),
            weight: self.weight,
            started_at: Timestamp::ZERO
                + TickDuration::from_f64((self.started_at_ms * TICKS_PER_MILLISECOND).round()),
        }
    }

    fn state(&self) -> EndpointState {
        match self.status.as_str() {
            "up" => EndpointState::Ready,
            "removed" => EndpointState::Removed,
            // An unknown state gets no new sessions, and keeps those that it has.
            _ => EndpointState::Draining,
        }
    }
}
