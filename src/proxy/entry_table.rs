//! Table of the requests that an entry node accepted.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::node::{NodeState, lock};
use crate::retry::{AttemptAllowance, ResendDecision, ResendTable};
use crate::types::{AttemptOutcome, CallerName, RequestId, TickTime};

use super::attempts::SharedAllowance;

const UNCERTAIN_RETENTION: Duration = Duration::from_mins(1);

/// Detects resent requests and records which requests may have run.
#[derive(Debug, Default)]
pub(crate) struct EntryTable {
    resends: ResendTable,
    uncertain: BTreeSet<RequestId>,
    uncertain_order: VecDeque<(TickTime, RequestId)>,
}

impl EntryTable {
    /// Returns whether an earlier send of the request may have run.
    pub(crate) fn may_have_run(&self, id: RequestId) -> bool {
        self.uncertain.contains(&id)
    }

    /// Removes expired entries.
    pub(crate) fn expire(&mut self, now: TickTime) {
        self.resends.expire(now);
        while let Some((noted_at, id)) = self.uncertain_order.front().copied() {
            if now.saturating_since(noted_at) < UNCERTAIN_RETENTION {
                break;
            }
            self.uncertain_order.pop_front();
            self.uncertain.remove(&id);
        }
    }

    fn note_uncertain(&mut self, now: TickTime, id: RequestId) {
        if self.uncertain.insert(id) {
            self.uncertain_order.push_back((now, id));
        }
    }
}

/// Request in flight at its entry node; the drop stores its unspent allowance for a resend.
#[derive(Debug)]
pub(crate) struct EntryRequest {
    state: Arc<NodeState>,
    caller: CallerName,
    id: RequestId,
    allowance: SharedAllowance,
    outcome: AttemptOutcome,
}

impl EntryRequest {
    /// Registers a request with the attempts that it may spend; `None` if the same request is in flight.
    pub(crate) fn begin(
        state: &Arc<NodeState>,
        caller: &CallerName,
        id: RequestId,
        attempts: u8,
        allowance: &SharedAllowance,
    ) -> Option<Self> {
        let now = state.now();
        let decision = lock(&state.entries)
            .resends
            .begin(now, caller, id, attempts);
        let remaining = match decision {
            ResendDecision::First => attempts,
            ResendDecision::Resend { remaining } => remaining,
            ResendDecision::InFlight => return None,
        };
        *lock(allowance) = AttemptAllowance::new(remaining);
        Some(Self {
            state: Arc::clone(state),
            caller: caller.clone(),
            id,
            allowance: Arc::clone(allowance),
            outcome: AttemptOutcome::Unknown,
        })
    }

    /// Sets the outcome that is recorded when the request ends.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for EntryRequest {
    fn drop(&mut self) {
        let now = self.state.now();
        let remaining = lock(&self.allowance).remaining();
        let mut entries = lock(&self.state.entries);
        entries
            .resends
            .finish(now, &self.caller, self.id, remaining);
        if self.outcome != AttemptOutcome::NotRun {
            entries.note_uncertain(now, self.id);
        }
    }
}
