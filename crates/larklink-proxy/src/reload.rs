//! Reloads the configuration while the proxy runs. Only the address of discovery is applied, and sessions are not
//! affected. Other changes need a restart; a warning is logged if the name, the listen address, the limits or the
//! settings differ.
use std::net::SocketAddr;
use std::path::PathBuf;

use async_channel::Sender;

use crate::config::Config;

/// Reloads the configuration file.
pub struct ConfigReloader {
    path: PathBuf,
    /// The configuration that is in effect.
    running: Config,
    discovery: Sender<SocketAddr>,
}

impl ConfigReloader {
    /// Creates a reloader that sends the address of discovery to `discovery`, a channel with a capacity of one. Each
    /// reload replaces an address that has not been received yet.
    pub fn new(path: PathBuf, running: Config, discovery: Sender<SocketAddr>) -> Self {
        Self { path, running, discovery }
    }

    /// Reads the file and applies it. If it cannot be read or is invalid, the error is logged and nothing changes.
    pub fn reload(&self) {
        let new = match Config::read(&self.path) {
            Ok(new) => new,
            Err(error) => {
                tracing::warn!(%error, "configuration not reloaded");
                return;
            }
        };
        if self.needs_restart(&new) {
            tracing::warn!("configuration changes other than discovery need a restart");
        }
        tracing::info!(discovery = %new.discovery, "configuration reloaded");
        // Sending fails only when the proxy is about to exit.
        let _ = self.discovery.force_send(new.discovery);
    }

    fn needs_restart(&self, new: &Config) -> bool {
        let running = &self.running;
        new.name != running.name
            || new.listen != running.listen
            || new.limits != running.limits
            || new.settings != running.settings
    }
}
