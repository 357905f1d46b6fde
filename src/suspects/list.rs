//! The suspects that a node knows from the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::TickTime;

use super::{RequestDigest, SuspectRow};

/// Suspects of the latest reply of a leader, and those that are held back by earlier ones of another term.
#[derive(Debug, Default)]
pub struct SuspectList {
    term: u64,
    revision: u64,
    /// End of the hold; `None` if the request may be sent.
    held_until: BTreeMap<RequestDigest, Option<TickTime>>,
}

impl SuspectList {
    /// Returns term and revision of the list.
    pub fn position(&self) -> (u64, u64) {
        (self.term, self.revision)
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.held_until.is_empty()
    }

    /// Replaces the list. A new leader learns of earlier ends only gradually, so requests that are held back stay held when
    /// the term changes.
    pub fn adopt(&mut self, now: TickTime, term: u64, revision: u64, rows: &[SuspectRow]) {
        if (term, revision) < self.position() {
            return;
        }
        let is_same_term = term == self.term;
        self.held_until
            .retain(|_, until| !is_same_term && until.is_some_and(|until| until > now));
        for row in rows {
            let until = row.hold.map(|hold| now + hold);
            let held = self.held_until.entry(row.digest).or_default();
            *held = (*held).max(until);
        }
        (self.term, self.revision) = (term, revision);
    }

    /// Returns whether a target has ended under the request.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.held_until.contains_key(&digest)
    }

    /// Returns the time for which a request is held back, or `None` if it may be sent.
    pub fn hold(&self, now: TickTime, digest: RequestDigest) -> Option<Duration> {
        let until = (*self.held_until.get(&digest)?)?;
        let hold = until.saturating_since(now);
        (!hold.is_zero()).then_some(hold)
    }

    /// Removes a request that a target has answered.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.held_until.remove(&digest);
    }
}
