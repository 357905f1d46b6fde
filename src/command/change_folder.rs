//! Files that let an operator resend a change whose response was lost, even from a new process.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::error::{MeshError, Result};

const PENDING_FILE: &str = "pending-change.toml";
const VERSION_FILE: &str = "seen-version.toml";

/// A change that may have been sent and whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PendingChange {
    pub(super) change_id: String,
    pub(super) base_version: u64,
    /// SHA-256 digest of both lists, so that the change id is not reused for other lists.
    pub(super) lists_sha256: String,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SeenVersion {
    version: u64,
}

/// Folder with the pending change and the version that the operator last saw.
#[derive(Debug)]
pub(super) struct ChangeFolder {
    folder: PathBuf,
}

impl ChangeFolder {
    /// Opens the folder and creates it if needed.
    pub(super) fn open(folder: &Path) -> Result<Self> {
        fs::create_dir_all(folder).map_err(|source| failed("create", folder, source))?;
        Ok(Self {
            folder: folder.to_path_buf(),
        })
    }

    pub(super) fn pending_path(&self) -> PathBuf {
        self.folder.join(PENDING_FILE)
    }

    pub(super) fn pending(&self) -> Result<Option<PendingChange>> {
        self.read(PENDING_FILE)
    }

    /// Writes the pending change and syncs it before returning.
    pub(super) fn store_pending(&self, change: &PendingChange) -> Result<()> {
        self.write(PENDING_FILE, change)
    }

    pub(super) fn remove_pending(&self) -> Result<()> {
        let path = self.pending_path();
        fs::remove_file(&path).map_err(|source| failed("remove", &path, source))?;
        self.sync_folder()
    }

    pub(super) fn seen_version(&self) -> Result<Option<u64>> {
        let seen: Option<SeenVersion> = self.read(VERSION_FILE)?;
        Ok(seen.map(|seen| seen.version))
    }

    pub(super) fn record_version(&self, version: u64) -> Result<()> {
        self.write(VERSION_FILE, &SeenVersion { version })
    }

    fn read<T: for<'de> Deserialize<'de>>(&self, name: &str) -> Result<Option<T>> {
        let path = self.folder.join(name);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(failed("read", &path, source)),
        };
        let value = toml::from_str(&text);
        value
            .map(Some)
            .map_err(|error| failed("read", &path, std::io::Error::other(error)))
    }

    fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<()> {
        let path = self.folder.join(name);
        let temp_path = self.folder.join(format!("{name}.new"));
        let text = toml::to_string(value)
            .map_err(|error| failed("write", &path, std::io::Error::other(error)))?;
        let write = || {
            let mut file = File::create(&temp_path)?;
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&temp_path, &path)
        };
        write().map_err(|source| failed("write", &path, source))?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> Result<()> {
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(|source| failed("sync", &self.folder, source))
    }
}

fn failed(action: &str, path: &Path, source: std::io::Error) -> MeshError {
    MeshError::io(format!("cannot {action} {}", path.display()), source)
}
