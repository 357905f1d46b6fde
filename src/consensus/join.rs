//! Cluster bootstrap, joining, promotion of learners and removal of unresponsive voters.

use std::collections::BTreeMap;

use super::membership_history::{is_superseded, reachable_peers};
use super::peer_progress::PeerProgress;
use super::{PeerMessage, ReplicaCore};
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{Command, JoinReply, JoinRequest, LogEntry, Membership, ReplicaInfo};
use crate::storage::{DISK_ID_LENGTH, HardState};
use crate::types::TickTime;

/// Term of the entry that holds the first configuration. No leader is ever elected in this term.
const BOOTSTRAP_TERM: u64 = 1;

/// State of the join protocol: known replicas, their join requests and their replies.
#[derive(Debug)]
pub(super) struct JoinState {
    /// Replicas in the settings at start, by replica id.
    initial_replicas: BTreeMap<u64, ReplicaInfo>,
    /// Replicas in the settings after the latest change since the start.
    configured_replicas: Vec<ReplicaInfo>,
    /// Members listed in the latest join reply of a replica that holds a log.
    known_members: Vec<ReplicaInfo>,
    next_request: TickTime,
    /// Latest join request of each replica and its arrival time, recorded while this replica holds no log.
    join_requests: BTreeMap<u64, (ReplicaInfo, TickTime)>,
    /// Time of the latest reply of each replica that holds no log.
    empty_replies: BTreeMap<u64, TickTime>,
    /// Whether another replica holds a log, in which case no first configuration may be created.
    cluster_exists: bool,
}

impl JoinState {
    pub(super) fn new(initial_replicas: Membership, now: TickTime) -> Self {
        Self {
            initial_replicas: initial_replicas
                .voters
                .into_iter()
                .map(|info| (info.replica_id, info))
                .collect(),
            configured_replicas: Vec::new(),
            known_members: Vec::new(),
            next_request: now,
            join_requests: BTreeMap::new(),
            empty_replies: BTreeMap::new(),
            cluster_exists: false,
        }
    }

    pub(super) fn contacts(&self) -> impl Iterator<Item = &ReplicaInfo> {
        let configured_replicas = self.configured_replicas.iter();
        self.known_members
            .iter()
            .chain(configured_replicas)
            .chain(self.initial_replicas.values())
    }

    pub(super) fn configure(&mut self, contacts: Vec<ReplicaInfo>) {
        self.configured_replicas = contacts;
    }
}

impl ReplicaCore {
    /// Sends join requests until a committed membership lists this replica and a leader contacts it.
    pub(super) fn tick_join(&mut self, now: TickTime) -> Result<()> {
        if self.is_established_member(now) || now < self.join.next_request {
            return Ok(());
        }
        self.join.next_request = now + self.settings.join_interval;
        let request = JoinRequest {
            replica: Some(self.own.clone()),
        };
        for to in self.join_receivers() {
            self.send(to, PeerMessage::Join(request.clone()));
        }
        self.try_bootstrap(now)
    }

    /// Returns whether a committed membership lists this replica with its disk and address, and the leader
    /// still sends to this disk.
    ///
    /// An uncommitted membership may be overwritten, and a delayed join request of a former disk may have
    /// replaced this replica's record. In both cases the leader would not know of this disk.
    fn is_established_member(&self, now: TickTime) -> bool {
        let leader_timeout = self.settings.election_timeout_max * 2;
        let has_leader = self.leader_state.is_some()
            || self
                .leader_contact
                .is_some_and(|contact| now.saturating_since(contact) <= leader_timeout);
        let membership = self.members.at(self.commit_index);
        let mut members = membership.voters.iter().chain(&membership.learners);
        has_leader && self.commit_index > 0 && members.any(|info| *info == self.own)
    }

    fn join_receivers(&self) -> Vec<ReplicaInfo> {
        let membership = self.members.current();
        let mut receivers: BTreeMap<&str, &ReplicaInfo> = BTreeMap::new();
        let members = membership.voters.iter().chain(&membership.learners);
        for info in members.chain(self.join.contacts()) {
            if info.replica_id != self.own.replica_id {
                receivers.entry(&info.address).or_insert(info);
            }
        }
        receivers.into_values().cloned().collect()
    }

    /// Answers a join request; the leader adds the replica as a learner.
    pub(super) fn on_join(&mut self, now: TickTime, request: JoinRequest) -> Result<()> {
        let Some(replica) = request.replica else {
            return Ok(());
        };
        if replica.disk_id.len() != DISK_ID_LENGTH || replica.disk_id == self.own.disk_id {
            return Ok(());
        }
        let is_empty = self.store.last_index() == 0;
        let verdict = if is_empty {
            let received = (replica.clone(), now);
            self.join.join_requests.insert(replica.replica_id, received);
            Err("this replica holds no log")
        } else {
            self.admit_learner(now, &replica)?
        };
        let reply = JoinReply {
            accepted: verdict.is_ok(),
            membership: (!is_empty).then(|| self.members.current().clone()),
            reason: verdict.err().unwrap_or_default().to_owned(),
            disk_id: replica.disk_id.clone(),
        };
        self.send(replica, PeerMessage::JoinReply(reply));
        if is_empty {
            self.try_bootstrap(now)?;
        }
        Ok(())
    }

    /// Appends a membership that includes the replica. The inner error is the reason for a refusal.
    fn admit_learner(
        &mut self,
        now: TickTime,
        replica: &ReplicaInfo,
    ) -> Result<Result<(), &'static str>> {
        let Some(leader_state) = &self.leader_state else {
            return Ok(Err("this replica is not the leader"));
        };
        let membership = self.members.current();
        if reachable_peers(membership, &self.own).any(|info| info == replica) {
            return Ok(Ok(()));
        }
        let is_id_in_use = leader_state.peers.values().any(|peer| {
            peer.info.replica_id == replica.replica_id
                && peer.info.disk_id != replica.disk_id
                && self.is_responsive(now, peer)
        });
        if is_id_in_use || replica.replica_id == self.own.replica_id {
            return Ok(Err("a replica that answers uses this replica id"));
        }
        if !self.can_change_membership() {
            return Ok(Err("another membership change is in progress"));
        }
        let Some(changed) = with_added_learner(membership, replica, self.settings.max_voters)
        else {
            return Ok(Err("there are enough replicas"));
        };
        self.append_membership(changed)?;
        Ok(Ok(()))
    }

    /// Returns whether the latest membership change and an entry of the current term are committed.
    ///
    /// Without a committed entry of its own term, a new leader could commit a change that conflicts with an
    /// unseen change of an earlier leader.
    fn can_change_membership(&self) -> bool {
        let is_term_committed = self
            .leader_state
            .as_ref()
            .is_some_and(|leader_state| leader_state.term_start <= self.commit_index);
        is_term_committed && self.members.current_index() <= self.commit_index
    }

    fn append_membership(&mut self, membership: Membership) -> Result<()> {
        self.append_command(Command {
            change: Some(Change::Membership(membership)),
        })?;
        Ok(())
    }

    /// Makes a learner a voter once it holds every committed entry on disk. Voters that do not answer are removed first
    /// where `min_voters` allows it.
    pub(super) fn promote_learner(&mut self, now: TickTime) -> Result<()> {
        if !self.can_change_membership() || self.has_replaceable_voter(now) {
            return Ok(());
        }
        let Some(learner) = self.ready_learner(now) else {
            return Ok(());
        };
        let promoted = with_promoted_learner(self.members.current(), learner);
        self.append_membership(promoted)
    }

    /// Returns a learner that holds every committed entry on disk.
    ///
    /// The first entry of the term must be among them, because a new leader does not know yet how far earlier
    /// leaders have committed. Entries committed after the leader sent the append that the learner answered last
    /// are not required; otherwise a steady load could delay the promotion forever. These entries precede the
    /// promotion in the log, so the learner holds them before it can vote or count towards a quorum.
    fn ready_learner(&self, now: TickTime) -> Option<&ReplicaInfo> {
        let leader_state = self.leader_state.as_ref()?;
        let is_ready = |learner: &&ReplicaInfo| {
            let peer = leader_state.peers.get(&learner.disk_id);
            peer.is_some_and(|peer| {
                peer.is_caught_up
                    && peer.match_index >= leader_state.term_start
                    && self.is_responsive(now, peer)
            })
        };
        self.members.current().learners.iter().find(is_ready)
    }

    /// Returns the voters whose place another replica may take: those that do not answer, except voters that rejoined
    /// with an empty disk, whose records their own promotion replaces.
    fn unresponsive_voters(&self, now: TickTime) -> impl Iterator<Item = &PeerProgress> {
        let membership = self.members.current();
        let peers = self.leader_state.iter().flat_map(|state| &state.peers);
        peers.map(|(_, peer)| peer).filter(move |peer| {
            membership.voters.contains(&peer.info)
                && !is_superseded(membership, &peer.info)
                && !self.is_responsive(now, peer)
        })
    }

    fn can_remove_voter(&self) -> bool {
        let voters = self.members.current().voters.len();
        self.settings.silent_voter_timeout.is_some() && voters > self.settings.min_voters
    }

    /// Returns whether a voter does not answer and may be removed. A successor that is promoted beside it would raise
    /// the quorum size, and a few such replacements in a row would leave no quorum.
    fn has_replaceable_voter(&self, now: TickTime) -> bool {
        self.can_remove_voter() && self.unresponsive_voters(now).next().is_some()
    }

    /// Removes a voter that does not answer, so that a permanently lost VM no longer counts towards the quorum size.
    /// A removed replica that returns joins again as a learner.
    ///
    /// It is removed soon if a learner can take its place, or if the number of voters is even: such a number tolerates
    /// no more losses than the next lower one. Otherwise it is removed after `silent_voter_timeout`.
    pub(super) fn remove_silent_voter(&mut self, now: TickTime) -> Result<()> {
        let (Some(leader_state), Some(longest)) =
            (&self.leader_state, self.settings.silent_voter_timeout)
        else {
            return Ok(());
        };
        if !self.can_change_membership() || !self.can_remove_voter() {
            return Ok(());
        }
        let membership = self.members.current();
        let is_even = membership.voters.len().is_multiple_of(2);
        let timeout = if is_even || self.ready_learner(now).is_some() {
            longest.min(self.settings.election_timeout_max)
        } else {
            longest
        };
        let silent = self.unresponsive_voters(now).filter(|peer| {
            let silent_since = peer.silent_since().unwrap_or(leader_state.elected_at);
            now.saturating_since(silent_since) > timeout
        });
        let Some(silent) = silent.min_by_key(|peer| peer.confirmed_at) else {
            return Ok(());
        };
        let mut changed = membership.clone();
        changed
            .voters
            .retain(|voter| voter.disk_id != silent.info.disk_id);
        self.append_membership(changed)
    }

    /// Removes a learner that has not answered within `silent_voter_timeout`. Lost learners would otherwise use up the
    /// places that `max_voters` leaves, and later replicas could not join.
    pub(super) fn remove_silent_learner(&mut self, now: TickTime) -> Result<()> {
        let (Some(leader_state), Some(timeout)) =
            (&self.leader_state, self.settings.silent_voter_timeout)
        else {
            return Ok(());
        };
        if !self.can_change_membership() {
            return Ok(());
        }
        let is_silent = |learner: &ReplicaInfo| {
            let peer = leader_state.peers.get(&learner.disk_id);
            let silent_since = peer.and_then(PeerProgress::silent_since);
            silent_since.is_some_and(|at| now.saturating_since(at) > timeout)
        };
        let mut changed = self.members.current().clone();
        changed.learners.retain(|learner| !is_silent(learner));
        if changed.learners.len() == self.members.current().learners.len() {
            return Ok(());
        }
        self.append_membership(changed)
    }

    /// Records from a join reply either the members of an existing cluster, or that the sender holds no log.
    pub(super) fn on_join_reply(&mut self, now: TickTime, from: u64, reply: JoinReply) {
        if reply.disk_id != self.own.disk_id {
            return;
        }
        let Some(membership) = reply.membership else {
            self.join.empty_replies.insert(from, now);
            return;
        };
        self.join.cluster_exists = true;
        let members = membership.voters.iter().chain(&membership.learners);
        self.join.known_members = members.cloned().collect();
    }

    /// Writes the first configuration if all initial replicas are present and hold no log.
    ///
    /// Only the replica with the lowest id does so. The others receive the configuration through the log, so
    /// that replicas never hold different first configurations.
    fn try_bootstrap(&mut self, now: TickTime) -> Result<()> {
        let is_first = self.join.initial_replicas.keys().next() == Some(&self.own.replica_id);
        let is_allowed = self.settings.bootstrap && is_first && !self.join.cluster_exists;
        if !is_allowed || self.store.last_index() > 0 {
            return Ok(());
        }
        let Some(voters) = self.bootstrap_voters(now) else {
            return Ok(());
        };
        let state = self.store.hard_state();
        let term = state.term.max(BOOTSTRAP_TERM);
        self.store.set_hard_state(HardState { term, ..state })?;
        let entry = LogEntry {
            index: 1,
            term: BOOTSTRAP_TERM,
            command: Some(Command {
                change: Some(Change::Membership(Membership {
                    voters,
                    learners: Vec::new(),
                })),
            }),
        };
        self.store.append(std::slice::from_ref(&entry))?;
        self.sync_log()?;
        self.members.record_entry(&entry);
        self.refresh_role();
        Ok(())
    }

    /// Returns the initial replicas with their disk identities if each of the others sent both a join request and
    /// a join reply within `bootstrap_window`.
    fn bootstrap_voters(&self, now: TickTime) -> Option<Vec<ReplicaInfo>> {
        let window = self.settings.bootstrap_window;
        let is_recent = |at: TickTime| now.saturating_since(at) <= window;
        let mut voters = Vec::new();
        for &id in self.join.initial_replicas.keys() {
            if id == self.own.replica_id {
                voters.push(self.own.clone());
                continue;
            }
            let (info, requested_at) = self.join.join_requests.get(&id)?;
            let answered_at = *self.join.empty_replies.get(&id)?;
            if !is_recent(*requested_at) || !is_recent(answered_at) {
                return None;
            }
            voters.push(info.clone());
        }
        Some(voters)
    }
}

/// Returns the membership with a replica under its current disk and address.
///
/// A member with the same disk only gets the new address. Otherwise the replica is added as a learner.
/// Learners with the same replica id and a different disk are removed. Returns `None` if the promotion of all
/// learners would exceed `max_voters`.
fn with_added_learner(
    membership: &Membership,
    replica: &ReplicaInfo,
    max_voters: usize,
) -> Option<Membership> {
    let mut changed = membership.clone();
    changed
        .learners
        .retain(|info| info.replica_id != replica.replica_id || info.disk_id == replica.disk_id);
    let mut members = changed.voters.iter_mut().chain(&mut changed.learners);
    if let Some(info) = members.find(|info| info.disk_id == replica.disk_id) {
        info.address.clone_from(&replica.address);
        return Some(changed);
    }
    changed.learners.push(replica.clone());
    (expected_voters(&changed) <= max_voters).then_some(changed)
}

/// Returns the number of voters once all learners are promoted.
fn expected_voters(membership: &Membership) -> usize {
    let is_new = |learner: &&ReplicaInfo| {
        let mut voters = membership.voters.iter();
        !voters.any(|voter| voter.replica_id == learner.replica_id)
    };
    membership.voters.len() + membership.learners.iter().filter(is_new).count()
}

/// Returns the membership with the learner as a voter, replacing any voter record with the same replica id.
fn with_promoted_learner(membership: &Membership, learner: &ReplicaInfo) -> Membership {
    let mut promoted = membership.clone();
    promoted
        .learners
        .retain(|info| info.replica_id != learner.replica_id);
    promoted
        .voters
        .retain(|info| info.replica_id != learner.replica_id);
    promoted.voters.push(learner.clone());
    promoted.voters.sort_by_key(|info| info.replica_id);
    promoted
}
