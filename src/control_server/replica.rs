//! Thread that owns the consensus core and the state machine. It passes inputs to the core and executes the actions
//! that the core returns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use tokio::sync::watch;
use tonic::Status;

use crate::consensus::{PeerMessage, ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaRole};
use crate::control_state::ControlState;
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{Command, Membership, PlanSet, ReplicaInfo};
use crate::storage::SnapshotMeta;
use crate::types::TickTime;

use super::answers::{HeldHeartbeat, PendingRead};
use super::leader::LeaderTables;
use super::peers::PeerQueues;
use super::relay::LeaderView;
use super::replies::ReplyQueue;
use super::requests::{ProposalReply, ReplicaInput};
use crate::clock::TickClock;

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
// Inputs handled between two syncs of the log. The bound limits how long an acknowledgement waits for its sync.
const MAX_INPUTS_PER_SYNC: usize = 512;
const MAX_PENDING_PROPOSALS: usize = 8_192;

/// Dependencies and settings of a [`ReplicaThread`].
#[derive(Debug)]
pub(super) struct ReplicaParts {
    pub(super) core: ReplicaCore,
    pub(super) state: ControlState,
    pub(super) clock: TickClock,
    pub(super) peers: PeerQueues,
    pub(super) contacts: watch::Receiver<Vec<ReplicaInfo>>,
    pub(super) leader_view: watch::Sender<LeaderView>,
    pub(super) metrics: Arc<cadence::StatsdClient>,
    pub(super) claim_retention: Duration,
    pub(super) tick_interval: Duration,
    pub(super) election_timeout_min: Duration,
}

/// Consensus core, state machine and pending calls of a replica.
#[derive(Debug)]
pub(super) struct ReplicaThread {
    pub(super) parts: ReplicaParts,
    // Set while this replica is the leader.
    pub(super) leader_tables: Option<LeaderTables>,
    // Term of the last applied entry. A leader answers calls only after it has applied an entry of its own term.
    pub(super) applied_term: u64,
    pub(super) plan_set: PlanSet,
    pub(super) routes_applied_at: TickTime,
    pub(super) replicas: Vec<String>,
    pub(super) held_heartbeats: Vec<HeldHeartbeat>,
    pub(super) pending_reads: Vec<PendingRead>,
    pending_proposals: BTreeMap<u64, ProposalReply>,
    next_token: u64,
    replies: ReplyQueue,
    next_tick: TickTime,
    next_housekeeping: TickTime,
}

impl ReplicaThread {
    pub(super) fn new(parts: ReplicaParts) -> Self {
        let plan_set = PlanSet::from(parts.state.plans().as_ref());
        let now = parts.clock.now();
        Self {
            parts,
            leader_tables: None,
            applied_term: 0,
            plan_set,
            routes_applied_at: now,
            replicas: Vec::new(),
            held_heartbeats: Vec::new(),
            pending_reads: Vec::new(),
            pending_proposals: BTreeMap::new(),
            next_token: 0,
            replies: ReplyQueue::default(),
            next_tick: now,
            next_housekeeping: now,
        }
    }

    /// Handles inputs until [`ReplicaInput::Stop`] arrives or all senders are dropped. After an error, the contents of
    /// the disk are not known and the thread must not go on.
    pub(super) fn run(&mut self, inputs: &Receiver<ReplicaInput>) -> Result<()> {
        loop {
            let wait = self.next_tick.saturating_since(self.now());
            let is_stopping = match inputs.recv_timeout(wait) {
                Ok(input) => self.handle(input)?,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => true,
            };
            if self.turn(inputs)? || is_stopping {
                return Ok(());
            }
        }
    }

    /// Handles the inputs that have arrived, syncs the log once and sends all answers that are due. Returns whether the
    /// replica was asked to stop.
    pub(super) fn turn(&mut self, inputs: &Receiver<ReplicaInput>) -> Result<bool> {
        let mut is_stopping = false;
        for input in inputs.try_iter().take(MAX_INPUTS_PER_SYNC) {
            is_stopping |= self.handle(input)?;
        }
        self.tick()?;
        let mut actions = self.parts.core.flush(self.now())?;
        while !actions.is_empty() {
            self.perform(actions)?;
            actions = self.parts.core.continue_commits();
        }
        self.replies.clear();
        self.answer_held_heartbeats();
        self.answer_pending_reads();
        self.publish_view();
        Ok(is_stopping)
    }

    pub(super) fn now(&self) -> TickTime {
        self.parts.clock.now()
    }

    fn handle(&mut self, input: ReplicaInput) -> Result<bool> {
        match input {
            ReplicaInput::Peer {
                from,
                message,
                reply,
            } => {
                self.replies.register(from, &message, reply);
                self.step(ReplicaEvent::Message { from, message })?;
            }
            ReplicaInput::Propose { command, reply } => self.propose(command, reply)?,
            ReplicaInput::Heartbeat { request, reply } => self.receive_heartbeat(request, reply),
            ReplicaInput::ShowRoutes { reply } => self.pending_reads.push(PendingRead {
                arrived_at: self.now(),
                reply,
            }),
            ReplicaInput::ShowPlans { reply } => {
                let _ = reply.send(self.answer_show_plans());
            }
            ReplicaInput::Status { reply } => {
                let _ = reply.send(Ok(self.answer_status()));
            }
            ReplicaInput::Stop => return Ok(true),
        }
        Ok(false)
    }

    fn step(&mut self, event: ReplicaEvent) -> Result<()> {
        let actions = self.parts.core.step(self.now(), event)?;
        self.perform(actions)
    }

    fn tick(&mut self) -> Result<()> {
        let now = self.now();
        if now < self.next_tick {
            return Ok(());
        }
        self.next_tick = now + self.parts.tick_interval;
        if self.parts.contacts.has_changed().unwrap_or_default() {
            let contacts = self.parts.contacts.borrow_and_update().clone();
            self.step(ReplicaEvent::Contacts(contacts))?;
        }
        self.step(ReplicaEvent::Tick)?;
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.run_housekeeping(now)?;
        }
        Ok(())
    }

    fn run_housekeeping(&mut self, now: TickTime) -> Result<()> {
        if let Some(tables) = &mut self.leader_tables {
            tables.expire(now);
            self.expire_claims()?;
        }
        self.report_metrics();
        Ok(())
    }

    pub(super) fn propose(&mut self, command: Command, reply: ProposalReply) -> Result<()> {
        if self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
            reply.fail(Status::unavailable("too many commands wait for the log"));
            return Ok(());
        }
        self.next_token += 1;
        let token = self.next_token;
        self.pending_proposals.insert(token, reply);
        self.step(ReplicaEvent::Propose { token, command })
    }

    fn perform(&mut self, actions: Vec<ReplicaAction>) -> Result<()> {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => self.send(to, message),
                ReplicaAction::Commit {
                    index,
                    term,
                    command,
                    token,
                } => self.apply(index, term, &command, token),
                ReplicaAction::RejectProposal { token } => {
                    if let Some(reply) = self.pending_proposals.remove(&token) {
                        reply.fail(Status::unavailable(
                            "the leader changed; the result is not known",
                        ));
                    }
                }
                ReplicaAction::Restore { meta, data } => self.restore(meta, &data)?,
                ReplicaAction::CreateSnapshot { up_to } => self.snapshot(up_to)?,
                ReplicaAction::RoleChanged { role, term } => self.change_role(role, term),
            }
        }
        Ok(())
    }

    fn send(&mut self, to: ReplicaInfo, message: PeerMessage) {
        if let Some(message) = self.replies.deliver(to.replica_id, message) {
            self.parts.peers.send(to, message);
        }
    }

    fn apply(&mut self, index: u64, term: u64, command: &Command, token: Option<u64>) {
        let version = self.parts.state.plans().version();
        let route_version = self.parts.state.routes().version;
        let result = self.parts.state.apply(index, command);
        self.applied_term = term;
        if let Some(Change::Membership(membership)) = &command.change {
            log_membership(index, membership);
        }
        if self.parts.state.plans().version() != version {
            self.update_plan_set();
        }
        if self.parts.state.routes().version != route_version {
            let version = self.parts.state.routes().version;
            self.routes_applied_at = self.now();
            log::info!(event = "routes-in-force", version, index, term; "");
        }
        let reply = token.and_then(|token| self.pending_proposals.remove(&token));
        if let Some(reply) = reply {
            self.answer_proposal(reply, result);
        }
    }

    fn update_plan_set(&mut self) {
        let plan_book = self.parts.state.plans();
        self.plan_set = PlanSet::from(plan_book.as_ref());
        log::info!(event = "plans-in-force", version = plan_book.version(); "");
    }

    fn restore(&mut self, meta: SnapshotMeta, data: &[u8]) -> Result<()> {
        self.parts.state.restore(data)?;
        self.applied_term = meta.last_term;
        self.update_plan_set();
        self.routes_applied_at = self.now();
        let route_version = self.parts.state.routes().version;
        log::info!(event = "snapshot-restored", last_index = meta.last_index, route_version; "");
        Ok(())
    }

    fn snapshot(&mut self, up_to: u64) -> Result<()> {
        let meta = SnapshotMeta {
            last_index: self.parts.state.last_index(),
            last_term: self.applied_term,
        };
        let data = self.parts.state.snapshot();
        let (last_index, bytes) = (meta.last_index, data.len());
        log::info!(event = "snapshot-written", up_to, last_index, bytes; "");
        self.step(ReplicaEvent::SnapshotReady {
            meta,
            data: data.into(),
        })
    }

    fn change_role(&mut self, role: ReplicaRole, term: u64) {
        log::info!(event = "role-changed", role:? = role, term; "");
        self.leader_tables = match role {
            ReplicaRole::Leader => Some(LeaderTables::new(term, self.now())),
            _ => None,
        };
    }

    fn publish_view(&mut self) {
        let leader = self.parts.core.leader();
        let leader_view = LeaderView {
            is_local: self.parts.core.role() == ReplicaRole::Leader,
            leader,
        };
        self.parts.leader_view.send_if_modified(|current| {
            let is_changed = *current != leader_view;
            if is_changed {
                *current = leader_view;
            }
            is_changed
        });
        let Membership { voters, learners } = self.parts.core.membership();
        let members = voters.iter().chain(learners.iter());
        let members = members.map(|replica| &replica.address);
        if !self.replicas.iter().eq(members.clone()) {
            self.replicas = members.cloned().collect();
        }
    }
}

fn log_membership(index: u64, membership: &Membership) {
    let ids = |members: &[ReplicaInfo]| -> Vec<u64> {
        members.iter().map(|member| member.replica_id).collect()
    };
    let (voters, learners) = (ids(&membership.voters), ids(&membership.learners));
    log::info!(event = "membership-in-force", index, voters:? = voters, learners:? = learners; "");
}
