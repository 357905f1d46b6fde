//! Detection of requests that a client sends again with the same request id.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::{CallerName, RequestId, TickTime};

/// Time after the end of a request for which the same id counts as a resend.
const RETENTION: Duration = Duration::from_mins(1);

/// What the entry node knows about a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendDecision {
    /// The id is new.
    First,
    /// The id was seen before; the request gets only the attempts that remain of its first allowance.
    Resend {
        /// Attempts that remain.
        remaining: u8,
    },
    /// The request with this id has not ended yet.
    InFlight,
}

#[derive(Debug, Clone, Copy)]
struct ResendEntry {
    remaining: u8,
    finished: Option<TickTime>,
}

type EntryKey = (CallerName, RequestId);

/// Requests seen recently at this entry node, by caller and request id.
#[derive(Debug, Default)]
pub struct ResendTable {
    entries: BTreeMap<EntryKey, ResendEntry>,
    order: VecDeque<(TickTime, EntryKey)>,
}

impl ResendTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a request. Unless it is already in flight, the caller must call [`Self::finish`] later.
    pub fn begin(
        &mut self,
        now: TickTime,
        caller: &CallerName,
        id: RequestId,
        attempts: u8,
    ) -> ResendDecision {
        self.expire(now);
        let key = (caller.clone(), id);
        let Some(entry) = self.entries.get_mut(&key) else {
            let entry = ResendEntry {
                remaining: attempts,
                finished: None,
            };
            self.entries.insert(key, entry);
            return ResendDecision::First;
        };
        if entry.finished.is_none() {
            return ResendDecision::InFlight;
        }
        entry.finished = None;
        entry.remaining = entry.remaining.min(attempts);
        ResendDecision::Resend {
            remaining: entry.remaining,
        }
    }

    /// Ends a request and stores the number of attempts that it did not spend.
    pub fn finish(&mut self, now: TickTime, caller: &CallerName, id: RequestId, remaining: u8) {
        let key = (caller.clone(), id);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.finished.is_some() {
            return;
        }
        entry.remaining = entry.remaining.min(remaining);
        entry.finished = Some(now);
        self.order.push_back((now, key));
    }

    /// Removes requests whose retention time has passed.
    pub fn expire(&mut self, now: TickTime) {
        while let Some((finished, _)) = self.order.front()
            && now - *finished >= RETENTION
        {
            let Some((finished, key)) = self.order.pop_front() else {
                return;
            };
            // A resend may have begun or ended since. The entry is then removed when its latest end expires.
            let is_last = self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.finished == Some(finished));
            if is_last {
                self.entries.remove(&key);
            }
        }
    }
}
