//! Record of the attempts that were handed over to the local target, and of those that must never be.

use crate::types::{AttemptId, TickTime};

use super::AttemptIdTable;

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
#[derive(Debug, Default)]
pub struct HandOverRecord {
    handed_over: AttemptIdTable,
    forbidden: AttemptIdTable,
}

impl HandOverRecord {
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

    /// Decides whether an attempt may be handed over, and records the hand-over if so.
    pub fn begin(
        &mut self,
        now: TickTime,
        id: AttemptId,
        is_at_most_once: bool,
    ) -> HandOverDecision {
        let verdict = self.check(id, is_at_most_once);
        if verdict == HandOverDecision::Allowed {
            self.handed_over.insert(now, id);
        }
        verdict
    }

    /// Forbids the hand-over of an attempt. Returns false if it was already handed over.
    pub fn forbid(&mut self, now: TickTime, id: AttemptId) -> bool {
        if self.handed_over.contains(id) {
            return false;
        }
        self.forbidden.insert(now, id);
        true
    }

    /// Removes attempts whose retention time has passed.
    pub fn expire(&mut self, now: TickTime) {
        self.handed_over.expire(now);
        self.forbidden.expire(now);
    }
}
