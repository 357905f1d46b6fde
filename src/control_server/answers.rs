//! Replies of the replica thread to nodes and operators, and its metrics.

use std::time::Duration;

use cadence::prelude::*;
use tonic::Status;

use bytes::Bytes;

use crate::consensus::ReplicaRole;
use crate::control_state::ApplyResult;
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{
    ApplyReply, ApplyRoutesReply, ClaimReply, Command, DirectoryDelta, ExpireCommand,
    HeartbeatReply, HeartbeatRequest, SettleReply, ShowReply, ShowRoutesReply, StatusReply,
};
use crate::types::TickTime;

use super::leader::{HeartbeatContext, LeaderTables};
use super::replica::ReplicaThread;
use super::requests::{ProposalReply, ReplySender};
use crate::clock::unix_millis;

// Fraction of the shortest election timeout for which a quorum confirmation is valid. It is below 1, so that no other
// leader can have been elected in that time.
const QUORUM_LEASE_FRACTION: f64 = 5.0 / 6.0;

/// Longest time that the reply to a heartbeat is held; shorter than the timeouts of relays and nodes.
const MAX_HEARTBEAT_WAIT: Duration = Duration::from_millis(700);
/// Longest time that a read waits for a quorum confirmation; shorter than the timeouts of relays.
const MAX_READ_WAIT: Duration = Duration::from_millis(800);

/// Heartbeat whose reply is held until there are changes to report (long polling).
#[derive(Debug)]
pub(super) struct HeldHeartbeat {
    request: Box<HeartbeatRequest>,
    reply: ReplySender<HeartbeatReply>,
    until: TickTime,
}

/// Read of the routes that waits until a quorum confirms the leader.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) arrived_at: TickTime,
    pub(super) reply: ReplySender<ShowRoutesReply>,
}

fn has_updates(reply: &HeartbeatReply) -> bool {
    let is_changed = |delta: &DirectoryDelta| {
        delta.full || !delta.changed.is_empty() || !delta.removed.is_empty()
    };
    reply.routes.is_some()
        || reply.suspects.is_some()
        || reply.asks_suspects
        || reply.plans.is_some()
        || !reply.shares.is_empty()
        || reply.directory.as_ref().is_some_and(is_changed)
}

impl ReplicaThread {
    /// Returns the time since a quorum last confirmed this leader, or an error if this replica may not answer: it is not
    /// the leader, has not applied an entry of its term, or its quorum lease has expired.
    fn check_quorum_lease(&self) -> Result<Duration, Status> {
        let core = &self.parts.core;
        if core.role() != ReplicaRole::Leader {
            return Err(Status::unavailable("this replica is not the leader"));
        }
        if self.applied_term != core.term() {
            return Err(Status::unavailable("the new leader has not committed yet"));
        }
        core.quorum_age(self.now())
            .filter(|age| {
                *age <= self
                    .parts
                    .election_timeout_min
                    .mul_f64(QUORUM_LEASE_FRACTION)
            })
            .ok_or_else(|| Status::unavailable("no quorum confirmed the leader within its lease"))
    }

    /// Records the node's announcement and replies. If there is nothing to report and the node allows a wait, the reply
    /// is held.
    pub(super) fn receive_heartbeat(
        &mut self,
        request: Box<HeartbeatRequest>,
        reply: ReplySender<HeartbeatReply>,
    ) {
        let announced = self.announce(&request);
        let answer = announced.and_then(|()| self.answer_heartbeat(&request));
        match answer {
            Ok(answer) if request.wait_ms > 0 && !has_updates(&answer) => {
                let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_HEARTBEAT_WAIT);
                let until = self.now() + wait;
                self.held_heartbeats.push(HeldHeartbeat {
                    request,
                    reply,
                    until,
                });
            }
            answer => drop(reply.send(answer)),
        }
    }

    /// Replies to held heartbeats whose wait has ended, whose caller is gone, or for which there are changes.
    pub(super) fn answer_held_heartbeats(&mut self) {
        let now = self.now();
        let route_version = self.parts.state.routes().version;
        let plan_version = self.parts.state.plans().version();
        let is_due = |heartbeat: &HeldHeartbeat, tables: Option<&LeaderTables>| {
            heartbeat.until <= now
                || heartbeat.reply.is_closed()
                || heartbeat.request.route_version != route_version
                || heartbeat.request.plan_version != plan_version
                || tables.is_none_or(|tables| tables.has_updates(&heartbeat.request))
        };
        let mut position = 0;
        while position < self.held_heartbeats.len() {
            if is_due(&self.held_heartbeats[position], self.leader_tables.as_ref()) {
                let heartbeat = self.held_heartbeats.swap_remove(position);
                let answer = self.answer_heartbeat(&heartbeat.request);
                drop(heartbeat.reply.send(answer));
            } else {
                position += 1;
            }
        }
    }

    fn announce(&mut self, request: &HeartbeatRequest) -> Result<(), Status> {
        self.check_quorum_lease()?;
        let now = self.now();
        let Some(tables) = &mut self.leader_tables else {
            return Err(Status::unavailable("this replica is not the leader"));
        };
        tables.announce(now, request)
    }

    fn answer_heartbeat(&mut self, request: &HeartbeatRequest) -> Result<HeartbeatReply, Status> {
        let quorum_age = self.check_quorum_lease()?;
        let now = self.now();
        let Some(tables) = &mut self.leader_tables else {
            return Err(Status::unavailable("this replica is not the leader"));
        };
        let context = HeartbeatContext {
            now,
            quorum_age,
            plan_book: self.parts.state.plans(),
            plan_set: &self.plan_set,
            replicas: &self.replicas,
            route_version: self.parts.state.routes().version,
            route_age: now.saturating_since(self.routes_applied_at),
            leader_id: self.parts.core.own().replica_id,
        };
        let mut reply = tables.reply(request, &context)?;
        if request.route_version != reply.route_version {
            reply.routes = Some(self.parts.state.route_delta(request.route_version));
        }
        Ok(reply)
    }

    /// Answers each read of the routes once a quorum has confirmed the leader after the read arrived, and fails reads
    /// that waited too long. A lease is not sufficient here: the monotonic clock stops while a VM is suspended, so a
    /// resumed leader could take an expired lease for valid.
    pub(super) fn answer_pending_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        let now = self.now();
        let confirmed = self
            .check_quorum_lease()
            .map(|age| TickTime::from_start(now.since_start().saturating_sub(age)));
        let mut position = 0;
        while position < self.pending_reads.len() {
            let arrived_at = self.pending_reads[position].arrived_at;
            let is_fresh = confirmed.as_ref().is_ok_and(|at| *at >= arrived_at);
            let is_late = now.saturating_since(arrived_at) > MAX_READ_WAIT;
            if !is_fresh && !is_late && self.leader_tables.is_some() {
                position += 1;
                continue;
            }
            let read = self.pending_reads.swap_remove(position);
            let routes = self.parts.state.routes();
            let answer = if is_fresh {
                Ok(ShowRoutesReply {
                    version: routes.version,
                    document: routes.document.clone(),
                })
            } else {
                Err(Status::unavailable(
                    "no quorum confirmed the routes in time",
                ))
            };
            drop(read.reply.send(answer));
        }
    }

    pub(super) fn answer_show_plans(&self) -> Result<ShowReply, Status> {
        self.check_quorum_lease()?;
        Ok(ShowReply {
            plans: Some(self.plan_set.clone()),
        })
    }

    pub(super) fn answer_status(&self) -> StatusReply {
        let core = &self.parts.core;
        let tables = self.leader_tables.as_ref();
        let is_confirmed = core.role() != ReplicaRole::Leader || self.check_quorum_lease().is_ok();
        let leader = core.leader().filter(|_| is_confirmed);
        StatusReply {
            term: core.term(),
            leader_id: leader.map_or(0, |leader| leader.replica_id),
            commit_index: self.parts.state.last_index(),
            plan_version: self.parts.state.plans().version(),
            membership: Some(core.membership().clone()),
            nodes: tables.map_or_else(Vec::new, |tables| tables.statuses(self.now())),
            claims: self.parts.state.claims_len() as u64,
        }
    }

    pub(super) fn answer_proposal(&self, reply: ProposalReply, result: ApplyResult) {
        // Sending fails if the caller has cancelled the call; the result is then not needed.
        match (reply, result) {
            (ProposalReply::Apply(reply), ApplyResult::Plans(result)) => {
                let _ = reply.send(Ok(ApplyReply {
                    accepted: result.accepted,
                    version: result.version,
                    current: (!result.accepted).then(|| self.plan_set.clone()),
                    findings: Vec::new(),
                }));
            }
            (ProposalReply::Routes(reply), ApplyResult::Routes(result)) => {
                log::info!(
                    event = "routes-answered", accepted = result.accepted, version = result.version,
                    term = self.parts.core.term(); ""
                );
                let _ = reply.send(Ok(ApplyRoutesReply {
                    accepted: result.accepted,
                    version: result.version,
                }));
            }
            (ProposalReply::Claim(reply), ApplyResult::Claim { decision, holder }) => {
                let _ = reply.send(Ok(ClaimReply {
                    decision: decision.into(),
                    holder_attempt_id: Bytes::copy_from_slice(holder.as_bytes()),
                }));
            }
            (ProposalReply::Settle(reply), ApplyResult::Settled) => {
                let _ = reply.send(Ok(SettleReply {}));
            }
            (ProposalReply::Ignored, _) => {}
            (reply, _) => reply.fail(Status::internal("the command had an unexpected result")),
        }
    }

    /// Proposes to remove claims whose keys are older than the retention time, if there are any.
    pub(super) fn expire_claims(&mut self) -> Result<()> {
        let retention_ms = self.parts.claim_retention.as_millis() as u64;
        let cutoff_ms = unix_millis().saturating_sub(retention_ms);
        let oldest = self.parts.state.oldest_claim_ms();
        if self.check_quorum_lease().is_err() || oldest.is_none_or(|oldest| oldest >= cutoff_ms) {
            return Ok(());
        }
        let expire = ExpireCommand {
            created_before_ms: cutoff_ms,
        };
        let command = Command {
            change: Some(Change::Expire(expire)),
        };
        self.propose(command, ProposalReply::Ignored)
    }

    pub(super) fn report_metrics(&self) {
        let state = &self.parts.state;
        let metrics = &self.parts.metrics;
        let is_leader = self.parts.core.role() == ReplicaRole::Leader;
        // Metrics are dropped if their receiver does not keep up.
        let _ = metrics.gauge("commit_index", state.last_index());
        let _ = metrics.gauge("route_version", state.routes().version);
        let _ = metrics.gauge("held_heartbeats", self.held_heartbeats.len() as u64);
        let _ = metrics.gauge("plan_version", state.plans().version());
        let _ = metrics.gauge("claims", state.claims_len() as u64);
        let _ = metrics.gauge("is_leader", u64::from(is_leader));
        let membership = self.parts.core.membership();
        let _ = metrics.gauge("voters", membership.voters.len() as u64);
        let _ = metrics.gauge("learners", membership.learners.len() as u64);
    }
}
