//! Checksummed files that are replaced as a whole: identity, term and vote, snapshots.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use bytes::Bytes;

use super::{DISK_ID_LENGTH, HardState, SnapshotMeta};
use crate::error::{MeshError, Result};

pub(super) const IDENTITY_FILE: &str = "identity";
pub(super) const HARD_STATE_FILE: &str = "hard-state";
pub(super) const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of files that are still being written. Any left from an earlier run are removed when the folder is opened.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";

const IDENTITY_MAGIC: &[u8] = b"EBJDISK1";
const HARD_STATE_MAGIC: &[u8] = b"EBJVOTE1";
const SNAPSHOT_MAGIC: &[u8] = b"EBJSNAP1";
const MAGIC_LENGTH: usize = 8;
const CRC_LENGTH: usize = 4;

/// Returns the context text of an I/O error, for example `cannot read PATH`.
pub(super) fn io_context(action: &str, path: &Path) -> String {
    format!("cannot {action} {}", path.display())
}

pub(super) fn corrupt(path: &Path, offset: usize, detail: impl Into<String>) -> MeshError {
    MeshError::CorruptFile {
        file: path.display().to_string(),
        offset: offset as u64,
        detail: detail.into(),
    }
}

/// Syncs a folder, so that files created, renamed or removed in it stay so after a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|source| MeshError::io(io_context("sync folder", folder), source))
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
pub(super) fn replace_file(folder: &Path, name: &str, parts: &[&[u8]]) -> Result<PathBuf> {
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    write_synced(&temporary, parts)
        .map_err(|source| MeshError::io(io_context("write", &temporary), source))?;
    let path = folder.join(name);
    fs::rename(&temporary, &path)
        .map_err(|source| MeshError::io(io_context("rename to", &path), source))?;
    sync_folder(folder)?;
    Ok(path)
}

fn write_synced(path: &Path, parts: &[&[u8]]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    for part in parts {
        file.write_all(part)?;
    }
    file.sync_all()
}

pub(super) fn remove_file(path: &Path) -> Result<()> {
    fs::remove_file(path).map_err(|source| MeshError::io(io_context("remove", path), source))
}

fn write_checked(folder: &Path, name: &str, magic: &[u8], parts: &[&[u8]]) -> Result<()> {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(magic);
    for part in parts {
        hasher.update(part);
    }
    let crc = hasher.finalize().to_le_bytes();
    let mut all: Vec<&[u8]> = vec![magic];
    all.extend(parts);
    all.push(&crc);
    replace_file(folder, name, &all).map(|_| ())
}

fn read_checked(path: &Path, magic: &[u8]) -> Result<Option<Bytes>> {
    let content = match fs::read(path) {
        Ok(content) => Bytes::from(content),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(MeshError::io(io_context("read", path), source)),
    };
    if content.len() < MAGIC_LENGTH + CRC_LENGTH {
        return Err(corrupt(path, content.len(), "the file is too short"));
    }
    let body_end = content.len() - CRC_LENGTH;
    if content[..MAGIC_LENGTH] != *magic {
        return Err(corrupt(path, 0, "unknown file format"));
    }
    if crc32fast::hash(&content[..body_end]).to_le_bytes() != content[body_end..] {
        return Err(corrupt(path, body_end, "checksum mismatch"));
    }
    Ok(Some(content.slice(MAGIC_LENGTH..body_end)))
}

/// Reads a little-endian `u64` at `offset`, if the content is long enough.
pub(super) fn read_u64(content: &[u8], offset: usize) -> Option<u64> {
    let bytes = content.get(offset..offset + 8)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}

pub(super) fn write_identity(folder: &Path, disk_id: [u8; DISK_ID_LENGTH]) -> Result<()> {
    write_checked(folder, IDENTITY_FILE, IDENTITY_MAGIC, &[&disk_id])
}

pub(super) fn read_identity(folder: &Path) -> Result<Option<[u8; DISK_ID_LENGTH]>> {
    let path = folder.join(IDENTITY_FILE);
    let Some(body) = read_checked(&path, IDENTITY_MAGIC)? else {
        return Ok(None);
    };
    let disk_id = body[..].try_into();
    disk_id
        .map(Some)
        .map_err(|_| corrupt(&path, MAGIC_LENGTH, "unexpected length"))
}

pub(super) fn write_hard_state(folder: &Path, state: HardState) -> Result<()> {
    let term = state.term.to_le_bytes();
    let has_vote = [u8::from(state.vote.is_some())];
    let vote = state.vote.unwrap_or_default().to_le_bytes();
    write_checked(
        folder,
        HARD_STATE_FILE,
        HARD_STATE_MAGIC,
        &[&term, &has_vote, &vote],
    )
}

/// Reads term and vote. A missing file means corruption, because the file is written before the identity.
pub(super) fn read_hard_state(folder: &Path) -> Result<HardState> {
    let path = folder.join(HARD_STATE_FILE);
    let body = read_checked(&path, HARD_STATE_MAGIC)?
        .ok_or_else(|| corrupt(&path, 0, "the file is missing"))?;
    let (Some(term), Some(&has_vote), Some(vote)) =
        (read_u64(&body, 0), body.get(8), read_u64(&body, 9))
    else {
        return Err(corrupt(&path, MAGIC_LENGTH, "unexpected length"));
    };
    Ok(HardState {
        term,
        vote: (has_vote == 1).then_some(vote),
    })
}

pub(super) fn snapshot_name(meta: SnapshotMeta) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", meta.last_index)
}

pub(super) fn write_snapshot(folder: &Path, meta: SnapshotMeta, data: &[u8]) -> Result<()> {
    let index = meta.last_index.to_le_bytes();
    let term = meta.last_term.to_le_bytes();
    write_checked(
        folder,
        &snapshot_name(meta),
        SNAPSHOT_MAGIC,
        &[&index, &term, data],
    )
}

pub(super) fn read_snapshot(path: &Path) -> Result<(SnapshotMeta, Bytes)> {
    let body = read_checked(path, SNAPSHOT_MAGIC)?
        .ok_or_else(|| corrupt(path, 0, "the file is missing"))?;
    let (Some(last_index), Some(last_term)) = (read_u64(&body, 0), read_u64(&body, 8)) else {
        return Err(corrupt(path, MAGIC_LENGTH, "unexpected length"));
    };
    let meta = SnapshotMeta {
        last_index,
        last_term,
    };
    Ok((meta, body.slice(16..)))
}
