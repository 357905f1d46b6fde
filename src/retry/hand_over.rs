//! Record of the attempts that were handed over to the local target, and of those that must never be.

use crate::types::{AttemptId, TickTime};

use super::AttemptIdTable;
use super::cancelled::RETENTION;

/// Memory for the ids of hand-overs, and as much again for those of forbidden attempts.
const MAX_TABLE_BYTES: usize = 4 * 1024 * 1024;
/// Memory of one id in both orders of its table, with the overhead of their nodes.
const ID_BYTES: usize = 96;

/// Decision whether an attempt may be handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandOverDecision {
    /// The attempt may be handed over.
    Allowed,
    /// The sender was told that the attempt has not run and never will.
    Forbidden,
    /// The attempt may run at most once and was handed over before.
    Duplicate,
}

/// Record of hand-overs. A sender that lost an answer can ask whether the attempt was handed over. The reply remains
/// valid, because the same record decides about copies that arrive later and about attempts that passed earlier checks.
///
/// A hand-over is kept until a minute after the deadline of its request. At the bound on memory the one that would expire
/// first is dropped, and until then an unknown attempt may have been handed over.
#[derive(Debug)]
pub struct HandOverRecord {
    handed_over: AttemptIdTable,
    forbidden: AttemptIdTable,
    max_ids: usize,
    /// Time until which a dropped hand-over would have been kept.
    incomplete_until: TickTime,
}

impl Default for HandOverRecord {
    fn default() -> Self {
        Self::with_capacity(MAX_TABLE_BYTES / ID_BYTES)
    }
}

impl HandOverRecord {
    /// Creates a record of at most `max_ids` hand-overs and as many forbidden attempts.
    pub fn with_capacity(max_ids: usize) -> Self {
        Self {
            handed_over: AttemptIdTable::new(),
            forbidden: AttemptIdTable::new(),
            max_ids,
            incomplete_until: TickTime::default(),
        }
    }

    /// Returns whether an attempt may currently be handed over, without recording it.
    pub fn check(&self, id: AttemptId, is_at_most_once: bool) -> HandOverDecision {
        if self.forbidden.contains(id) {
            HandOverDecision::Forbidden
        } else if is_at_most_once && self.handed_over.contains(id) {
            HandOverDecision::Duplicate
        } else {
            HandOverDecision::Allowed
        }
    }

    /// Decides whether an attempt may be handed over, and records the hand-over if so. The request runs until `deadline`
    /// at most.
    pub fn begin(
        &mut self,
        id: AttemptId,
        is_at_most_once: bool,
        deadline: TickTime,
    ) -> HandOverDecision {
        let verdict = self.check(id, is_at_most_once);
        if verdict == HandOverDecision::Allowed {
            self.handed_over.insert_until(deadline + RETENTION, id);
            if self.handed_over.len() > self.max_ids
                && let Some(until) = self.handed_over.remove_first()
            {
                self.incomplete_until = self.incomplete_until.max(until);
            }
        }
        verdict
    }

    /// Forbids the hand-over of an attempt. Returns false if it was, or may have been, handed over, or if there is no memory
    /// to forbid it.
    pub fn forbid(&mut self, now: TickTime, id: AttemptId) -> bool {
        if self.handed_over.contains(id) || self.forbidden.len() >= self.max_ids {
            return false;
        }
        self.forbidden.insert(now, id);
        now >= self.incomplete_until
    }

    /// Removes attempts whose retention time has passed.
    pub fn expire(&mut self, now: TickTime) {
        self.handed_over.expire(now);
        self.forbidden.expire(now);
    }
}
