//! Table of recent attempt ids, each kept for `RETENTION`, so that late copies of the attempts can be refused.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::{AttemptId, TickTime};

/// Time for which an id is kept. A copy that arrives later is past any deadline.
const RETENTION: Duration = Duration::from_mins(1);

/// Recent attempt ids, each kept for `RETENTION`, for example those of cancelled attempts.
#[derive(Debug, Default)]
pub struct AttemptIdTable {
    ids: BTreeSet<AttemptId>,
    order: VecDeque<(TickTime, AttemptId)>,
}

impl AttemptIdTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an id. The retention time starts with its first addition.
    pub fn insert(&mut self, now: TickTime, id: AttemptId) {
        if self.ids.insert(id) {
            self.order.push_back((now, id));
        }
    }

    /// Returns whether the table holds the id.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.ids.contains(&id)
    }

    /// Removes ids whose retention time has passed.
    pub fn expire(&mut self, now: TickTime) {
        while let Some((cancelled, id)) = self.order.front().copied()
            && now - cancelled >= RETENTION
        {
            self.order.pop_front();
            self.ids.remove(&id);
        }
    }
}
