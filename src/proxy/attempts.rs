//! Table of attempts in flight at this node and of recently ended attempts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::node::{NodeState, lock};
use crate::retry::AttemptAllowance;
use crate::types::{AttemptContext, AttemptId, AttemptOutcome, TickTime};

/// Time for which an ended attempt is remembered.
const ENDED_RETENTION: Duration = Duration::from_mins(1);
/// Age below which a missing entry proves that the attempt never arrived. It is shorter than `ENDED_RETENTION`, so that an
/// ended attempt of that age is still remembered.
const MAX_PROOF_AGE: Duration = Duration::from_secs(50);

/// Number of attempts that the calls of one attempt may spend together.
pub(crate) type SharedAllowance = Arc<Mutex<AttemptAllowance>>;

/// What a cancellation proves about the execution of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The attempt was not handed over to the target and never will be.
    NotRun,
    /// The attempt was handed over to the target, or nothing is known about it.
    Unknown,
}

/// Attempts in flight, with the values that their child calls inherit, and the outcomes of recently ended attempts.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    entries: BTreeMap<AttemptId, AttemptEntry>,
    ended: BTreeMap<AttemptId, AttemptOutcome>,
    ended_order: VecDeque<(TickTime, AttemptId)>,
}

#[derive(Debug)]
struct AttemptEntry {
    parent: ParentCall,
    is_handed_over: bool,
    // Whether cancellations no longer stop the attempt. At-most-once work runs to completion once it is handed over, so
    // that its outcome becomes known.
    runs_to_completion: bool,
    is_cancelled: bool,
}

/// Values that child calls inherit from the attempt that makes them.
#[derive(Debug, Clone)]
pub(crate) struct ParentCall {
    /// Context of the attempt.
    pub(crate) context: Arc<AttemptContext>,
    /// Allowance left for child calls.
    pub(crate) allowance: SharedAllowance,
    /// Cancelled when the attempt is cancelled or ends.
    pub(crate) token: CancellationToken,
}

impl AttemptTable {
    /// Returns the values for child calls of an attempt that is in flight and was handed over to the target.
    pub(crate) fn parent(&self, id: AttemptId) -> Option<ParentCall> {
        let entry = self.entries.get(&id)?;
        entry.is_handed_over.then(|| entry.parent.clone())
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Cancels an attempt that was sent `age` ago and returns what is proven about its execution.
    pub(crate) fn cancel(&mut self, id: AttemptId, age: Duration) -> CancelOutcome {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_cancelled = true;
            if !(entry.is_handed_over && entry.runs_to_completion) {
                entry.parent.token.cancel();
            }
            return if entry.is_handed_over {
                CancelOutcome::Unknown
            } else {
                CancelOutcome::NotRun
            };
        }
        match self.ended.get(&id) {
            Some(AttemptOutcome::NotRun) => CancelOutcome::NotRun,
            // An attempt younger than `MAX_PROOF_AGE` that is neither in flight nor remembered never arrived.
            None if age < MAX_PROOF_AGE => CancelOutcome::NotRun,
            _ => CancelOutcome::Unknown,
        }
    }

    /// Removes ended attempts that are older than `ENDED_RETENTION`.
    pub(crate) fn expire(&mut self, now: TickTime) {
        while let Some((ended_at, id)) = self.ended_order.front().copied() {
            if now.saturating_since(ended_at) < ENDED_RETENTION {
                break;
            }
            self.ended_order.pop_front();
            self.ended.remove(&id);
        }
    }

    fn is_known(&self, id: AttemptId) -> bool {
        self.entries.contains_key(&id) || self.ended.contains_key(&id)
    }

    fn end(&mut self, now: TickTime, id: AttemptId, outcome: AttemptOutcome) {
        self.entries.remove(&id);
        self.ended.insert(id, outcome);
        self.ended_order.push_back((now, id));
    }
}

/// Keeps an attempt in the table; the drop moves it to the ended attempts and cancels its token.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Arc<NodeState>,
    parent: ParentCall,
    outcome: AttemptOutcome,
}

impl AttemptGuard {
    /// Adds an attempt to the table; `None` if an attempt with the same id is in flight or remembered.
    pub(crate) fn enter(state: &Arc<NodeState>, context: Arc<AttemptContext>) -> Option<Self> {
        let id = context.attempt_id;
        let allowance = AttemptAllowance::new(context.allowance);
        let parent = ParentCall {
            context,
            allowance: Arc::new(Mutex::new(allowance)),
            token: CancellationToken::new(),
        };
        let mut table = lock(&state.attempts);
        if table.is_known(id) {
            return None;
        }
        let entry = AttemptEntry {
            parent: parent.clone(),
            is_handed_over: false,
            runs_to_completion: false,
            is_cancelled: false,
        };
        table.entries.insert(id, entry);
        Some(Self {
            state: Arc::clone(state),
            parent,
            outcome: AttemptOutcome::NotRun,
        })
    }

    /// Returns a token that is cancelled when the attempt is cancelled or ends.
    pub(crate) fn token(&self) -> CancellationToken {
        self.parent.token.clone()
    }

    /// Marks the attempt as handed over to the target. Returns false if the attempt was cancelled before and must not be
    /// handed over.
    pub(crate) fn begin_hand_over(&mut self, runs_to_completion: bool) -> bool {
        let id = self.parent.context.attempt_id;
        let mut table = lock(&self.state.attempts);
        let Some(entry) = table.entries.get_mut(&id) else {
            return false;
        };
        if entry.is_cancelled || self.parent.token.is_cancelled() {
            return false;
        }
        entry.is_handed_over = true;
        entry.runs_to_completion = runs_to_completion;
        self.outcome = AttemptOutcome::Unknown;
        true
    }

    /// Sets the outcome that is remembered when the attempt ends.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// Returns the unspent allowance and sets the allowance to zero.
    pub(crate) fn take_unspent(&self) -> u8 {
        let mut allowance = lock(&self.parent.allowance);
        let unspent = allowance.remaining();
        // A child call that is made while the answer is being sent must not spend what was reported as unspent.
        *allowance = AttemptAllowance::new(0);
        unspent
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let id = self.parent.context.attempt_id;
        lock(&self.state.attempts).end(now, id, self.outcome);
        self.parent.token.cancel();
    }
}
