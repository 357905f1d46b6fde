//! In-memory part of the log.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use super::SnapshotMeta;
use crate::error::{MeshError, Result};
use crate::generated::LogEntry;

/// Maximum number of covered entries that stay in memory after a snapshot, so that a follower that is slightly behind
/// does not need the whole snapshot.
const RETAINED_ENTRIES: u64 = 256;
/// Maximum encoded size of these entries.
const RETAINED_BYTES: usize = 1024 * 1024;

/// Consecutive log entries that follow a base position, and the latest snapshot.
#[derive(Debug, Clone, Default)]
pub(super) struct LogWindow {
    base: SnapshotMeta,
    entries: VecDeque<LogEntry>,
    snapshot: Option<(SnapshotMeta, Bytes)>,
}

impl LogWindow {
    /// Creates a window from a snapshot and the consecutive entries that follow it.
    pub(super) fn recover(snapshot: Option<(SnapshotMeta, Bytes)>, entries: Vec<LogEntry>) -> Self {
        Self {
            base: snapshot.as_ref().map(|(meta, _)| *meta).unwrap_or_default(),
            entries: entries.into(),
            snapshot,
        }
    }

    pub(super) fn first_index(&self) -> u64 {
        self.base.last_index + 1
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base.last_index + self.entries.len() as u64
    }

    pub(super) fn snapshot(&self) -> Option<(SnapshotMeta, Bytes)> {
        self.snapshot.clone()
    }

    pub(super) fn entry(&self, index: u64) -> Option<&LogEntry> {
        let position = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    pub(super) fn entries(&self, from: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut total_bytes = 0;
        let mut found = Vec::new();
        for entry in self.iter_from(from) {
            total_bytes += entry.encoded_len();
            if total_bytes > max_bytes && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        found
    }

    pub(super) fn iter_from(&self, from: u64) -> impl Iterator<Item = &LogEntry> {
        let is_held = from >= self.first_index();
        let skipped = from.saturating_sub(self.first_index()) as usize;
        let start = if is_held { skipped } else { self.entries.len() };
        self.entries.range(start.min(self.entries.len())..)
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.last_index {
            return Some(self.base.last_term);
        }
        if index == 0 {
            return Some(0);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Appends consecutive entries, replacing all held entries from the index of the first one on.
    pub(super) fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        let covered = self
            .snapshot
            .as_ref()
            .map_or(0, |(meta, _)| meta.last_index);
        if first.index <= covered || first.index > self.last_index() + 1 {
            return Err(MeshError::invalid(
                "log entry",
                format!(
                    "index {} does not follow the log, which may be replaced from {} and ends at {}",
                    first.index,
                    covered + 1,
                    self.last_index()
                ),
            ));
        }
        let is_consecutive = entries
            .windows(2)
            .all(|pair| pair[0].index + 1 == pair[1].index);
        if !is_consecutive {
            return Err(MeshError::invalid(
                "log entry",
                "indexes are not consecutive",
            ));
        }
        let kept = first.index - self.first_index();
        self.entries.truncate(kept as usize);
        self.entries.extend(entries.iter().cloned());
        Ok(())
    }

    /// Returns whether the log holds the last position of a snapshot with the same term, in which case later
    /// entries remain valid after it.
    pub(super) fn matches_snapshot(&self, meta: SnapshotMeta) -> bool {
        self.term_at(meta.last_index) == Some(meta.last_term)
    }

    /// Installs a snapshot and drops covered entries except the most recent ones. If the log does not match the
    /// snapshot, all entries are dropped.
    pub(super) fn install(&mut self, meta: SnapshotMeta, data: Bytes) {
        if self.matches_snapshot(meta) {
            self.drop_covered(meta);
        } else {
            self.base = meta;
            self.entries.clear();
        }
        self.snapshot = Some((meta, data));
    }

    /// Returns the index of the first covered entry that stays in memory when all up to `last_covered` are covered.
    fn first_retained(&self, last_covered: u64) -> u64 {
        let earliest = last_covered.saturating_sub(RETAINED_ENTRIES) + 1;
        let mut retained_bytes = 0;
        let mut first = last_covered + 1;
        while first > earliest {
            let Some(entry) = self.entry(first - 1) else {
                break;
            };
            retained_bytes += entry.encoded_len();
            if retained_bytes > RETAINED_BYTES {
                break;
            }
            first -= 1;
        }
        first
    }

    fn drop_covered(&mut self, meta: SnapshotMeta) {
        let keep_from = self.first_retained(meta.last_index);
        while self.first_index() < keep_from {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = SnapshotMeta {
                last_index: entry.index,
                last_term: entry.term,
            };
        }
    }
}
