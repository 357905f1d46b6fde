//! Log store in memory.

use bytes::Bytes;

use super::log_window::LogWindow;
use super::{DISK_ID_LENGTH, HardState, LogStore, SnapshotMeta};
use crate::error::Result;
use crate::generated::LogEntry;

/// Log store that keeps everything in memory, for simulations and measurements.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    disk_id: [u8; DISK_ID_LENGTH],
    hard_state: HardState,
    window: LogWindow,
}

impl MemoryStore {
    /// Creates an empty store with a given identity.
    pub fn new(disk_id: [u8; DISK_ID_LENGTH]) -> Self {
        Self {
            disk_id,
            hard_state: HardState::default(),
            window: LogWindow::default(),
        }
    }
}

impl LogStore for MemoryStore {
    fn disk_id(&self) -> [u8; DISK_ID_LENGTH] {
        self.disk_id
    }

    fn hard_state(&self) -> HardState {
        self.hard_state
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<()> {
        self.hard_state = state;
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        self.window.append(entries)
    }

    fn sync(&mut self) -> Result<()> {
        Ok(())
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
        self.window.install(meta, Bytes::copy_from_slice(data));
        Ok(())
    }

    fn snapshot(&self) -> Option<(SnapshotMeta, Bytes)> {
        self.window.snapshot()
    }
}
