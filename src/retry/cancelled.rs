//! Table of recent attempt ids, so that late copies of the attempts can be refused.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::types::{AttemptId, TickTime};

/// Time for which an id is kept by default. A copy of a short attempt that arrives later is past any deadline.
pub(super) const RETENTION: Duration = Duration::from_mins(1);

/// Recent attempt ids, for example those of cancelled attempts.
#[derive(Debug, Default)]
pub struct AttemptIdTable {
    ids: BTreeSet<AttemptId>,
    /// The ids by the time until which they are kept.
    by_end: BTreeSet<(TickTime, AttemptId)>,
}

impl AttemptIdTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an id for a minute. The time starts with its first addition.
    pub fn insert(&mut self, now: TickTime, id: AttemptId) {
        self.insert_until(now + RETENTION, id);
    }

    /// Adds an id and keeps it until `until`. The first addition decides.
    pub fn insert_until(&mut self, until: TickTime, id: AttemptId) {
        if self.ids.insert(id) {
            self.by_end.insert((until, id));
        }
    }

    /// Returns whether the table holds the id.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether the table holds no id.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Removes the id that would expire first and returns the time until which it was to be kept.
    pub fn remove_first(&mut self) -> Option<TickTime> {
        let (until, id) = self.by_end.pop_first()?;
        self.ids.remove(&id);
        Some(until)
    }

    /// Removes ids whose time has passed.
    pub fn expire(&mut self, now: TickTime) {
        while let Some((until, _)) = self.by_end.first()
            && *until <= now
        {
            self.remove_first();
        }
    }
}
