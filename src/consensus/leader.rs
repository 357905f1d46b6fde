//! Log replication and heartbeats on the leader.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::membership_history::{quorum_size, reachable_peers};
use super::peer_progress::PeerProgress;
use super::{PeerMessage, ReplicaCore};
use crate::error::Result;
use crate::generated::{AppendReply, AppendRequest, Membership, ReplicaInfo};
use crate::types::TickTime;

/// State of a leader in its term.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Index of the first entry of the term.
    pub(super) term_start: u64,
    pub(super) elected_at: TickTime,
    pub(super) next_heartbeat: TickTime,
    pub(super) sequence: u64,
    /// Uncommitted proposals made on this leader, by entry index.
    pub(super) proposals: BTreeMap<u64, PendingProposal>,
    /// Encoded size of all pending proposals.
    pub(super) proposal_bytes: usize,
    /// Progress of the other replicas. The key is the disk identity, so that a reply from a replaced disk is never
    /// counted.
    pub(super) peers: BTreeMap<Bytes, PeerProgress>,
}

/// Proposal whose entry is not applied yet.
#[derive(Debug)]
pub(super) struct PendingProposal {
    pub(super) token: u64,
    pub(super) encoded_bytes: usize,
}

impl LeaderState {
    pub(super) fn new(term_start: u64, now: TickTime) -> Self {
        Self {
            term_start,
            elected_at: now,
            next_heartbeat: now,
            sequence: 0,
            proposals: BTreeMap::new(),
            proposal_bytes: 0,
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn match_index(&self, disk_id: &Bytes) -> u64 {
        self.peers.get(disk_id).map_or(0, |peer| peer.match_index)
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the latest time as of which a quorum of voters had confirmed the leader, or `None` if no quorum has.
    pub(super) fn quorum_confirmed_at(
        &self,
        own: &ReplicaInfo,
        membership: &Membership,
        now: TickTime,
    ) -> Option<TickTime> {
        let mut confirmed: Vec<TickTime> = membership
            .voters
            .iter()
            .filter_map(|voter| {
                if voter.disk_id == own.disk_id {
                    return Some(now);
                }
                self.peers.get(&voter.disk_id)?.confirmed_at
            })
            .collect();
        confirmed.sort_unstable_by(|a, b| b.cmp(a));
        confirmed.get(quorum_size(membership) - 1).copied()
    }
}

impl ReplicaCore {
    /// Sends due heartbeats, and steps down if no quorum has answered within the longest election timeout.
    pub(super) fn tick_leader(&mut self, now: TickTime) -> Result<()> {
        let Some(leader_state) = &self.leader_state else {
            return Ok(());
        };
        let confirmed_at = leader_state
            .quorum_confirmed_at(&self.own, self.membership(), now)
            .unwrap_or_default()
            .max(leader_state.elected_at);
        if now.saturating_since(confirmed_at) > self.settings.election_timeout_max {
            return self.become_follower(now, self.term());
        }
        if now >= leader_state.next_heartbeat {
            self.send_heartbeats(now);
            self.resend_snapshots(now);
        }
        self.promote_learner(now)?;
        self.remove_silent_voter(now)?;
        self.remove_silent_learner(now)
    }

    /// Adds progress records for new members and removes those of former members.
    pub(super) fn refresh_peers(&mut self) {
        let next_index = self.store.last_index() + 1;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let membership = self.members.current();
        let all_members = || membership.voters.iter().chain(&membership.learners);
        leader_state
            .peers
            .retain(|disk_id, _| all_members().any(|info| info.disk_id == *disk_id));
        for info in all_members().filter(|info| info.disk_id != self.own.disk_id) {
            leader_state
                .peers
                .entry(info.disk_id.clone())
                .or_insert_with(|| PeerProgress::new(info.clone(), next_index))
                .info = info.clone();
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: TickTime) {
        let interval = self.settings.heartbeat_interval;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.next_heartbeat = now + interval;
        }
        for disk_id in self.reachable_disks() {
            self.probe_unresponsive_peer(now, &disk_id);
            self.send_append(now, &disk_id, true);
        }
    }

    /// Sends new entries to all reachable members that are ready to receive them.
    pub(super) fn send_entries(&mut self, now: TickTime) {
        for disk_id in self.reachable_disks() {
            self.send_append(now, &disk_id, false);
        }
    }

    fn reachable_disks(&self) -> Vec<Bytes> {
        reachable_peers(self.members.current(), &self.own)
            .map(|info| info.disk_id.clone())
            .collect()
    }

    pub(super) fn peer_mut(&mut self, disk_id: &Bytes) -> Option<&mut PeerProgress> {
        self.leader_state.as_mut()?.peers.get_mut(disk_id)
    }

    pub(super) fn is_responsive(&self, now: TickTime, peer: &PeerProgress) -> bool {
        let longest = self.settings.election_timeout_max;
        peer.confirmed_at
            .is_some_and(|at| now.saturating_since(at) <= longest)
    }

    /// Stops sending entries to an unresponsive member until it answers a heartbeat.
    fn probe_unresponsive_peer(&mut self, now: TickTime, disk_id: &Bytes) {
        let Some(peer) = self
            .leader_state
            .as_ref()
            .and_then(|leader_state| leader_state.peers.get(disk_id))
        else {
            return;
        };
        if self.is_responsive(now, peer) {
            return;
        }
        if let Some(peer) = self.peer_mut(disk_id)
            && !peer.is_probing
        {
            peer.is_probing = true;
            peer.next_index = peer.match_index + 1;
        }
    }

    /// Sends one append with entries if the member is ready for them; otherwise sends only a due heartbeat.
    pub(super) fn send_append(&mut self, now: TickTime, disk_id: &Bytes, is_heartbeat: bool) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let Some(peer) = leader_state.peers.get(disk_id) else {
            return;
        };
        let next_index = peer.next_index;
        let previous_index = next_index - 1;
        // Index 0 has a term even when the entry after it is only in a snapshot.
        let is_held = next_index >= self.store.first_index();
        let previous_term = self.store.term_at(previous_index).filter(|_| is_held);
        let is_ready_for_entries = !peer.is_probing
            && peer.transfer.is_none()
            && peer.has_send_capacity(self.settings.max_in_flight_appends);
        if is_ready_for_entries && previous_term.is_none() {
            self.start_snapshot(now, disk_id);
        }
        let entries = match previous_term {
            Some(_) if is_ready_for_entries => self
                .store
                .entries(next_index, self.settings.max_append_bytes),
            _ => Vec::new(),
        };
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        let request = AppendRequest {
            term: self.term(),
            leader_id: self.own.replica_id,
            previous_index: previous_term.map_or(0, |_| previous_index),
            previous_term: previous_term.unwrap_or_default(),
            commit_index: self.commit_index,
            entries,
            sequence: 0,
            receiver_disk_id: disk_id.clone(),
        };
        self.send_tracked_append(now, disk_id, request);
    }

    fn send_tracked_append(&mut self, now: TickTime, disk_id: &Bytes, mut request: AppendRequest) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        request.sequence = leader_state.next_sequence();
        let Some(peer) = leader_state.peers.get_mut(disk_id) else {
            return;
        };
        peer.record_send(request.sequence, now, request.commit_index);
        if let Some(last) = request.entries.last() {
            peer.next_index = last.index + 1;
        }
        let to = peer.info.clone();
        self.send(to, PeerMessage::Append(request));
    }

    /// Updates the member's confirmation time and matching position from its reply, and advances the commit index.
    pub(super) fn on_append_reply(&mut self, now: TickTime, reply: &AppendReply) -> Result<()> {
        if reply.term > self.term() {
            return self.become_follower(now, reply.term);
        }
        let last_index = self.store.last_index();
        let is_current = reply.term == self.term();
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| is_current) else {
            return Ok(());
        };
        let latest_sequence = leader_state.sequence;
        let max_in_flight = self.settings.max_in_flight_appends;
        let Some(peer) = leader_state.peers.get_mut(&reply.disk_id) else {
            return Ok(());
        };
        if reply.accepted {
            peer.advance_match_index(reply.last_index.min(last_index));
        }
        peer.record_reply(reply.sequence);
        let is_outdated = reply.sequence <= peer.reset_sequence;
        if reply.accepted {
            peer.is_probing &= is_outdated;
            peer.widen_window(last_index, max_in_flight);
            self.advance_commit();
            self.promote_learner(now)?;
            self.send_append(now, &reply.disk_id, false);
        } else if !is_outdated {
            peer.rewind_next_index(reply.last_index, latest_sequence);
            self.send_append(now, &reply.disk_id, true);
        }
        Ok(())
    }
}
