//! Handling of appends on followers and learners.

use super::{PeerMessage, ReplicaCore};
use crate::error::{MeshError, Result};
use crate::generated::{AppendReply, AppendRequest, LogEntry, ReplicaInfo};
use crate::types::TickTime;

/// Reply that is held until the entries it confirms are on disk.
#[derive(Debug)]
pub(super) struct HeldReply {
    to: ReplicaInfo,
    reply: AppendReply,
}

impl ReplicaCore {
    /// Handles an append of a leader, with entries or as a heartbeat.
    pub(super) fn on_append(&mut self, now: TickTime, request: &AppendRequest) -> Result<()> {
        let to = self.replica_info(request.leader_id);
        let mut reply = AppendReply {
            term: self.term(),
            accepted: false,
            last_index: 0,
            disk_id: self.own.disk_id.clone(),
            sequence: request.sequence,
        };
        if request.term < self.term() {
            self.send(to, PeerMessage::AppendReply(reply));
            return Ok(());
        }
        self.follow_leader(now, request.term, request.leader_id)?;
        reply.term = request.term;
        if let Some(hint) = self.conflict_hint(request) {
            reply.last_index = hint;
            self.send(to, PeerMessage::AppendReply(reply));
            return Ok(());
        }
        let matched = request.previous_index + request.entries.len() as u64;
        self.accept_entries(request)?;
        self.commit_index = self.commit_index.max(request.commit_index.min(matched));
        reply.accepted = true;
        reply.last_index = matched;
        if matched <= self.synced_index {
            self.send(to, PeerMessage::AppendReply(reply));
        } else {
            self.held_replies.push(HeldReply { to, reply });
        }
        Ok(())
    }

    /// Follows the sender of an append or snapshot of the current or a later term.
    pub(super) fn follow_leader(&mut self, now: TickTime, term: u64, leader_id: u64) -> Result<()> {
        if term == self.term() && self.leader_state.is_some() {
            let detail = format!("replica {leader_id} also leads term {term}");
            return Err(MeshError::invalid("append", detail));
        }
        self.become_follower(now, term)?;
        self.leader_id = Some(leader_id);
        self.leader_contact = Some(now);
        self.has_heard_leader = true;
        self.reset_election_deadline(now);
        Ok(())
    }

    /// Returns the index from which the leader should retry, or `None` if the log holds the previous entry.
    ///
    /// Committed positions always match, even if their entries are no longer held.
    fn conflict_hint(&self, request: &AppendRequest) -> Option<u64> {
        let previous_index = request.previous_index;
        let held_term = self.store.term_at(previous_index);
        if previous_index <= self.commit_index || held_term == Some(request.previous_term) {
            return None;
        }
        let Some(conflicting_term) = held_term else {
            return Some(self.store.last_index());
        };
        let mut hint = previous_index - 1;
        while hint > self.commit_index && self.store.term_at(hint) == Some(conflicting_term) {
            hint -= 1;
        }
        Some(hint)
    }

    /// Appends the entries that the log does not hold yet, replacing conflicting uncommitted ones.
    fn accept_entries(&mut self, request: &AppendRequest) -> Result<()> {
        let known = request
            .entries
            .iter()
            .take_while(|entry| self.holds(entry))
            .count();
        let new_entries = &request.entries[known..];
        let Some(first) = new_entries.first() else {
            return Ok(());
        };
        if first.index <= self.commit_index {
            let detail = format!("entry {} would replace a committed entry", first.index);
            return Err(MeshError::invalid("append", detail));
        }
        self.members.truncate(first.index);
        self.synced_index = self.synced_index.min(first.index - 1);
        self.store.append(new_entries)?;
        for entry in new_entries {
            self.members.record_entry(entry);
        }
        self.refresh_role();
        Ok(())
    }

    fn holds(&self, entry: &LogEntry) -> bool {
        match self.store.term_at(entry.index) {
            Some(term) => term == entry.term,
            None => entry.index <= self.commit_index,
        }
    }

    pub(super) fn release_held_replies(&mut self) {
        for held in std::mem::take(&mut self.held_replies) {
            self.send(held.to, PeerMessage::AppendReply(held.reply));
        }
    }
}
