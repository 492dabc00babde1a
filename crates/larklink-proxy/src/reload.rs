//! Reload of the configuration while the proxy runs. Only the address of discovery is applied; sessions are untouched.
//! Everything else needs a restart, and the log says so where it differs.
use std::net::SocketAddr;
use std::path::PathBuf;

use async_channel::Sender;

use crate::config::Config;

/// Reads the configuration file again on request.
pub struct ConfigReloader {
    path: PathBuf,
    /// The configuration that the proxy runs with.
    running: Config,
    discovery: Sender<SocketAddr>,
}

impl ConfigReloader {
    /// A reloader that sends the address of discovery to a channel with room for one: of several reloads the last counts.
    pub fn new(path: PathBuf, running: Config, discovery: Sender<SocketAddr>) -> Self {
        Self { path, running, discovery }
    }

    /// Reads the file and applies it. One that cannot be read is logged and changes nothing.
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
        // It only fails when the proxy is about to exit.
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
