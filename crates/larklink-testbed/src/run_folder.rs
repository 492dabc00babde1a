//! The folder of one run, for configurations and logs.
use std::path::{Path, PathBuf};

/// A folder that is removed when this is dropped.
pub(crate) struct RunFolder(PathBuf);

impl RunFolder {
    /// Makes the folder of the run with that number in this process.
    ///
    /// # Errors
    /// It cannot be made there.
    pub(crate) fn create(parent: &Path, run: u32) -> std::io::Result<Self> {
        let path = parent.join(format!("larklink-rehearsal-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
