//! Reads the configuration anew. Only the address of discovery is taken over from it: the list is followed
//! there from then on, and sessions go on untouched. All else needs a restart, and the log says so.
use std::net::SocketAddr;
use std::path::PathBuf;

use async_channel::Sender;

use crate::config::Config;

pub struct Reload {
    path: PathBuf,
    /// What the proxy runs by.
    config: Config,
    to: Sender<SocketAddr>,
}

impl Reload {
    /// The channel holds one address: if several come at once, the last counts.
    pub fn new(path: PathBuf, config: Config, to: Sender<SocketAddr>) -> Self {
        Self { path, config, to }
    }

    /// A file that cannot be read leaves all as it was.
    pub fn again(&mut self) {
        let new = match Config::read(&self.path) {
            Ok(new) => new,
            Err(wrong) => return tracing::warn!("the configuration stands as it was: {wrong}"),
        };
        let old = &self.config;
        if (&new.name, new.listen, &new.limits, &new.settings)
            != (&old.name, old.listen, &old.limits, &old.settings)
        {
            tracing::warn!("of the new configuration only discovery counts before a restart");
        }
        tracing::info!(discovery = %new.discovery, "reloads");
        let _ = self.to.force_send(new.discovery);
    }
}
