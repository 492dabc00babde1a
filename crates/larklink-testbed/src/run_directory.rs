//! The temporary directory of a run, for configurations and logs.
use std::path::{Path, PathBuf};

/// A directory that is removed when this value is dropped.
pub(crate) struct RunDirectory(PathBuf);

impl RunDirectory {
    /// Creates the directory of the run with this number within the process.
    ///
    /// # Errors
    /// Fails if the directory cannot be created.
    pub(crate) fn create(parent: &Path, run: u32) -> std::io::Result<Self> {
        let path = parent.join(format!("larklink-rehearsal-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
