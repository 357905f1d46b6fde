//! State of one replica and the dispatch of its events.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::election::VoteCount;
use super::join::JoinState;
use super::leader::LeaderState;
use super::membership_history::MembershipHistory;
use super::replication::HeldReply;
use super::snapshot_transfer::IncomingSnapshot;
use super::{PeerMessage, ReplicaAction, ReplicaEvent, ReplicaRole, ReplicaSettings};
use crate::error::Result;
use crate::generated::{Membership, ReplicaInfo};
use crate::storage::{HardState, LogStore};
use crate::types::TickTime;

/// One replica of the replicated log.
///
/// After an error the core and its store must be dropped; the replica starts again from its disk.
#[derive(Debug)]
pub struct ReplicaCore {
    pub(super) settings: ReplicaSettings,
    pub(super) own: ReplicaInfo,
    pub(super) store: Box<dyn LogStore>,
    rng: SmallRng,
    pub(super) role: ReplicaRole,
    reported_role: Option<(ReplicaRole, u64)>,
    pub(super) leader_id: Option<u64>,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    /// Highest index that is synced to disk.
    pub(super) synced_index: u64,
    /// Index of the latest snapshot that the caller was asked to create.
    pub(super) requested_snapshot_index: u64,
    /// Encoded size of the entries applied since that index.
    pub(super) applied_bytes: usize,
    pub(super) members: MembershipHistory,
    pub(super) join: JoinState,
    pub(super) election_deadline: TickTime,
    /// Time of the latest message from the current leader. The start of the replica counts as one, because the
    /// replica may have confirmed a leader just before it stopped.
    pub(super) leader_contact: Option<TickTime>,
    /// Whether a leader has sent a message since the start.
    pub(super) has_heard_leader: bool,
    pub(super) votes: VoteCount,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) held_replies: Vec<HeldReply>,
    pub(super) incoming: Option<IncomingSnapshot>,
    actions: Vec<ReplicaAction>,
}

impl ReplicaCore {
    /// Creates a replica over its store.
    ///
    /// `membership` lists the initial replicas from the settings, as voters; their disk identities
    /// may be empty. It supplies the addresses of the other replicas and, with `bootstrap`, the voters of
    /// the first configuration. If the store holds a snapshot, the first step returns it as
    /// [`ReplicaAction::Restore`].
    pub fn new(
        settings: ReplicaSettings,
        own: ReplicaInfo,
        store: Box<dyn LogStore>,
        membership: Membership,
        now: TickTime,
        seed: u64,
    ) -> Result<Self> {
        let members = MembershipHistory::load(store.as_ref())?;
        let disk_id = bytes::Bytes::copy_from_slice(&store.disk_id());
        let covered = store.snapshot();
        let covered_index = covered.as_ref().map_or(0, |(meta, _)| meta.last_index);
        let restore = covered.map(|(meta, data)| ReplicaAction::Restore { meta, data });
        let mut core = Self {
            settings,
            own: ReplicaInfo { disk_id, ..own },
            synced_index: store.last_index(),
            store,
            rng: SmallRng::seed_from_u64(seed),
            role: ReplicaRole::Learner,
            reported_role: None,
            leader_id: None,
            commit_index: covered_index,
            applied_index: covered_index,
            requested_snapshot_index: covered_index,
            applied_bytes: 0,
            members,
            join: JoinState::new(membership, now),
            election_deadline: now,
            leader_contact: Some(now),
            has_heard_leader: false,
            votes: VoteCount::default(),
            leader_state: None,
            held_replies: Vec::new(),
            incoming: None,
            actions: restore.into_iter().collect(),
        };
        core.refresh_role();
        core.set_start_deadline(now);
        Ok(core)
    }

    /// Handles one event and returns the resulting actions.
    ///
    /// Replies that depend on entries that are not on disk yet are held until [`ReplicaCore::flush`].
    pub fn step(&mut self, now: TickTime, event: ReplicaEvent) -> Result<Vec<ReplicaAction>> {
        match event {
            ReplicaEvent::Tick => self.tick(now)?,
            ReplicaEvent::Message { from, message } => self.receive(now, from, message)?,
            ReplicaEvent::Contacts(contacts) => self.join.configure(contacts),
            ReplicaEvent::Propose { token, command } => self.propose(token, command)?,
            ReplicaEvent::SnapshotReady { meta, data } => self.store_snapshot(meta, data)?,
        }
        Ok(self.take_actions())
    }

    /// Syncs the entries appended since the last call, and returns the actions that depended on the sync.
    pub fn flush(&mut self, now: TickTime) -> Result<Vec<ReplicaAction>> {
        self.sync_log()?;
        self.release_held_replies();
        if self.leader_state.is_some() {
            self.advance_commit();
            self.send_entries(now);
        }
        Ok(self.take_actions())
    }

    /// Returns the next actions of committed entries, or none once all of them are emitted. The actions of one call are
    /// bounded in bytes, so that a long log can be applied without a second copy of it in memory.
    pub fn continue_commits(&mut self) -> Vec<ReplicaAction> {
        self.take_actions()
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.store.hard_state().term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<ReplicaInfo> {
        self.leader_id.map(|id| self.replica_info(id))
    }

    /// Returns the membership in effect, which may not be committed yet.
    pub fn membership(&self) -> &Membership {
        self.members.current()
    }

    /// Returns the index up to which entries are known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the address and identity of this replica, including its disk identity.
    pub fn own(&self) -> &ReplicaInfo {
        &self.own
    }

    /// Returns the time since a quorum last confirmed this leader.
    ///
    /// A confirmation counts from the time the answered append was sent. While the age is below the
    /// shortest election timeout, no other leader can have been elected. Returns `None` until the leader
    /// has committed an entry of its own term, since it may not know all committed entries before that.
    pub fn quorum_age(&self, now: TickTime) -> Option<Duration> {
        let leader_state = self.leader_state.as_ref()?;
        if leader_state.term_start > self.commit_index {
            return None;
        }
        let confirmed_at = leader_state.quorum_confirmed_at(&self.own, self.membership(), now)?;
        Some(now.saturating_since(confirmed_at))
    }

    /// Returns whether a leader addressed the message to a different disk of this replica.
    fn is_misdirected(&self, message: &PeerMessage) -> bool {
        match message {
            PeerMessage::Append(request) => request.receiver_disk_id != self.own.disk_id,
            PeerMessage::Snapshot(chunk) => chunk.receiver_disk_id != self.own.disk_id,
            _ => false,
        }
    }

    fn receive(&mut self, now: TickTime, from: u64, message: PeerMessage) -> Result<()> {
        if self.is_misdirected(&message) {
            return Ok(());
        }
        match message {
            PeerMessage::Vote(request) => self.on_vote(now, from, &request),
            PeerMessage::VoteReply(reply, is_pre_vote) => {
                self.on_vote_reply(now, from, reply, is_pre_vote)
            }
            PeerMessage::Append(request) => self.on_append(now, &request),
            PeerMessage::AppendReply(reply) => self.on_append_reply(now, &reply),
            PeerMessage::Snapshot(chunk) => self.on_snapshot_chunk(now, &chunk),
            PeerMessage::SnapshotReply(reply) => self.on_snapshot_reply(now, &reply),
            PeerMessage::Join(request) => self.on_join(now, request),
            PeerMessage::JoinReply(reply) => {
                self.on_join_reply(now, from, reply);
                Ok(())
            }
        }
    }

    fn tick(&mut self, now: TickTime) -> Result<()> {
        self.tick_join(now)?;
        if self.leader_state.is_some() {
            return self.tick_leader(now);
        }
        if now >= self.election_deadline && self.can_campaign() {
            return self.start_pre_vote(now);
        }
        Ok(())
    }

    /// Makes appended entries durable.
    pub(super) fn sync_log(&mut self) -> Result<()> {
        let last_index = self.store.last_index();
        if self.synced_index < last_index {
            self.store.sync()?;
            self.synced_index = last_index;
        }
        Ok(())
    }

    /// Returns whether the membership in effect lists this replica's disk as a voter.
    pub(super) fn is_voter(&self) -> bool {
        let voters = &self.members.current().voters;
        voters.iter().any(|info| info.disk_id == self.own.disk_id)
    }

    /// Returns whether the replica may start an election, which requires the first configuration on disk.
    fn can_campaign(&self) -> bool {
        self.is_voter() && self.store.last_index() > 0
    }

    /// Updates the role of a learner or follower after a membership change.
    pub(super) fn refresh_role(&mut self) {
        let is_passive = matches!(self.role, ReplicaRole::Learner | ReplicaRole::Follower);
        if is_passive {
            self.role = self.passive_role();
        }
    }

    pub(super) fn passive_role(&self) -> ReplicaRole {
        if self.is_voter() {
            ReplicaRole::Follower
        } else {
            ReplicaRole::Learner
        }
    }

    pub(super) fn reset_election_deadline(&mut self, now: TickTime) {
        let shortest = self.settings.election_timeout_min;
        let longest = self.settings.election_timeout_max.max(shortest);
        self.election_deadline = now + self.rng.random_range(shortest..=longest);
    }

    /// Schedules the next pre-vote of a replica that has just started. It is soon, because all replicas may have started
    /// together; a running leader is not disturbed, because the replicas that hear from it refuse.
    pub(super) fn set_start_deadline(&mut self, now: TickTime) {
        let interval = self.settings.heartbeat_interval;
        self.election_deadline = now + self.rng.random_range(interval / 2..=interval * 3 / 2);
    }

    pub(super) fn next_vote_round(&mut self) -> u64 {
        self.rng.random()
    }

    /// Ends any candidacy or leadership and moves to `term`, which is synced before anything else changes.
    pub(super) fn become_follower(&mut self, now: TickTime, term: u64) -> Result<()> {
        if term > self.term() {
            self.store.set_hard_state(HardState { term, vote: None })?;
            self.leader_id = None;
            self.held_replies.clear();
            self.incoming = None;
        }
        if let Some(leader_state) = self.leader_state.take() {
            self.leader_id = None;
            self.leader_contact = None;
            let proposals = leader_state.proposals.into_values();
            self.actions.extend(proposals.map(|proposal| {
                let token = proposal.token;
                ReplicaAction::RejectProposal { token }
            }));
            self.reset_election_deadline(now);
        }
        self.votes = VoteCount::default();
        self.role = self.passive_role();
        Ok(())
    }

    /// Returns the known identity and address of a replica; the address is empty if it is unknown.
    pub(super) fn replica_info(&self, replica_id: u64) -> ReplicaInfo {
        let membership = self.members.current();
        let mut known = membership
            .learners
            .iter()
            .chain(&membership.voters)
            .chain(self.join.contacts());
        known
            .find(|info| info.replica_id == replica_id)
            .cloned()
            .unwrap_or_else(|| ReplicaInfo {
                replica_id,
                ..ReplicaInfo::default()
            })
    }

    pub(super) fn push_action(&mut self, action: ReplicaAction) {
        self.actions.push(action);
    }

    pub(super) fn send(&mut self, to: ReplicaInfo, message: PeerMessage) {
        self.actions.push(ReplicaAction::Send { to, message });
    }

    fn take_actions(&mut self) -> Vec<ReplicaAction> {
        self.emit_commits();
        let reported = (self.role, self.term());
        if self.reported_role != Some(reported) {
            self.reported_role = Some(reported);
            self.actions.push(ReplicaAction::RoleChanged {
                role: reported.0,
                term: reported.1,
            });
        }
        std::mem::take(&mut self.actions)
    }
}
