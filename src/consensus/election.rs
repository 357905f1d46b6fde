//! Pre-votes, votes and the transition to leader.
//!
//! A replica that has just started may have confirmed a leader right before it stopped, and the leader's lease may still
//! rest on that confirmation. Its vote therefore counts only after the shortest election timeout, or once every other
//! member has stated that it knows no leader. The latter saves the wait when all replicas start together.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::leader::LeaderState;
use super::membership_history::{is_superseded, quorum_size};
use super::{PeerMessage, ReplicaCore, ReplicaRole};
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{Command, Noop, ReplicaInfo, VoteReply, VoteRequest};
use crate::storage::HardState;
use crate::types::TickTime;

/// Replies to the vote requests of one pre-vote or election.
#[derive(Debug, Default)]
pub(super) struct VoteCount {
    /// Identifies the count in requests and replies, so that no reply to an earlier request is counted as a statement.
    round: u64,
    granted: BTreeSet<u64>,
    /// Pre-votes that count only if no member knows a leader.
    conditional: BTreeSet<u64>,
    /// Members that stated that they know no leader.
    leader_absent: BTreeSet<u64>,
}

impl ReplicaCore {
    /// Starts a pre-vote, which checks whether an election could succeed without changing the term.
    pub(super) fn start_pre_vote(&mut self, now: TickTime) -> Result<()> {
        self.role = ReplicaRole::PreCandidate;
        self.leader_id = None;
        self.begin_vote_count(now)?;
        if self.awaits_earlier_leader(now) {
            self.set_start_deadline(now);
        }
        if self.is_pre_vote_won(now) {
            return self.start_election(now);
        }
        self.request_votes(self.term() + 1, true, false);
        Ok(())
    }

    fn start_election(&mut self, now: TickTime) -> Result<()> {
        let term = self.term() + 1;
        let leader_absent = self.is_leader_absent_everywhere();
        let vote = Some(self.own.replica_id);
        self.store.set_hard_state(HardState { term, vote })?;
        self.held_replies.clear();
        self.incoming = None;
        self.role = ReplicaRole::Candidate;
        self.begin_vote_count(now)?;
        if self.is_quorum(&self.votes.granted) {
            return self.become_leader(now);
        }
        self.request_votes(term, false, leader_absent);
        Ok(())
    }

    /// Starts a new count with the replica's own vote. The log is synced first, because the vote request
    /// states the last log position.
    fn begin_vote_count(&mut self, now: TickTime) -> Result<()> {
        self.sync_log()?;
        self.reset_election_deadline(now);
        self.votes = VoteCount {
            round: self.next_vote_round(),
            granted: BTreeSet::from([self.own.replica_id]),
            ..VoteCount::default()
        };
        Ok(())
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool, leader_absent: bool) {
        let last_index = self.store.last_index();
        let request = VoteRequest {
            term,
            candidate: Some(self.own.clone()),
            last_index,
            last_term: self.store.term_at(last_index).unwrap_or_default(),
            pre_vote,
            receiver_disk_id: Bytes::new(),
            round: self.votes.round,
            leader_absent,
        };
        for voter in self.other_voters() {
            let request = VoteRequest {
                receiver_disk_id: voter.disk_id.clone(),
                ..request.clone()
            };
            self.send(voter, PeerMessage::Vote(request));
        }
        // A learner may have become voter and leader by an entry that this replica lacks. Without a disk identity, the
        // request asks it for its statement only.
        if pre_vote {
            for learner in self.members.current().learners.clone() {
                self.send(learner, PeerMessage::Vote(request.clone()));
            }
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

    fn is_quorum(&self, granted: &BTreeSet<u64>) -> bool {
        let membership = self.members.current();
        let granted = membership
            .voters
            .iter()
            .filter(|voter| granted.contains(&voter.replica_id))
            .count();
        granted >= quorum_size(membership)
    }

    fn is_pre_vote_won(&self, now: TickTime) -> bool {
        if self.is_leader_absent_everywhere() {
            return self.is_quorum(&(&self.votes.granted | &self.votes.conditional));
        }
        !self.awaits_earlier_leader(now) && self.is_quorum(&self.votes.granted)
    }

    /// Returns whether all other members stated during this count that they know no leader. Learners are included: a
    /// candidate that lacks the entry that made a leader a voter still lists it as a learner.
    fn is_leader_absent_everywhere(&self) -> bool {
        let membership = self.members.current();
        let mut members = membership.voters.iter().chain(&membership.learners);
        members.all(|info| {
            info.replica_id == self.own.replica_id
                || self.votes.leader_absent.contains(&info.replica_id)
        })
    }

    /// Answers a request for a vote or pre-vote.
    ///
    /// The candidate's log must list this replica's disk as a voter, so a replica with an empty folder has
    /// no vote. This replica's log need not hold that membership entry yet: if the candidate is the only
    /// surviving replica that holds it, both are needed for a quorum. The candidate then holds all entries
    /// before the promotion, so none can be lost.
    ///
    /// If this replica heard from a leader within the shortest election timeout, it refuses the request
    /// without adopting the request's term. The leader's freshness lease depends on this. The time since the start
    /// counts like that since a message of a leader, unless all members stated that they know none.
    pub(super) fn on_vote(
        &mut self,
        now: TickTime,
        from: u64,
        request: &VoteRequest,
    ) -> Result<()> {
        let candidate = request.candidate.clone().unwrap_or_default();
        let is_waiting = self.awaits_earlier_leader(now);
        let leader_absent = is_waiting || !self.has_recent_leader(now);
        let is_refused = candidate.replica_id != from
            || request.receiver_disk_id != self.own.disk_id
            || request.term < self.term()
            || !leader_absent
            || (is_waiting && !request.pre_vote && !request.leader_absent);
        let is_supported = if is_refused {
            false
        } else if request.pre_vote {
            request.term > self.term() && self.is_up_to_date(request)
        } else {
            self.cast_vote(now, request, candidate.replica_id)?
        };
        let conditional = is_supported && is_waiting && request.pre_vote;
        let granted = is_supported && !conditional;
        if conditional {
            self.defer_to(now, candidate.replica_id)?;
        }
        let reply = VoteReply {
            term: if granted { request.term } else { self.term() },
            granted,
            round: request.round,
            leader_absent,
            conditional,
        };
        self.send(candidate, PeerMessage::VoteReply(reply, request.pre_vote));
        Ok(())
    }

    /// Leaves the election after a common start to a candidate whose log is up to date. Of several candidates that began at
    /// the same time, all but the one of the lowest id withdraw, since votes split between them would elect none.
    fn defer_to(&mut self, now: TickTime, candidate: u64) -> Result<()> {
        if self.role == ReplicaRole::PreCandidate && self.own.replica_id < candidate {
            return Ok(());
        }
        if self.role == ReplicaRole::PreCandidate {
            self.become_follower(now, self.term())?;
        }
        self.set_start_deadline(now);
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

    /// Returns whether this replica started within the shortest election timeout and has not heard from a leader since.
    fn awaits_earlier_leader(&self, now: TickTime) -> bool {
        !self.has_heard_leader && self.leader_state.is_none() && self.has_recent_leader(now)
    }

    /// Counts a reply of the current election or pre-vote, and moves on once there is a quorum.
    pub(super) fn on_vote_reply(
        &mut self,
        now: TickTime,
        from: u64,
        reply: VoteReply,
        is_pre_vote: bool,
    ) -> Result<()> {
        if !reply.granted && reply.term > self.term() {
            return self.become_follower(now, reply.term);
        }
        let (expected_role, expected_term) = if is_pre_vote {
            (ReplicaRole::PreCandidate, self.term() + 1)
        } else {
            (ReplicaRole::Candidate, self.term())
        };
        if self.role != expected_role {
            return Ok(());
        }
        if reply.round == self.votes.round {
            if reply.leader_absent {
                self.votes.leader_absent.insert(from);
            }
            if reply.conditional {
                self.votes.conditional.insert(from);
            }
        }
        if reply.granted && reply.term == expected_term {
            self.votes.granted.insert(from);
        }
        if is_pre_vote {
            if self.is_pre_vote_won(now) {
                return self.start_election(now);
            }
        } else if self.is_quorum(&self.votes.granted) {
            return self.become_leader(now);
        }
        Ok(())
    }

    /// Becomes leader and appends an entry of the new term; committing it commits all earlier entries.
    fn become_leader(&mut self, now: TickTime) -> Result<()> {
        self.role = ReplicaRole::Leader;
        self.leader_id = Some(self.own.replica_id);
        self.votes = VoteCount::default();
        self.leader_state = Some(LeaderState::new(self.store.last_index() + 1, now));
        self.refresh_peers();
        self.append_command(Command {
            change: Some(Change::Noop(Noop {})),
        })?;
        self.send_heartbeats(now);
        Ok(())
    }
}
