//! The configuration that a proxy starts with: one JSON file, and one environment variable that goes before it. This is
//! where the names in the file are mapped.
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use larklink_engine::settings::ProxySettings;
use serde::{Deserialize, Deserializer, de};
use serde_json::Value;
use thiserror::Error;

use crate::endpoint_list::Endpoint;
use crate::protocol::parse_hex;

/// The environment variable with the address of the admin endpoint.
pub const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_CONSOLE";

const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// The configuration of a proxy.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The proxy's name, for its log.
    #[serde(default)]
    pub name: String,
    /// Where clients connect to.
    pub listen: SocketAddr,
    /// Where the endpoint list is polled.
    pub discovery: SocketAddr,
    /// Where the admin endpoint listens; there is none without it.
    #[serde(default, rename = "console")]
    pub admin_address: Option<SocketAddr>,
    /// The seed of all random choices; hexadecimal in the file.
    #[serde(deserialize_with = "deserialize_hex")]
    pub seed: u64,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The endpoint list that the proxy starts with.
    #[serde(default, rename = "known")]
    pub cached_endpoints: CachedEndpoints,
    /// The settings of the decisions.
    pub settings: ProxySettings,
}

/// Limits of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptors that the process may have open.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_descriptors: DEFAULT_MAX_DESCRIPTORS }
    }
}

/// The endpoint list as this proxy last had it, which may be outdated. Unreadable entries are left out: discovery has
/// the list, and a process that did not start would serve no client.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Value")]
pub struct CachedEndpoints {
    /// The endpoints that could be read.
    pub endpoints: Vec<Endpoint>,
    /// What was left out.
    pub unreadable: Vec<UnreadableEndpoints>,
}

/// Why a part of the cached endpoint list was left out.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnreadableEndpoints {
    /// There is no list of endpoints.
    #[error("known.endpoints: no list of servers")]
    NoList,
    /// An entry is no endpoint.
    #[error("known.endpoints[{index}]: {reason}")]
    Entry {
        /// Its place in the list.
        index: usize,
        /// What is wrong with it.
        reason: String,
    },
}

impl From<Value> for CachedEndpoints {
    fn from(mut list: Value) -> Self {
        let mut cached = Self::default();
        let Some(Value::Array(entries)) = list.get_mut("endpoints").map(Value::take) else {
            cached.unreadable.push(UnreadableEndpoints::NoList);
            return cached;
        };
        for (index, entry) in entries.into_iter().enumerate() {
            match Endpoint::deserialize(entry) {
                Ok(endpoint) => cached.endpoints.push(endpoint),
                Err(error) => {
                    let reason = error.to_string();
                    cached.unreadable.push(UnreadableEndpoints::Entry { index, reason });
                }
            }
        }
        cached
    }
}

fn deserialize_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_hex(&text).ok_or_else(|| de::Error::custom(format!("seed {text:?} is not a hex number")))
}

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {reason}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the system.
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
