//! The configuration of a proxy: a JSON file, and one environment variable that takes precedence over it. Fields that
//! have another name in the file are mapped by serde attributes.
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
    /// The proxy's name, written to its log.
    #[serde(default)]
    pub name: String,
    /// The address on which client connections are accepted.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin endpoint, which is disabled if there is none.
    #[serde(default, rename = "console")]
    pub admin_address: Option<SocketAddr>,
    /// The seed of all random number generators, hexadecimal in the file.
    #[serde(deserialize_with = "deserialize_hex")]
    pub seed: u64,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The endpoint list to use until discovery sends one.
    #[serde(default, rename = "known")]
    pub cached_endpoints: CachedEndpoints,
    /// The settings of the decision engine.
    pub settings: ProxySettings,
}

/// Resource limits of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// The most file descriptors that the process may have open.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_descriptors: DEFAULT_MAX_DESCRIPTORS }
    }
}

/// The last endpoint list that this proxy had, which may be outdated. Invalid entries are skipped instead of
/// failing the start: discovery sends the current list anyway, and a process that does not start serves no client.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Value")]
pub struct CachedEndpoints {
    /// The valid entries.
    pub endpoints: Vec<Endpoint>,
    /// Why entries, or the whole list, were skipped.
    pub errors: Vec<CachedEndpointError>,
}

/// Why a part of the cached endpoint list was skipped.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CachedEndpointError {
    /// `endpoints` is missing or not an array.
    #[error("known.endpoints: missing or not a list")]
    NoList,
    /// An entry is not a valid endpoint.
    #[error("known.endpoints[{index}]: {reason}")]
    Entry {
        /// The entry's index in the list.
        index: usize,
        /// The deserialization error.
        reason: String,
    },
}

impl From<Value> for CachedEndpoints {
    fn from(mut list: Value) -> Self {
        let mut cached = Self::default();
        let Some(Value::Array(entries)) = list.get_mut("endpoints").map(Value::take) else {
            cached.errors.push(CachedEndpointError::NoList);
            return cached;
        };
        for (index, entry) in entries.into_iter().enumerate() {
            match Endpoint::deserialize(entry) {
                Ok(endpoint) => cached.endpoints.push(endpoint),
                Err(error) => {
                    let reason = error.to_string();
                    cached.errors.push(CachedEndpointError::Entry { index, reason });
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
        /// The I/O error.
        reason: std::io::Error,
    },
    /// A field is missing or has an invalid value.
    #[error("{}: {reason}", file.display())]
    InvalidField {
        /// The file.
        file: PathBuf,
        /// The path of the field and the error.
        reason: serde_path_to_error::Error<serde_json::Error>,
    },
    /// There is data after the JSON object.
    #[error("{}: {reason}", file.display())]
    TrailingData {
        /// The file.
        file: PathBuf,
        /// The error, with the position of the data.
        reason: serde_json::Error,
    },
    /// The settings list no listener.
    #[error("{}: the settings list no listener", file.display())]
    NoListener {
        /// The file.
        file: PathBuf,
    },
    /// The environment variable `ROUTER_CONSOLE` is not a socket address.
    #[error("{ADMIN_ADDRESS_VARIABLE}: {value:?}: {reason}")]
    InvalidAdminAddress {
        /// The variable's value.
        value: String,
        /// The parse error.
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

    /// Overrides the admin address with the value of `ROUTER_CONSOLE` if that is set and not empty. Two processes of a
    /// proxy may share the file, but each needs an admin address of its own.
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
