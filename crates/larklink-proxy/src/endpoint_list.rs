//! The list of servers in discovery's form, and an entry of it in the decisions' plain values. Pure.
use larklink_balancer::{EndpointEntry, EndpointState, TickDuration};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The list of servers as discovery writes it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    pub name: String,
    pub address: String,
    pub status: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "group")]
    pub cell: u16,
    #[serde(default)]
    pub weight: f64,
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: f64,
}

/// A server's id: by its name alone, so that all proxies agree on it whatever its address and place in the
/// list.
pub fn endpoint_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

impl Endpoint {
    pub fn to_entry(&self, zones: &[String]) -> EndpointEntry {
        EndpointEntry {
            endpoint: 0,
            id: endpoint_id(&self.name),
            zone: zones.iter().position(|z| *z == self.zone).unwrap_or(zones.len()) as u16,
            cell: self.cell,
            state: match self.status.as_str() {
                "up" => EndpointState::Ready,
                "removed" => EndpointState::Removed,
                // A state that we do not know is treated with care.
                _ => EndpointState::Draining,
            },
            weight: self.weight,
            started_at: (self.started_at_ms * 10.0).round() as TickDuration,
        }
    }
}
