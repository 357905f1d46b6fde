//! Proposals and committed entries.

use prost::Message;

use super::leader::PendingProposal;
use super::membership_history::quorum_size;
use super::{ReplicaAction, ReplicaCore};
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{Command, LogEntry};

impl ReplicaCore {
    /// Appends a proposal to the leader's log.
    ///
    /// The proposal is rejected if this replica is not the leader, if too many proposals are pending, or if the
    /// command is empty or a membership change.
    pub(super) fn propose(&mut self, token: u64, command: Command) -> Result<()> {
        let encoded_bytes = command.encoded_len();
        let has_room = self.leader_state.as_ref().is_some_and(|leader_state| {
            let total_bytes = leader_state.proposal_bytes + encoded_bytes;
            let fits = total_bytes <= self.settings.max_pending_bytes;
            leader_state.proposals.is_empty()
                || (leader_state.proposals.len() < self.settings.max_pending_proposals && fits)
        });
        let is_membership = matches!(command.change, Some(Change::Membership(_)));
        if !has_room || is_membership || command.change.is_none() {
            self.push_action(ReplicaAction::RejectProposal { token });
            return Ok(());
        }
        let index = self.append_command(command)?;
        if let Some(leader_state) = &mut self.leader_state {
            let proposal = PendingProposal {
                token,
                encoded_bytes,
            };
            leader_state.proposals.insert(index, proposal);
            leader_state.proposal_bytes += encoded_bytes;
        }
        Ok(())
    }

    /// Appends an entry of the current term; it is sent with the next flush.
    pub(super) fn append_command(&mut self, command: Command) -> Result<u64> {
        let entry = LogEntry {
            index: self.store.last_index() + 1,
            term: self.term(),
            command: Some(command),
        };
        let index = entry.index;
        self.store.append(std::slice::from_ref(&entry))?;
        if self.members.record_entry(&entry) {
            self.refresh_peers();
        }
        Ok(index)
    }

    /// Advances the commit index to the highest entry that a quorum of voters holds on disk, if that entry is of
    /// the current term.
    pub(super) fn advance_commit(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let membership = self.members.current();
        let mut held: Vec<u64> = membership
            .voters
            .iter()
            .map(|voter| {
                if voter.disk_id == self.own.disk_id {
                    self.synced_index
                } else {
                    leader_state.match_index(&voter.disk_id)
                }
            })
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = held.get(quorum_size(membership) - 1) else {
            return;
        };
        let is_own_term = self.store.term_at(index) == Some(self.term());
        if index > self.commit_index && is_own_term {
            self.commit_index = index;
        }
    }

    /// Emits committed entries that are on this replica's disk, up to `max_commit_bytes`, and requests a snapshot when
    /// one is due.
    pub(super) fn emit_commits(&mut self) {
        let last = self.commit_index.min(self.synced_index);
        let mut emitted_bytes = 0;
        while self.applied_index < last && emitted_bytes < self.settings.max_commit_bytes {
            let Some(entry) = self.store.entry(self.applied_index + 1) else {
                return;
            };
            self.applied_index = entry.index;
            emitted_bytes += entry.encoded_len();
            let token = self.take_proposal(entry.index);
            self.push_action(ReplicaAction::Commit {
                index: entry.index,
                term: entry.term,
                command: entry.command.unwrap_or_default(),
                token,
            });
        }
        self.applied_bytes += emitted_bytes;
        let due_index = self.requested_snapshot_index + self.settings.snapshot_entries;
        let is_due = self.applied_index >= due_index
            || self.applied_bytes >= self.settings.snapshot_log_bytes;
        if is_due {
            self.requested_snapshot_index = self.applied_index;
            self.applied_bytes = 0;
            self.push_action(ReplicaAction::CreateSnapshot {
                up_to: self.applied_index,
            });
        }
    }

    /// Removes the pending proposal of an entry and returns its token.
    fn take_proposal(&mut self, index: u64) -> Option<u64> {
        let leader_state = self.leader_state.as_mut()?;
        let proposal = leader_state.proposals.remove(&index)?;
        leader_state.proposal_bytes -= proposal.encoded_bytes;
        Some(proposal.token)
    }
}
