//! Results of recent changes to the plans. A resent change gets the result of its first application.

use std::collections::{BTreeMap, VecDeque};

use crate::generated::AppliedChange;

/// Number of changes whose results are kept. A change that is resent later has an outdated base version and is refused.
const MAX_CHANGES: usize = 1_024;

/// Result of one change to the plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanResult {
    /// Whether the change was accepted; its plans took effect as `version`.
    pub accepted: bool,
    /// Version of the plans after the change.
    pub version: u64,
}

/// Recent results by change id, with the ids from oldest to newest.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    order: VecDeque<String>,
    results: BTreeMap<String, PlanResult>,
}

impl ChangeHistory {
    pub(super) fn result_of(&self, change_id: &str) -> Option<PlanResult> {
        self.results.get(change_id).copied()
    }

    pub(super) fn record(&mut self, change_id: &str, result: PlanResult) {
        if self.results.insert(change_id.to_owned(), result).is_none() {
            self.order.push_back(change_id.to_owned());
        }
        if self.order.len() > MAX_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    pub(super) fn rows(&self) -> Vec<AppliedChange> {
        let mut rows = Vec::with_capacity(self.order.len());
        for change_id in &self.order {
            let Some(result) = self.results.get(change_id) else {
                continue;
            };
            rows.push(AppliedChange {
                change_id: change_id.clone(),
                accepted: result.accepted,
                version: result.version,
            });
        }
        rows
    }

    pub(super) fn from_rows(rows: Vec<AppliedChange>) -> Self {
        let mut history = Self::default();
        for row in rows {
            let result = PlanResult {
                accepted: row.accepted,
                version: row.version,
            };
            history.record(&row.change_id, result);
        }
        history
    }
}
