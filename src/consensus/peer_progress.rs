//! Replication progress of one other replica, as tracked by the leader.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::generated::ReplicaInfo;
use crate::storage::SnapshotMeta;
use crate::types::TickTime;

/// Number of unanswered appends whose send times are kept. A reply to an older append does not confirm the leader.
const MAX_TRACKED_APPENDS: usize = 256;

/// Largest window of unanswered appends, as a multiple of `max_in_flight_appends`.
const MAX_WINDOW_FACTOR: usize = 8;

/// Replication state of one other replica.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) info: ReplicaInfo,
    /// Highest index known to be on its disk and equal to the leader's log.
    pub(super) match_index: u64,
    /// Next index to send.
    pub(super) next_index: u64,
    /// The matching position is not known yet, so only empty appends are sent.
    pub(super) is_probing: bool,
    /// Rejections of appends with a sequence number up to this one are ignored as outdated.
    pub(super) reset_sequence: u64,
    /// Send time of the first append.
    first_sent_at: Option<TickTime>,
    /// Send time of the latest append that was answered.
    pub(super) confirmed_at: Option<TickTime>,
    pub(super) transfer: Option<OutgoingSnapshot>,
    /// Whether the replica holds on disk every entry that was committed when the latest answered append was sent.
    pub(super) is_caught_up: bool,
    /// Number of unanswered appends allowed beyond `max_in_flight_appends`, because the replica answers and is far
    /// behind.
    extra_window: usize,
    unanswered_appends: VecDeque<SentAppend>,
}

/// An append that was not answered yet.
#[derive(Debug)]
struct SentAppend {
    sequence: u64,
    sent_at: TickTime,
    commit_index: u64,
}

/// Snapshot that is being sent to a replica.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) meta: SnapshotMeta,
    pub(super) data: Bytes,
    pub(super) offset: usize,
    pub(super) sent_at: TickTime,
    pub(super) sequence: u64,
}

impl PeerProgress {
    pub(super) fn new(info: ReplicaInfo, next_index: u64) -> Self {
        Self {
            info,
            match_index: 0,
            next_index,
            is_probing: true,
            reset_sequence: 0,
            first_sent_at: None,
            confirmed_at: None,
            transfer: None,
            is_caught_up: false,
            extra_window: 0,
            unanswered_appends: VecDeque::new(),
        }
    }

    pub(super) fn record_send(&mut self, sequence: u64, sent_at: TickTime, commit_index: u64) {
        self.first_sent_at.get_or_insert(sent_at);
        if self.unanswered_appends.len() == MAX_TRACKED_APPENDS {
            self.unanswered_appends.pop_front();
        }
        self.unanswered_appends.push_back(SentAppend {
            sequence,
            sent_at,
            commit_index,
        });
    }

    /// Returns the time since when the replica has not answered, or `None` if nothing was sent to it.
    pub(super) fn silent_since(&self) -> Option<TickTime> {
        self.confirmed_at.or(self.first_sent_at)
    }

    /// Records the reply to an append. The caller raises the matching position first.
    ///
    /// The leader is confirmed as of the time it sent the append, not as of the answer.
    pub(super) fn record_reply(&mut self, sequence: u64) {
        let answered = self
            .unanswered_appends
            .iter()
            .find(|sent| sent.sequence == sequence);
        if let Some(sent) = answered {
            self.confirmed_at = self.confirmed_at.max(Some(sent.sent_at));
            self.is_caught_up = self.match_index >= sent.commit_index;
        }
        let is_older = |sent: &SentAppend| sent.sequence <= sequence;
        while self.unanswered_appends.front().is_some_and(is_older) {
            self.unanswered_appends.pop_front();
        }
    }

    /// Returns whether another append may be sent.
    ///
    /// With a long round trip, a small window would make a backlog last for minutes, so the window grows with
    /// each reply while entries are left to send.
    pub(super) fn has_send_capacity(&self, max_in_flight: usize) -> bool {
        let window = (max_in_flight + self.extra_window).min(MAX_TRACKED_APPENDS);
        self.unanswered_appends.len() < window
    }

    /// Widens the window after an answer, if entries are left to send.
    pub(super) fn widen_window(&mut self, last_index: u64, max_in_flight: usize) {
        if self.next_index <= last_index {
            let bound = max_in_flight * (MAX_WINDOW_FACTOR - 1);
            self.extra_window = (self.extra_window + 1).min(bound);
        } else {
            self.extra_window = 0;
        }
    }

    /// Raises the matching position.
    pub(super) fn advance_match_index(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Moves the next index back after a rejection and probes for the matching position.
    pub(super) fn rewind_next_index(&mut self, hint: u64, latest_sequence: u64) {
        let earliest = self.match_index + 1;
        self.next_index = (hint + 1).min(self.next_index).max(earliest);
        self.is_probing = true;
        self.extra_window = 0;
        self.reset_sequence = latest_sequence;
    }
}
