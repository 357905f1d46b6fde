//! The suspects that a node knows from the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::TickTime;

use super::RequestDigest;
use super::snapshot::{ListPosition, SuspectRow, SuspectSnapshot};
use super::state::HELD_ROUNDS;

#[derive(Debug, Clone, Copy)]
struct ListedSuspect {
    rounds: u32,
    is_held: bool,
    until: TickTime,
}

/// The latest list of a leader, without the requests that the node's target has answered since.
#[derive(Debug, Default)]
pub struct SuspectList {
    position: ListPosition,
    base: ListPosition,
    suspects: BTreeMap<RequestDigest, ListedSuspect>,
    ends: Vec<u64>,
}

impl SuspectList {
    /// Returns term and revision of the list.
    pub fn position(&self) -> ListPosition {
        self.position
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Replaces the list. A new leader that does not include the list held here may not know of earlier ends, so requests that
    /// are held back stay held.
    pub fn adopt(&mut self, now: TickTime, snapshot: &SuspectSnapshot) {
        if snapshot.position < self.position {
            return;
        }
        let is_included =
            snapshot.position.term == self.position.term || snapshot.base >= self.position;
        self.suspects
            .retain(|_, suspect| !is_included && suspect.is_held && suspect.until > now);
        for row in &snapshot.rows {
            let listed = ListedSuspect {
                rounds: row.rounds,
                is_held: row.hold.is_some(),
                until: now + row.hold.unwrap_or(row.time_left),
            };
            self.suspects.entry(row.digest).or_insert(listed);
        }
        self.ends.clone_from(&snapshot.ends);
        (self.position, self.base) = (snapshot.position, snapshot.base);
    }

    /// Returns the list for the next leader.
    pub fn snapshot(&self, now: TickTime) -> SuspectSnapshot {
        let suspects = self.suspects.iter();
        let rows = suspects.filter_map(|(&digest, suspect)| {
            let time_left = suspect.until.saturating_since(now);
            (!time_left.is_zero()).then(|| SuspectRow {
                digest,
                hold: suspect.is_held.then_some(time_left),
                rounds: suspect.rounds,
                time_left,
            })
        });
        SuspectSnapshot {
            position: self.position,
            base: self.base,
            rows: rows.collect(),
            ends: self.ends.clone(),
        }
    }

    /// Returns whether a target has ended under the request.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// Returns whether the request has been at work at enough ends to be held back, but did not explain any of them alone.
    pub fn is_ambiguous(&self, digest: RequestDigest) -> bool {
        let suspect = self.suspects.get(&digest);
        suspect.is_some_and(|it| it.rounds >= HELD_ROUNDS && !it.is_held)
    }

    /// Returns the time for which a request is held back, or `None` if it may be sent.
    pub fn hold(&self, now: TickTime, digest: RequestDigest) -> Option<Duration> {
        let suspect = self.suspects.get(&digest).filter(|it| it.is_held)?;
        let hold = suspect.until.saturating_since(now);
        (!hold.is_zero()).then_some(hold)
    }

    /// Removes a request that a target has answered.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.suspects.remove(&digest);
    }
}
