//! Recovery of the log and snapshot from a data folder after a stop or crash.

use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};

use bytes::Bytes;

use super::SnapshotMeta;
use super::files::{
    SNAPSHOT_PREFIX, TEMPORARY_SUFFIX, corrupt, io_context, read_snapshot, remove_file, sync_folder,
};
use super::log_window::LogWindow;
use super::segment::{SEGMENT_PREFIX, SegmentFile, SegmentScan, scan_segment};
use crate::error::{MeshError, Result};
use crate::generated::LogEntry;

/// Paths found in a data folder by kind; segments and snapshots are in ascending order.
#[derive(Debug, Default)]
pub(super) struct FolderListing {
    pub(super) segments: Vec<PathBuf>,
    pub(super) snapshots: Vec<PathBuf>,
    pub(super) temporary_files: Vec<PathBuf>,
}

impl FolderListing {
    pub(super) fn read(folder: &Path) -> Result<Self> {
        let to_error = |source| MeshError::io(io_context("list", folder), source);
        let mut listing = Self::default();
        for item in fs::read_dir(folder).map_err(to_error)? {
            let path = item.map_err(to_error)?.path();
            listing.add(path);
        }
        listing.segments.sort();
        listing.snapshots.sort();
        Ok(listing)
    }

    fn add(&mut self, path: PathBuf) {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.ends_with(TEMPORARY_SUFFIX) {
            self.temporary_files.push(path);
        } else if name.starts_with(SEGMENT_PREFIX) {
            self.segments.push(path);
        } else if name.starts_with(SNAPSHOT_PREFIX) {
            self.snapshots.push(path);
        }
    }
}

/// Log and segments recovered from a data folder.
#[derive(Debug)]
pub(super) struct RecoveredLog {
    pub(super) window: LogWindow,
    pub(super) segments: Vec<SegmentFile>,
}

/// Reads the latest snapshot and the log after it. An incomplete last frame is truncated.
pub(super) fn recover_log(folder: &Path, listing: &FolderListing) -> Result<RecoveredLog> {
    let snapshot = read_latest_snapshot(folder, &listing.snapshots)?;
    let covered = snapshot.as_ref().map(|(meta, _)| *meta).unwrap_or_default();
    let mut replay = LogReplay {
        covered_index: covered.last_index,
        entries: Vec::new(),
    };
    let mut segments = Vec::new();
    for (position, path) in listing.segments.iter().enumerate() {
        let is_last = position + 1 == listing.segments.len();
        segments.push(replay.read_segment(path, is_last)?);
    }
    let mut entries = replay.entries;
    check_log_start(listing, &entries, covered)?;
    let matches_snapshot = log_matches_snapshot(&entries, covered);
    if matches_snapshot {
        entries.retain(|entry| entry.index > covered.last_index);
    } else {
        entries.clear();
        remove_segments(folder, &mut segments)?;
    }
    let window = LogWindow::recover(snapshot, entries);
    Ok(RecoveredLog { window, segments })
}

/// Removes all segments, the latest first, so that an interrupted removal leaves a log without gaps.
pub(super) fn remove_segments(folder: &Path, segments: &mut Vec<SegmentFile>) -> Result<()> {
    while let Some(segment) = segments.last() {
        remove_file(&segment.path)?;
        segments.pop();
    }
    sync_folder(folder)
}

fn read_latest_snapshot(folder: &Path, paths: &[PathBuf]) -> Result<Option<(SnapshotMeta, Bytes)>> {
    let Some((latest, older)) = paths.split_last() else {
        return Ok(None);
    };
    let snapshot = read_snapshot(latest)?;
    for path in older {
        remove_file(path)?;
    }
    sync_folder(folder)?;
    Ok(Some(snapshot))
}

/// Returns an error if entries are missing between the end of the snapshot and the start of the log.
fn check_log_start(
    listing: &FolderListing,
    entries: &[LogEntry],
    covered: SnapshotMeta,
) -> Result<()> {
    let Some((first, path)) = entries.first().zip(listing.segments.first()) else {
        return Ok(());
    };
    if first.index > covered.last_index + 1 {
        let detail = format!(
            "the log starts at index {}, but the snapshot ends at {}",
            first.index, covered.last_index
        );
        return Err(corrupt(path, 0, detail));
    }
    Ok(())
}

/// Returns whether the entries include the last entry that the snapshot covers, or start directly after it.
fn log_matches_snapshot(entries: &[LogEntry], covered: SnapshotMeta) -> bool {
    let Some(first) = entries.first() else {
        return true;
    };
    let Some(position) = covered.last_index.checked_sub(first.index) else {
        return true;
    };
    entries
        .get(position as usize)
        .is_some_and(|entry| entry.term == covered.last_term)
}

/// Log entries rebuilt from the frames read so far.
#[derive(Debug)]
struct LogReplay {
    /// Last entry that the snapshot covers.
    covered_index: u64,
    entries: Vec<LogEntry>,
}

impl LogReplay {
    fn read_segment(&mut self, path: &Path, is_last: bool) -> Result<SegmentFile> {
        let scan = scan_segment(path)?;
        if scan.valid_length < scan.file_length {
            if !is_last {
                let detail = "checksum mismatch in a segment that is followed by another";
                return Err(corrupt(path, scan.valid_length, detail));
            }
            truncate_tail(path, &scan)?;
        }
        let mut highest_index = 0;
        for frame in scan.frames {
            highest_index = highest_index.max(frame.last().map_or(0, |entry| entry.index));
            self.apply_frame(path, frame)?;
        }
        Ok(SegmentFile {
            number: segment_number(path)?,
            path: path.to_path_buf(),
            highest_index,
            length: scan.valid_length as u64,
        })
    }

    fn apply_frame(&mut self, path: &Path, frame: Vec<LogEntry>) -> Result<()> {
        for entry in frame {
            let Some(first) = self.entries.first() else {
                self.entries.push(entry);
                continue;
            };
            let position = entry.index.checked_sub(first.index);
            match position {
                Some(position) if position <= self.entries.len() as u64 => {
                    self.entries.truncate(position as usize);
                }
                // The entry precedes all entries read so far and replaces them.
                None => self.entries.clear(),
                // If power is lost before the removal of several covered segments is synced, some of them may
                // reappear while others stay removed, which leaves a gap among covered entries.
                Some(_) if entry.index <= self.covered_index + 1 => self.entries.clear(),
                Some(_) => {
                    let detail = format!("entries before index {} are missing", entry.index);
                    return Err(corrupt(path, 0, detail));
                }
            }
            self.entries.push(entry);
        }
        Ok(())
    }
}

fn segment_number(path: &Path) -> Result<u64> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    name.strip_prefix(SEGMENT_PREFIX)
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| corrupt(path, 0, "unexpected name of a log segment"))
}

/// Truncates an incomplete frame that was being written when the process or machine stopped.
fn truncate_tail(path: &Path, scan: &SegmentScan) -> Result<()> {
    log::warn!(
        "event=log_tail_truncated file={} offset={} bytes={}",
        path.display(),
        scan.valid_length,
        scan.file_length - scan.valid_length
    );
    OpenOptions::new()
        .write(true)
        .open(path)
        .and_then(|file| {
            file.set_len(scan.valid_length as u64)?;
            file.sync_all()
        })
        .map_err(|source| MeshError::io(io_context("truncate", path), source))
}
