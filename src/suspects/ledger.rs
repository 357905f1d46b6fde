//! The leader's record of the requests that were at work when targets ended.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::TickTime;

use super::RequestDigest;

/// Number of ends of targets, each in a run of the request that began after the end before it, from which a request is held
/// back.
const HELD_ROUNDS: u32 = 2;
/// Time for which a request is held back after the last end under it.
const HOLD_TIME: Duration = Duration::from_mins(2);
/// Time for which a request stays suspect after a single end.
const SUSPECT_TIME: Duration = Duration::from_secs(30);
/// Difference that the ways of two reports to the leader may make between their times.
const REPORT_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of suspects. A target that ends adds one for each request at work there.
const MAX_SUSPECTS: usize = 1_024;
/// Number of reported ends that are remembered, so that a repeated report is not counted twice.
const MAX_ENDS: usize = 1_024;

/// Request that was at work at a target when the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRequest {
    /// Identity of the request.
    pub digest: RequestDigest,
    /// Time from the hand-over of the request to the end of the target.
    pub run_time: Duration,
}

/// End of one incarnation of a target that did not announce to leave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// Identifies the incarnation.
    pub incarnation: u64,
    /// Time since the end.
    pub age: Duration,
    /// Requests that were at work there.
    pub requests: Vec<EndedRequest>,
}

/// Suspect as it is told to nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRow {
    /// Identity of the request.
    pub digest: RequestDigest,
    /// Time for which it is still held back; `None` if it may be sent.
    pub hold: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    rounds: u32,
    /// End of a target that was counted last.
    ended_at: TickTime,
}

impl Suspect {
    fn is_held(&self) -> bool {
        self.rounds >= HELD_ROUNDS
    }

    fn until(&self) -> TickTime {
        let span = if self.is_held() {
            HOLD_TIME
        } else {
            SUSPECT_TIME
        };
        self.ended_at + span
    }
}

/// Requests under which targets have ended.
///
/// All requests at work at a target that ends become suspects. Those that do not end the next one are cleared by their
/// answer. When a target ends under requests of which some are suspects already, these explain its end and the others are
/// not counted. Only a run that began after the end before it counts as another round: targets that end together, for a
/// cause of their own, are one round for a request that was at work at all of them.
#[derive(Debug, Default)]
pub struct SuspectLedger {
    suspects: BTreeMap<RequestDigest, Suspect>,
    ends: VecDeque<u64>,
    revision: u64,
}

impl SuspectLedger {
    /// Returns the number of the last change of the suspects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the end of a target. A repeated report has no effect.
    pub fn record(&mut self, now: TickTime, end: &TargetEnd) {
        if self.ends.contains(&end.incarnation) {
            return;
        }
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(end.incarnation);
        let ended_at = now - end.age;
        let rounds_of = |request: &EndedRequest| {
            let known = self.suspects.get(&request.digest);
            known.map_or(0, |suspect| suspect.rounds)
        };
        let most_rounds = end.requests.iter().map(rounds_of).max().unwrap_or(0);
        // The same request may have been at work there several times, which is one round: that of its latest run.
        let mut blamed: BTreeMap<RequestDigest, Duration> = BTreeMap::new();
        for request in &end.requests {
            if rounds_of(request) == most_rounds {
                let shortest = blamed.entry(request.digest).or_insert(request.run_time);
                *shortest = request.run_time.min(*shortest);
            }
        }
        for (digest, run_time) in blamed {
            self.blame(ended_at, EndedRequest { digest, run_time });
        }
        self.evict_least_suspected();
        self.revision += 1;
    }

    fn blame(&mut self, ended_at: TickTime, request: EndedRequest) {
        let Some(suspect) = self.suspects.get_mut(&request.digest) else {
            let suspect = Suspect {
                rounds: 1,
                ended_at,
            };
            self.suspects.insert(request.digest, suspect);
            return;
        };
        let handed_over_at = ended_at - request.run_time;
        if handed_over_at + REPORT_DELAY < suspect.ended_at {
            return;
        }
        suspect.rounds += 1;
        suspect.ended_at = suspect.ended_at.max(ended_at);
        if suspect.rounds == HELD_ROUNDS {
            log::warn!(event = "request-held", digest:% = request.digest; "");
        }
    }

    fn evict_least_suspected(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.rounds, suspect.ended_at));
            let Some((&digest, _)) = least else {
                return;
            };
            log::warn!(event = "suspect-evicted", digest:% = digest; "");
            self.suspects.remove(&digest);
        }
    }

    /// Removes a request that a target has answered.
    pub fn clear(&mut self, digest: RequestDigest) {
        if self.suspects.remove(&digest).is_some() {
            log::info!(event = "suspect-cleared", digest:% = digest; "");
            self.revision += 1;
        }
    }

    /// Removes suspects whose time is over.
    pub fn expire(&mut self, now: TickTime) {
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| suspect.until() > now);
        if self.suspects.len() != before {
            self.revision += 1;
        }
    }

    /// Returns all suspects.
    pub fn rows(&self, now: TickTime) -> Vec<SuspectRow> {
        let suspects = self.suspects.iter();
        let rows = suspects.map(|(&digest, suspect)| SuspectRow {
            digest,
            hold: suspect
                .is_held()
                .then(|| suspect.until().saturating_since(now)),
        });
        rows.collect()
    }
}
