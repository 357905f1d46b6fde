//! In-memory log store that loses unsynced appends in a simulated crash.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use ebonyjunction::error::Result;
use ebonyjunction::generated::LogEntry;
use ebonyjunction::storage::{HardState, LogStore, MemoryStore, SnapshotMeta};

/// Shared handle to a disk whose contents survive restarts of the replica that uses it.
#[derive(Debug, Clone)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

#[derive(Debug)]
pub struct DiskState {
    /// Contents visible to a running replica, including unsynced appends.
    pub live: MemoryStore,
    durable: MemoryStore,
    unsynced: Vec<Vec<LogEntry>>,
}

impl DiskState {
    fn sync(&mut self) -> Result<()> {
        for entries in self.unsynced.drain(..) {
            self.durable.append(&entries)?;
        }
        Ok(())
    }
}

impl SimulatedDisk {
    pub fn new(disk_id: [u8; 16]) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            live: MemoryStore::new(disk_id),
            durable: MemoryStore::new(disk_id),
            unsynced: Vec::new(),
        })))
    }

    pub fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap()
    }

    /// Discards all unsynced appends except the first `surviving_appends`, which reached the disk before the crash.
    pub fn crash(&self, surviving_appends: usize) {
        let mut state = self.state();
        state.unsynced.truncate(surviving_appends);
        state.sync().unwrap();
        state.live = state.durable.clone();
    }
}

impl LogStore for SimulatedDisk {
    fn disk_id(&self) -> [u8; 16] {
        self.state().live.disk_id()
    }

    fn hard_state(&self) -> HardState {
        self.state().live.hard_state()
    }

    fn set_hard_state(&mut self, hard_state: HardState) -> Result<()> {
        let mut state = self.state();
        state.durable.set_hard_state(hard_state)?;
        state.live.set_hard_state(hard_state)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        let mut state = self.state();
        state.unsynced.push(entries.to_vec());
        state.live.append(entries)
    }

    fn sync(&mut self) -> Result<()> {
        self.state().sync()
    }

    fn entry(&self, index: u64) -> Option<LogEntry> {
        self.state().live.entry(index)
    }

    fn entries(&self, from: u64, max_bytes: usize) -> Vec<LogEntry> {
        self.state().live.entries(from, max_bytes)
    }

    fn first_index(&self) -> u64 {
        self.state().live.first_index()
    }

    fn last_index(&self) -> u64 {
        self.state().live.last_index()
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        self.state().live.term_at(index)
    }

    fn save_snapshot(&mut self, meta: SnapshotMeta, data: &[u8]) -> Result<()> {
        let mut state = self.state();
        state.sync()?;
        state.durable.save_snapshot(meta, data)?;
        state.live.save_snapshot(meta, data)
    }

    fn snapshot(&self) -> Option<(SnapshotMeta, Bytes)> {
        self.state().live.snapshot()
    }
}
