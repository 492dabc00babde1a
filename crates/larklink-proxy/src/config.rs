//! What a proxy is told at its start: one JSON file.
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use larklink_engine::settings::ProxySettings;
use serde::{Deserialize, Deserializer, de};
use serde_json::Value;
use thiserror::Error;

use crate::endpoint_list::Endpoint;
use crate::protocol;

/// The environment variable with the address of the admin endpoint.
pub const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_CONSOLE";

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
    protocol::parse_hex(&text).ok_or_else(|| de::Error::custom(format!("seed {text:?} is not a hex number")))
}

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {reason}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        reason: std::io::Error,
    },
    /// A field has no valid value.
    #[error("{}: {reason}", file.display())]
    InvalidField {
        /// The file.
        file: PathBuf,
        /// The path of the field and what is wrong there.
        reason: serde_path_to_error::Error<serde_json::Error>,
    },
    /// Something follows the JSON object.
    #[error("{}: {reason}", file.display())]
    TrailingData {
        /// The file.
        file: PathBuf,
        /// Where it follows.
        reason: serde_json::Error,
    },
    /// The settings list no listener.
    #[error("{}: the settings name no listener", file.display())]
    NoListener {
        /// The file.
        file: PathBuf,
    },
    /// The environment variable `ROUTER_CONSOLE` is not a socket address.
    #[error("{ADMIN_ADDRESS_VARIABLE}: {value:?}: {reason}")]
    InvalidAdminAddress {
        /// The variable's value.
        value: String,
        /// What is wrong with it.
        reason: AddrParseError,
    },
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, a field is missing or invalid, or the settings list no listener.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file = || path.to_path_buf();
        let bytes = std::fs::read(path).map_err(|reason| ConfigError::Unreadable { file: file(), reason })?;
        let mut json = serde_json::Deserializer::from_slice(&bytes);
        let config: Self = serde_path_to_error::deserialize(&mut json)
            .map_err(|reason| ConfigError::InvalidField { file: file(), reason })?;
        json.end().map_err(|reason| ConfigError::TrailingData { file: file(), reason })?;
        if config.settings.listeners.is_empty() {
            return Err(ConfigError::NoListener { file: file() });
        }
        Ok(config)
    }

    /// Replaces the admin address by the value of `ROUTER_CONSOLE`, if that is set and not empty: the environment
    /// belongs to one process, while two processes of a proxy may share the file.
    ///
    /// # Errors
    /// The value is not a socket address.
    pub fn with_admin_address(mut self, value: Option<&str>) -> Result<Self, ConfigError> {
        let Some(value) = value.filter(|value| !value.is_empty()) else { return Ok(self) };
        let address = value
            .parse()
            .map_err(|reason| ConfigError::InvalidAdminAddress { value: value.to_owned(), reason })?;
        self.admin_address = Some(address);
        Ok(self)
    }
}
