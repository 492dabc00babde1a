//! How a scenario is to be run.
use std::path::{Path, PathBuf};

use async_channel::Sender;

use crate::faulty_relay::PlantedFault;
use crate::sample::Sample;

/// How a scenario is to be run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's program.
    pub proxy_program: PathBuf,
    /// Takes the place of the scenario's seed.
    pub seed: u64,
    /// A fault that is planted before the proxies, to show that the audit finds it.
    pub planted: Option<PlantedFault>,
    /// Where the run makes a folder of its own for configurations and logs; it is removed at the end.
    pub folder: PathBuf,
    /// Gets a sample four times a second; a full channel loses it.
    pub progress: Option<Sender<Sample>>,
}

impl Options {
    /// Without a planted fault or progress, in the folder for temporary files.
    #[must_use]
    pub fn new(proxy_program: &Path, seed: u64) -> Self {
        Self {
            proxy_program: proxy_program.to_owned(),
            seed,
            planted: None,
            folder: std::env::temp_dir(),
            progress: None,
        }
    }
}
