//! Which attempts were handed to the own target, and which must never be.

use crate::types::{AttemptId, TickTime};

use super::CancelTable;

/// Whether an attempt may be handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandOverVerdict {
    /// It may.
    Allowed,
    /// Its sender was told that it has not run and never will.
    Forbidden,
    /// It may run only once and has been handed over before.
    Copy,
}

/// Record of hand-overs. A sender that lost an answer asks whether the attempt was handed over; the answer stays true
/// because the same record decides about copies that arrive later, and about attempts that have passed earlier checks.
#[derive(Debug, Default)]
pub struct HandOverRecord {
    handed_over: CancelTable,
    forbidden: CancelTable,
}

impl HandOverRecord {
    /// Returns whether an attempt may be handed over as things stand.
    pub fn check(&self, id: AttemptId, is_at_most_once: bool) -> HandOverVerdict {
        if self.forbidden.is_cancelled(id) {
            HandOverVerdict::Forbidden
        } else if is_at_most_once && self.handed_over.is_cancelled(id) {
            HandOverVerdict::Copy
        } else {
            HandOverVerdict::Allowed
        }
    }

    /// Decides at the moment of the hand-over and records it.
    pub fn begin(
        &mut self,
        now: TickTime,
        id: AttemptId,
        is_at_most_once: bool,
    ) -> HandOverVerdict {
        let verdict = self.check(id, is_at_most_once);
        if verdict == HandOverVerdict::Allowed {
            self.handed_over.cancel(now, id);
        }
        verdict
    }

    /// Forbids an attempt; returns false if it was handed over already.
    pub fn forbid(&mut self, now: TickTime, id: AttemptId) -> bool {
        if self.handed_over.is_cancelled(id) {
            return false;
        }
        self.forbidden.cancel(now, id);
        true
    }

    /// Forgets old attempts.
    pub fn expire(&mut self, now: TickTime) {
        self.handed_over.expire(now);
        self.forbidden.expire(now);
    }
}
