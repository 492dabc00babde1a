//! What a proxy is told at its start: one JSON file.
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;

use larklink_engine::settings::ProxySettings;
use serde::{Deserialize, Deserializer, de::Error};
use serde_json::Value;

use crate::endpoint_list::Endpoint;
use crate::protocol;

#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where the operators' door listens; without it there is none. `$ROUTER_CONSOLE` goes before it.
    #[serde(default, rename = "console")]
    pub admin_address: Option<SocketAddr>,
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default, rename = "known")]
    pub cached_endpoints: CachedEndpoints,
    pub settings: ProxySettings,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptors that the process may hold.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_descriptors: 1024 }
    }
}

/// The list of servers as this proxy last had it; it may be old. What of it cannot be read is left out: discovery has the
/// list, and a process that did not start for it would serve nobody.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Value")]
pub struct CachedEndpoints {
    pub endpoints: Vec<Endpoint>,
    /// What was left out, each with its place and reason.
    pub unreadable: Vec<String>,
}

impl From<Value> for CachedEndpoints {
    fn from(mut list: Value) -> Self {
        let mut known = Self::default();
        match list.get_mut("endpoints").map(Value::take) {
            Some(Value::Array(all)) => {
                for (at, one) in all.into_iter().enumerate() {
                    match Endpoint::deserialize(one) {
                        Ok(one) => known.endpoints.push(one),
                        Err(e) => known.unreadable.push(format!("known.endpoints[{at}]: {e}")),
                    }
                }
            }
            _ => known.unreadable.push("known.endpoints: no list of servers".into()),
        }
        known
    }
}

fn hex<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let text = String::deserialize(d)?;
    protocol::hex(&text).ok_or_else(|| D::Error::custom(format!("seed {text:?} is not a hex number")))
}

impl Config {
    pub fn read(path: &Path) -> Result<Self, String> {
        let wrong = |what: &dyn Display| format!("{}: {what}", path.display());
        let text = std::fs::read(path).map_err(|e| wrong(&e))?;
        let mut text = serde_json::Deserializer::from_slice(&text);
        let config: Self = serde_path_to_error::deserialize(&mut text).map_err(|e| wrong(&e))?;
        text.end().map_err(|e| wrong(&e))?;
        if config.settings.listeners.is_empty() {
            return Err(wrong(&"the settings name no listener"));
        }
        Ok(config)
    }

    /// The operators' door from the environment goes before that of the file: it is each process's own, where the
    /// file may be shared by two processes of one proxy. An empty one is as good as none.
    ///
    /// # Errors
    /// It is no address.
    pub fn with_admin_address(mut self, given: Option<&str>) -> Result<Self, String> {
        if let Some(text) = given.filter(|text| !text.is_empty()) {
            let address = text.parse().map_err(|e| format!("ROUTER_CONSOLE: {text:?}: {e}"))?;
            self.admin_address = Some(address);
        }
        Ok(self)
    }
}
