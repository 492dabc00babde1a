//! The endpoints as the proxy knows them beside the engine: their entries and addresses, by id.
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use larklink_balancer::{EndpointEntry, EndpointState, ListScope};
use larklink_engine::engine::EndpointId;

use crate::endpoint_list::{Endpoint, endpoint_id};

/// The current endpoint list, and the address of each endpoint that the engine knows.
pub(crate) struct EndpointDirectory {
    /// Zone names; the engine identifies an endpoint's zone by its index in this list.
    zones: Vec<String>,
    /// The last known address of every endpoint that the engine knows, also of removed ones.
    addresses: HashMap<EndpointId, SocketAddr>,
    listed: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointDirectory {
    /// Creates an empty directory. `zones` are the zone names of the settings.
    pub(crate) fn new(zones: Vec<String>) -> Self {
        Self { zones, addresses: HashMap::new(), listed: BTreeMap::new() }
    }

    /// Applies an endpoint list or its changes. Returns the entries for the engine.
    pub(crate) fn update(&mut self, scope: ListScope, endpoints: &[Endpoint]) -> Vec<EndpointEntry> {
        if scope.is_complete() {
            self.listed.clear();
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        endpoints.iter().map(|endpoint| endpoint.to_entry(&self.zones)).collect()
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let Endpoint { name, status, address, .. } = endpoint;
        let id = endpoint_id(name);
        match address.parse() {
            Ok(address) => {
                self.addresses.insert(id, address);
            }
            Err(_) if status == "up" => tracing::warn!(name, address, "endpoint has no valid address"),
            Err(_) => {}
        }
        if status == "removed" {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id, endpoint.clone());
        }
        // Also written for an endpoint that was removed, with that status.
        let started_at_ms = endpoint.started_at_ms;
        tracing::info!(endpoint = format!("{id:08x}"), name, status, started_at_ms, "endpoint listed");
    }

    /// Takes over the state of an endpoint that an older list has not made ready again.
    pub(crate) fn keep_closed(&mut self, id: EndpointId, state: EndpointState) {
        match state {
            EndpointState::Ready => return,
            EndpointState::Removed => _ = self.listed.remove(&id),
            EndpointState::Draining => {
                if let Some(kept) = self.listed.get_mut(&id) {
                    kept.set_draining();
                }
            }
        }
        tracing::warn!(endpoint = format!("{id:08x}"), "endpoint stays closed despite an older list");
    }

    /// Forgets an endpoint that the engine has forgotten.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.addresses.remove(&endpoint);
    }

    /// Returns the last known address of an endpoint.
    pub(crate) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// Returns the endpoints of the current list.
    pub(crate) fn listed(&self) -> &BTreeMap<EndpointId, Endpoint> {
        &self.listed
    }
}
