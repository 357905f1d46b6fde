//! Queue of waiting work, ordered by class, then depth, then priority hash.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::types::{PriorityClass, RequestPriority};

use super::work::{WorkKey, WorkRequest};

/// Position in the queue. The greatest rank runs first and the smallest is displaced first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    class: PriorityClass,
    depth: u8,
    priority: RequestPriority,
    order: Reverse<u64>,
}

impl QueueRank {
    pub(super) const fn new(request: &WorkRequest, sequence: u64) -> Self {
        Self {
            class: request.priority.class(),
            depth: request.depth,
            priority: request.priority,
            order: Reverse(sequence),
        }
    }

    pub(super) const fn class(self) -> PriorityClass {
        self.class
    }
}

/// Work that waits for a slot.
#[derive(Debug, Default)]
pub(super) struct WorkQueue {
    entries: BTreeMap<QueueRank, WorkKey>,
}

impl WorkQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn push(&mut self, rank: QueueRank, key: WorkKey) {
        self.entries.insert(rank, key);
    }

    pub(super) fn remove(&mut self, rank: QueueRank) {
        self.entries.remove(&rank);
    }

    pub(super) fn pop_first(&mut self) -> Option<WorkKey> {
        self.entries.pop_last().map(|(_, key)| key)
    }

    /// Returns the rank of the entry that is displaced first.
    pub(super) fn lowest(&self) -> Option<QueueRank> {
        self.entries.keys().next().copied()
    }

    pub(super) fn pop_lowest(&mut self) -> Option<WorkKey> {
        self.entries.pop_first().map(|(_, key)| key)
    }

    /// Returns the number of entries that run before the given rank.
    pub(super) fn count_before(&self, rank: QueueRank) -> usize {
        self.entries.range(rank..).count()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = WorkKey> {
        self.entries.values().copied()
    }
}
