//! Pre-votes, votes and the transition to leader.

use bytes::Bytes;

use super::leader::LeaderState;
use super::membership_history::{is_superseded, quorum_size};
use super::{PeerMessage, ReplicaCore, ReplicaRole};
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{Command, Noop, ReplicaInfo, VoteReply, VoteRequest};
use crate::storage::HardState;
use crate::types::TickTime;

impl ReplicaCore {
    /// Starts a pre-vote, which checks whether an election could succeed without changing the term.
    pub(super) fn start_pre_vote(&mut self, now: TickTime) -> Result<()> {
        self.role = ReplicaRole::PreCandidate;
        self.leader_id = None;
        self.begin_vote_count(now)?;
        if self.has_vote_quorum() {
            return self.start_election(now);
        }
        self.request_votes(self.term() + 1, true);
        Ok(())
    }

    fn start_election(&mut self, now: TickTime) -> Result<()> {
        let term = self.term() + 1;
        let vote = Some(self.own.replica_id);
        self.store.set_hard_state(HardState { term, vote })?;
        self.held_replies.clear();
        self.incoming = None;
        self.role = ReplicaRole::Candidate;
        self.begin_vote_count(now)?;
        if self.has_vote_quorum() {
            return self.become_leader(now);
        }
        self.request_votes(term, false);
        Ok(())
    }

    /// Starts a new count with the replica's own vote. The log is synced first, because the vote request
    /// states the last log position.
    fn begin_vote_count(&mut self, now: TickTime) -> Result<()> {
        self.sync_log()?;
        self.reset_election_deadline(now);
        self.granted_votes.clear();
        self.granted_votes.insert(self.own.replica_id);
        Ok(())
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool) {
        let last_index = self.store.last_index();
        let request = VoteRequest {
            term,
            candidate: Some(self.own.clone()),
            last_index,
            last_term: self.store.term_at(last_index).unwrap_or_default(),
            pre_vote,
            receiver_disk_id: Bytes::new(),
        };
        for voter in self.other_voters() {
            let request = VoteRequest {
                receiver_disk_id: voter.disk_id.clone(),
                ..request.clone()
            };
            self.send(voter, PeerMessage::Vote(request));
        }
    }

    fn other_voters(&self) -> Vec<ReplicaInfo> {
        let membership = self.members.current();
        membership
            .voters
            .iter()
            .filter(|voter| voter.disk_id != self.own.disk_id)
            .filter(|voter| !is_superseded(membership, voter))
            .cloned()
            .collect()
    }

    fn has_vote_quorum(&self) -> bool {
        let membership = self.members.current();
        let granted = membership
            .voters
            .iter()
            .filter(|voter| self.granted_votes.contains(&voter.replica_id))
            .count();
        granted >= quorum_size(membership)
    }

    /// Answers a request for a vote or pre-vote.
    ///
    /// The candidate's log must list this replica's disk as a voter, so a replica with an empty folder has
    /// no vote. This replica's log need not hold that membership entry yet: if the candidate is the only
    /// surviving replica that holds it, both are needed for a quorum. The candidate then holds all entries
    /// before the promotion, so none can be lost.
    ///
    /// If this replica heard from a leader within the shortest election timeout, it refuses the request
    /// without adopting the request's term. The leader's freshness lease depends on this.
    pub(super) fn on_vote(
        &mut self,
        now: TickTime,
        from: u64,
        request: &VoteRequest,
    ) -> Result<()> {
        let candidate = request.candidate.clone().unwrap_or_default();
        let is_refused = candidate.replica_id != from
            || request.receiver_disk_id != self.own.disk_id
            || self.has_recent_leader(now)
            || request.term < self.term();
        let granted = if is_refused {
            false
        } else if request.pre_vote {
            request.term > self.term() && self.is_up_to_date(request)
        } else {
            self.cast_vote(now, request, candidate.replica_id)?
        };
        let term = if granted { request.term } else { self.term() };
        let reply = VoteReply { term, granted };
        self.send(candidate, PeerMessage::VoteReply(reply, request.pre_vote));
        Ok(())
    }

    /// Grants a vote if this replica has not voted for another candidate and the candidate's log is up to date.
    ///
    /// Term and vote are synced before it returns.
    fn cast_vote(&mut self, now: TickTime, request: &VoteRequest, candidate: u64) -> Result<bool> {
        if request.term > self.term() {
            self.become_follower(now, request.term)?;
        }
        let state = self.store.hard_state();
        let can_vote_for = state.vote.is_none_or(|vote| vote == candidate);
        if !can_vote_for || !self.is_up_to_date(request) {
            return Ok(false);
        }
        self.sync_log()?;
        if state.vote.is_none() {
            let vote = Some(candidate);
            self.store.set_hard_state(HardState { vote, ..state })?;
        }
        self.reset_election_deadline(now);
        Ok(true)
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let last_index = self.store.last_index();
        let last_term = self.store.term_at(last_index).unwrap_or_default();
        (request.last_term, request.last_index) >= (last_term, last_index)
    }

    fn has_recent_leader(&self, now: TickTime) -> bool {
        let is_recent =
            |contact| now.saturating_since(contact) < self.settings.election_timeout_min;
        self.leader_state.is_some() || self.leader_contact.is_some_and(is_recent)
    }

    /// Counts a granted vote of the current election or pre-vote, and moves on once there is a quorum.
    pub(super) fn on_vote_reply(
        &mut self,
        now: TickTime,
        from: u64,
        reply: VoteReply,
        is_pre_vote: bool,
    ) -> Result<()> {
        if !reply.granted {
            if reply.term > self.term() {
                self.become_follower(now, reply.term)?;
            }
            return Ok(());
        }
        let (expected_role, expected_term) = if is_pre_vote {
            (ReplicaRole::PreCandidate, self.term() + 1)
        } else {
            (ReplicaRole::Candidate, self.term())
        };
        if self.role != expected_role || reply.term != expected_term {
            return Ok(());
        }
        self.granted_votes.insert(from);
        if !self.has_vote_quorum() {
            return Ok(());
        }
        if is_pre_vote {
            self.start_election(now)
        } else {
            self.become_leader(now)
        }
    }

    /// Becomes leader and appends an entry of the new term; committing it commits all earlier entries.
    fn become_leader(&mut self, now: TickTime) -> Result<()> {
        self.role = ReplicaRole::Leader;
        self.leader_id = Some(self.own.replica_id);
        self.granted_votes.clear();
        self.leader_state = Some(LeaderState::new(self.store.last_index() + 1, now));
        self.refresh_peers();
        self.append_command(Command {
            change: Some(Change::Noop(Noop {})),
        })?;
        self.send_heartbeats(now);
        Ok(())
    }
}
