//! Attempts that were cancelled before they arrived.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::{AttemptId, TickTime};

/// A copy of an attempt that arrives later than this after its cancellation is past any deadline.
const RETENTION: Duration = Duration::from_mins(1);

/// Ids of cancelled attempts, kept so that a late copy is refused.
#[derive(Debug, Default)]
pub struct CancelTable {
    ids: BTreeSet<AttemptId>,
    order: VecDeque<(TickTime, AttemptId)>,
}

impl CancelTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Remembers a cancelled attempt; the first cancellation of an id counts.
    pub fn cancel(&mut self, now: TickTime, id: AttemptId) {
        if self.ids.insert(id) {
            self.order.push_back((now, id));
        }
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self, id: AttemptId) -> bool {
        self.ids.contains(&id)
    }

    /// Forgets old ids.
    pub fn expire(&mut self, now: TickTime) {
        while let Some((cancelled, id)) = self.order.front().copied()
            && now - cancelled >= RETENTION
        {
            self.order.pop_front();
            self.ids.remove(&id);
        }
    }
}
