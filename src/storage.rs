//! Storage of the replicated log: entries, term and vote, snapshots and the disk identity.

mod file_store;
mod files;
mod log_window;
mod memory_store;
mod recovery;
mod segment;

use std::fmt::Debug;

use bytes::Bytes;

use crate::error::Result;
use crate::generated::LogEntry;

pub use file_store::FileStore;
pub use memory_store::MemoryStore;

/// Length of a disk identity in bytes.
pub const DISK_ID_LENGTH: usize = 16;

/// Term and vote of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Replica that received this replica's vote in the term.
    pub vote: Option<u64>,
}

/// Log position up to which a snapshot covers the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SnapshotMeta {
    /// Index of the last covered entry.
    pub last_index: u64,
    /// Term of the last covered entry.
    pub last_term: u64,
}

/// Durable state of one replica.
///
/// After an error the state on disk is unknown, so the store must be dropped and opened again.
pub trait LogStore: Send + Debug {
    /// Returns the random identity written when the folder was created.
    fn disk_id(&self) -> [u8; DISK_ID_LENGTH];

    /// Returns the term and vote.
    fn hard_state(&self) -> HardState;

    /// Replaces the term and vote; they are synced before it returns.
    fn set_hard_state(&mut self, state: HardState) -> Result<()>;

    /// Appends consecutive entries, replacing all held entries from the index of the first one on.
    ///
    /// The entries are durable only after the next [`LogStore::sync`].
    fn append(&mut self, entries: &[LogEntry]) -> Result<()>;

    /// Makes all appended entries durable.
    fn sync(&mut self) -> Result<()>;

    /// Returns the entry at an index, if it is held.
    fn entry(&self, index: u64) -> Option<LogEntry>;

    /// Returns the held entries from `from` on, up to `max_bytes` in total, but at least one if it is held.
    fn entries(&self, from: u64, max_bytes: usize) -> Vec<LogEntry>;

    /// Returns the index of the first held entry, or of the next entry if none is held.
    fn first_index(&self) -> u64;

    /// Returns the index of the last entry, counting those covered by a snapshot.
    fn last_index(&self) -> u64;

    /// Returns the term of the entry at an index if it is known; index 0 has term 0.
    fn term_at(&self, index: u64) -> Option<u64>;

    /// Stores and syncs a snapshot, and drops the entries it covers.
    ///
    /// Later entries are kept only if the log holds the last covered entry with the same term.
    /// A few covered entries may stay readable for followers that are slightly behind.
    fn save_snapshot(&mut self, meta: SnapshotMeta, data: &[u8]) -> Result<()>;

    /// Returns the latest snapshot.
    fn snapshot(&self) -> Option<(SnapshotMeta, Bytes)>;
}
