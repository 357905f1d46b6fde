//! Log store in a data folder.

use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

use bytes::Bytes;

use super::files::{
    IDENTITY_FILE, corrupt, io_context, read_hard_state, read_identity, remove_file, snapshot_name,
    sync_folder, write_hard_state, write_identity, write_snapshot,
};
use super::log_window::LogWindow;
use super::recovery::{FolderListing, RecoveredLog, recover_log, remove_segments};
use super::segment::{LogFrame, SegmentFile};
use super::{DISK_ID_LENGTH, HardState, LogStore, SnapshotMeta};
use crate::error::{MeshError, Result};
use crate::generated::LogEntry;

const LOCK_FILE: &str = "lock";
/// Length from which on a new segment is started. A segment is removed only as a whole, once a snapshot covers it.
const MAX_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Length at which a frame is closed. A larger sync writes several frames and syncs each one.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Log store that keeps one replica's log, term, vote and snapshot in a folder.
#[derive(Debug)]
pub struct FileStore {
    folder: PathBuf,
    disk_id: [u8; DISK_ID_LENGTH],
    hard_state: HardState,
    window: LogWindow,
    /// Entries from this index on are not on disk yet.
    unsynced_from: u64,
    segments: Vec<SegmentFile>,
    /// The last segment, opened for appending.
    active: Option<File>,
    /// Whether a write has failed, after which the content of the disk is unknown.
    is_failed: bool,
    _lock: File,
}

impl FileStore {
    /// Opens a data folder, and initialises it with a new disk identity if it is empty.
    ///
    /// A frame that was being written during a crash is truncated. Any other damage is reported as
    /// [`MeshError::CorruptFile`]. The folder is locked against a second process.
    pub fn open(folder: &Path) -> Result<Self> {
        fs::create_dir_all(folder)
            .map_err(|source| MeshError::io(io_context("create", folder), source))?;
        let lock = lock_folder(folder)?;
        let listing = FolderListing::read(folder)?;
        for path in &listing.temporary_files {
            remove_file(path)?;
        }
        let disk_id = match read_identity(folder)? {
            Some(disk_id) => disk_id,
            None => create_identity(folder, &listing)?,
        };
        let hard_state = read_hard_state(folder)?;
        let RecoveredLog { window, segments } = recover_log(folder, &listing)?;
        let mut store = Self {
            folder: folder.to_path_buf(),
            disk_id,
            hard_state,
            unsynced_from: window.last_index() + 1,
            window,
            segments,
            active: None,
            is_failed: false,
            _lock: lock,
        };
        store.remove_covered_segments()?;
        Ok(store)
    }

    /// Runs a write. If the write fails, all later writes are refused.
    fn run_write<T>(&mut self, write: impl FnOnce(&mut Self) -> Result<T>) -> Result<T> {
        if self.is_failed {
            let detail = "an earlier write to the data folder failed";
            return Err(MeshError::invalid("store", detail));
        }
        let result = write(self);
        self.is_failed = result.is_err();
        result
    }

    fn write_unsynced(&mut self) -> Result<()> {
        loop {
            let entries = self.window.iter_from(self.unsynced_from);
            let Some(frame) = LogFrame::encode(entries, MAX_FRAME_BYTES)? else {
                return Ok(());
            };
            self.write_frame(&frame)?;
            self.unsynced_from = frame.last_index() + 1;
        }
    }

    fn write_frame(&mut self, frame: &LogFrame) -> Result<()> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|segment| segment.length >= MAX_SEGMENT_BYTES);
        if is_full {
            self.start_segment()?;
        }
        let Some(segment) = self.segments.last_mut() else {
            return Err(MeshError::invalid("store", "there is no open segment"));
        };
        let file = match &mut self.active {
            Some(file) => file,
            None => self.active.insert(segment.open_for_append()?),
        };
        segment.write_frame(file, frame)
    }

    fn start_segment(&mut self) -> Result<()> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        self.active = None;
        self.segments
            .push(SegmentFile::create(&self.folder, number)?);
        Ok(())
    }

    fn write_snapshot(&mut self, meta: SnapshotMeta, data: &[u8]) -> Result<()> {
        let older = self.window.snapshot().map(|(meta, _)| meta);
        let keeps_entries = self.window.matches_snapshot(meta);
        if keeps_entries {
            self.write_unsynced()?;
        }
        write_snapshot(&self.folder, meta, data)?;
        self.window.install(meta, Bytes::copy_from_slice(data));
        if let Some(older) = older.filter(|older| older.last_index != meta.last_index) {
            remove_file(&self.folder.join(snapshot_name(older)))?;
        }
        if keeps_entries {
            self.start_segment()?;
            self.remove_covered_segments()
        } else {
            self.active = None;
            self.unsynced_from = self.window.last_index() + 1;
            remove_segments(&self.folder, &mut self.segments)
        }
    }

    /// Removes the oldest segments whose entries are all covered by the snapshot, but never the last segment.
    fn remove_covered_segments(&mut self) -> Result<()> {
        let covered = self
            .window
            .snapshot()
            .map_or(0, |(meta, _)| meta.last_index);
        let removable = self
            .segments
            .iter()
            .take(self.segments.len().saturating_sub(1))
            .take_while(|segment| segment.highest_index <= covered)
            .count();
        if removable == 0 {
            return Ok(());
        }
        for segment in self.segments.drain(..removable) {
            remove_file(&segment.path)?;
        }
        sync_folder(&self.folder)
    }
}

impl LogStore for FileStore {
    fn disk_id(&self) -> [u8; DISK_ID_LENGTH] {
        self.disk_id
    }

    fn hard_state(&self) -> HardState {
        self.hard_state
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<()> {
        self.run_write(|store| {
            write_hard_state(&store.folder, state)?;
            store.hard_state = state;
            Ok(())
        })
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        self.window.append(entries)?;
        self.unsynced_from = self.unsynced_from.min(first.index);
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        self.run_write(Self::write_unsynced)
    }

    fn entry(&self, index: u64) -> Option<LogEntry> {
        self.window.entry(index).cloned()
    }

    fn entries(&self, from: u64, max_bytes: usize) -> Vec<LogEntry> {
        self.window.entries(from, max_bytes)
    }

    fn first_index(&self) -> u64 {
        self.window.first_index()
    }

    fn last_index(&self) -> u64 {
        self.window.last_index()
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        self.window.term_at(index)
    }

    fn save_snapshot(&mut self, meta: SnapshotMeta, data: &[u8]) -> Result<()> {
        self.run_write(|store| store.write_snapshot(meta, data))
    }

    fn snapshot(&self) -> Option<(SnapshotMeta, Bytes)> {
        self.window.snapshot()
    }
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK_FILE);
    let to_error = |source| MeshError::io(io_context("lock", &path), source);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(to_error)?;
    file.try_lock().map_err(|error| to_error(error.into()))?;
    Ok(file)
}

/// Initialises a data folder. The identity is written last, so that a folder with an identity is complete.
fn create_identity(folder: &Path, listing: &FolderListing) -> Result<[u8; DISK_ID_LENGTH]> {
    if !listing.segments.is_empty() || !listing.snapshots.is_empty() {
        let path = folder.join(IDENTITY_FILE);
        return Err(corrupt(&path, 0, "the file is missing, but a log exists"));
    }
    write_hard_state(folder, HardState::default())?;
    let disk_id = uuid::Uuid::new_v4().into_bytes();
    write_identity(folder, disk_id)?;
    Ok(disk_id)
}
