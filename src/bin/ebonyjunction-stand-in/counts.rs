//! Counts the executions of requests in the stand-in.

use std::collections::BTreeMap;

use serde::Serialize;

// Limits the memory in a long benchmark, where each request has a new id. Beyond this number of ids, only the totals
// are counted.
const MAX_COUNTED_NAMES: usize = 200_000;

/// Execution counts: totals, and one count per idempotency key and per request id.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ExecutionCounts {
    started: u64,
    finished: u64,
    cancelled: u64,
    in_flight: u64,
    peak: u64,
    keys: BTreeMap<String, u64>,
    requests: BTreeMap<String, u64>,
}

impl ExecutionCounts {
    /// Counts the start of an execution.
    pub(crate) fn start(&mut self, key: Option<&str>, request: Option<&str>) {
        self.started += 1;
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        increment(&mut self.keys, key);
        increment(&mut self.requests, request);
    }

    /// Counts the end of an execution, finished or cancelled.
    pub(crate) fn end(&mut self, is_finished: bool) {
        self.in_flight -= 1;
        if is_finished {
            self.finished += 1;
        } else {
            self.cancelled += 1;
        }
    }

    /// Returns the number of executions that have started and not ended.
    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight
    }
}

fn increment(counts: &mut BTreeMap<String, u64>, name: Option<&str>) {
    let Some(name) = name else {
        return;
    };
    if let Some(count) = counts.get_mut(name) {
        *count += 1;
    } else if counts.len() < MAX_COUNTED_NAMES {
        counts.insert(name.to_owned(), 1);
    }
}
