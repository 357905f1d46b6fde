//! Suspects and counted ends at one moment.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::types::TickTime;

use super::snapshot::{SuspectRow, SuspectSnapshot};
use super::{EndedRequest, RequestDigest, TargetEnd};

/// Number of ends of targets, each in a run of the request that began after the end before it was listed, from which a request
/// is held back.
pub(super) const HELD_ROUNDS: u32 = 2;
/// Time for which a request is held back after the last end under it.
pub(super) const HOLD_TIME: Duration = Duration::from_mins(2);
/// Time for which a request stays suspect after a single end.
const SUSPECT_TIME: Duration = Duration::from_secs(30);
/// Maximum number of suspects. A target that ends adds one for each request at work there.
pub(super) const MAX_SUSPECTS: usize = 1_024;
/// Time for which an end is remembered. Nodes report an end for two minutes.
const END_TIME: Duration = Duration::from_secs(150);
/// Number of reported ends that are remembered, so that a repeated report is not counted twice.
const MAX_ENDS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Suspect {
    rounds: u32,
    is_held: bool,
    /// Runs that began earlier do not count as another round. Nodes did not know yet that the request was suspect, so they
    /// would not have reported that it was answered.
    counts_from: TickTime,
    until: TickTime,
}

/// Suspects, and the ends that made them.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectState {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Incarnations that have ended, and the times at which the leader recorded them.
    ends: VecDeque<(u64, TickTime)>,
}

impl SuspectState {
    /// Restores the state that a list describes.
    pub(super) fn restore(now: TickTime, snapshot: &SuspectSnapshot) -> Self {
        let rows = snapshot.rows.iter().take(MAX_SUSPECTS);
        let ends = snapshot.ends.iter().take(MAX_ENDS);
        let suspects = rows.map(|row| {
            let suspect = Suspect {
                rounds: row.rounds,
                is_held: row.hold.is_some(),
                counts_from: now,
                until: now + row.time_left.min(HOLD_TIME),
            };
            (row.digest, suspect)
        });
        Self {
            suspects: suspects.collect(),
            ends: ends.map(|incarnation| (*incarnation, now)).collect(),
        }
    }

    /// Records the end of a target. Returns false if it has been recorded before.
    pub(super) fn record(&mut self, now: TickTime, end: &TargetEnd) -> bool {
        let mut recorded = self.ends.iter().map(|(incarnation, _)| *incarnation);
        if recorded.any(|incarnation| incarnation == end.incarnation) {
            return false;
        }
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((end.incarnation, now));
        if end.age >= SUSPECT_TIME {
            return true;
        }
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
        let is_alone = blamed.len() == 1;
        for (digest, run_time) in blamed {
            self.blame(now, digest, ended_at - run_time, is_alone);
        }
        self.evict_least_suspected();
        true
    }

    /// Counts an end against a request. `is_alone` says that no other request explains the end as well.
    fn blame(
        &mut self,
        now: TickTime,
        digest: RequestDigest,
        handed_over_at: TickTime,
        is_alone: bool,
    ) {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            let suspect = Suspect {
                rounds: 1,
                is_held: false,
                counts_from: now,
                until: now + SUSPECT_TIME,
            };
            self.suspects.insert(digest, suspect);
            return;
        };
        if handed_over_at < suspect.counts_from {
            return;
        }
        suspect.rounds = suspect.rounds.saturating_add(1);
        suspect.counts_from = now;
        suspect.until = now + HOLD_TIME;
        if suspect.rounds >= HELD_ROUNDS && is_alone && !suspect.is_held {
            suspect.is_held = true;
            log::warn!(event = "request-held", digest:% = digest, rounds = suspect.rounds; "");
        }
    }

    fn evict_least_suspected(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.rounds, suspect.until));
            let Some((&digest, _)) = least else {
                return;
            };
            log::warn!(event = "suspect-evicted", digest:% = digest; "");
            self.suspects.remove(&digest);
        }
    }

    /// Removes a request that a target has answered. Returns whether it was suspect.
    pub(super) fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Removes suspects and ends whose time is over. Returns whether there were suspects among them.
    pub(super) fn expire(&mut self, now: TickTime) -> bool {
        self.ends
            .retain(|(_, recorded_at)| now.saturating_since(*recorded_at) < END_TIME);
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| suspect.until > now);
        self.suspects.len() != before
    }

    pub(super) fn rows(&self, now: TickTime) -> Vec<SuspectRow> {
        let suspects = self.suspects.iter();
        let rows = suspects.map(|(&digest, suspect)| {
            let time_left = suspect.until.saturating_since(now);
            SuspectRow {
                digest,
                hold: suspect.is_held.then_some(time_left),
                rounds: suspect.rounds,
                time_left,
            }
        });
        rows.collect()
    }

    pub(super) fn ends(&self) -> Vec<u64> {
        let ends = self.ends.iter();
        ends.map(|(incarnation, _)| *incarnation).collect()
    }
}
