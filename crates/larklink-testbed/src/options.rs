//! Options of a run.
use std::path::{Path, PathBuf};

use async_channel::Sender;

use crate::faulty_relay::PlantedFault;
use crate::sample::Sample;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The path of the proxy executable.
    pub proxy_program: PathBuf,
    /// The seed, which overrides that of the scenario.
    pub seed: u64,
    /// A fault to plant in front of the proxies, to test that the audit finds it.
    pub planted_fault: Option<PlantedFault>,
    /// The directory in which the run creates its own directory for configurations and logs, removed at the end.
    pub parent_directory: PathBuf,
    /// Receives a sample four times a second. Samples are dropped while the channel is full.
    pub progress: Option<Sender<Sample>>,
}

impl Options {
    /// Options without a planted fault or progress channel, using the system's directory for temporary files.
    #[must_use]
    pub fn new(proxy_program: &Path, seed: u64) -> Self {
        Self {
            proxy_program: proxy_program.to_owned(),
            seed,
            planted_fault: None,
            parent_directory: std::env::temp_dir(),
            progress: None,
        }
    }
}
