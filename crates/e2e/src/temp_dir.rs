//! Temporary directory of a test.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Directory that is removed on drop. A failing test keeps it, with the logs of its processes.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty directory.
    pub fn new() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("monsoon-e2e-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the temporary directory is writable");
        Self(path)
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Path of `name` in the directory.
    pub fn join(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes `text` to the file `name` and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.join(name);
        fs::write(&path, text).expect("the temporary directory is writable");
        path
    }
}

impl Default for TempDir {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the processes are in {}", self.0.display());
        } else if let Err(error) = fs::remove_dir_all(&self.0) {
            eprintln!("{} was not removed: {error}", self.0.display());
        }
    }
}
