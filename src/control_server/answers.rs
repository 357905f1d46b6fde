//! Answers of the replica thread to nodes and operators.

use std::time::Duration;

use cadence::prelude::*;
use tonic::Status;

use bytes::Bytes;

use crate::consensus::ReplicaRole;
use crate::control_state::ApplyResult;
use crate::error::Result;
use crate::generated::command::Change;
use crate::generated::{
    ApplyReply, ClaimReply, Command, ExpireCommand, HeartbeatReply, HeartbeatRequest, SettleReply,
    ShowReply, StatusReply,
};

use super::clock::unix_millis;
use super::leader::HeartbeatContext;
use super::replica::ReplicaThread;
use super::requests::ProposalReply;

// Below the shortest election timeout (300 ms), so that no other leader can have been elected meanwhile.
const QUORUM_LEASE: Duration = Duration::from_millis(250);

impl ReplicaThread {
    /// Returns how long ago a quorum confirmed this leader, if that is recent enough to answer.
    fn confirmed_age(&self) -> Result<Duration, Status> {
        let core = &self.parts.core;
        if core.role() != ReplicaRole::Leader {
            return Err(Status::unavailable("this replica is not the leader"));
        }
        if self.applied_term != core.term() {
            return Err(Status::unavailable("the new leader has not committed yet"));
        }
        core.quorum_age(self.now())
            .filter(|age| *age <= QUORUM_LEASE)
            .ok_or_else(|| Status::unavailable("no quorum confirmed the leader within its lease"))
    }

    pub(super) fn answer_heartbeat(
        &mut self,
        request: &HeartbeatRequest,
    ) -> Result<HeartbeatReply, Status> {
        let quorum_age = self.confirmed_age()?;
        let now = self.now();
        let Some(tables) = &mut self.tables else {
            return Err(Status::unavailable("this replica is not the leader"));
        };
        let context = HeartbeatContext {
            now,
            quorum_age,
            book: self.parts.state.plans(),
            plan_set: &self.plan_set,
            replicas: &self.replicas,
        };
        tables.heartbeat(request, &context)
    }

    pub(super) fn answer_show(&self) -> Result<ShowReply, Status> {
        self.confirmed_age()?;
        Ok(ShowReply {
            plans: Some(self.plan_set.clone()),
        })
    }

    pub(super) fn answer_status(&self) -> StatusReply {
        let core = &self.parts.core;
        let tables = self.tables.as_ref();
        let is_confirmed = core.role() != ReplicaRole::Leader || self.confirmed_age().is_ok();
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
        // A handler whose caller went away no longer listens.
        match (reply, result) {
            (ProposalReply::Apply(reply), ApplyResult::Plans(result)) => {
                let _ = reply.send(Ok(ApplyReply {
                    accepted: result.accepted,
                    version: result.version,
                    current: (!result.accepted).then(|| self.plan_set.clone()),
                    findings: Vec::new(),
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
            (ProposalReply::Nobody, _) => {}
            (reply, _) => reply.fail(Status::internal("the command had an unexpected result")),
        }
    }

    /// Proposes the removal of claims that are older than the retention, if there are any.
    pub(super) fn expire_claims(&mut self) -> Result<()> {
        let retention_ms = self.parts.claim_retention.as_millis() as u64;
        let bound = unix_millis().saturating_sub(retention_ms);
        let oldest = self.parts.state.oldest_claim_ms();
        if self.confirmed_age().is_err() || oldest.is_none_or(|oldest| oldest >= bound) {
            return Ok(());
        }
        let expire = ExpireCommand {
            created_before_ms: bound,
        };
        let command = Command {
            change: Some(Change::Expire(expire)),
        };
        self.propose(command, ProposalReply::Nobody)
    }

    pub(super) fn report_metrics(&self) {
        let state = &self.parts.state;
        let metrics = &self.parts.metrics;
        let is_leader = self.parts.core.role() == ReplicaRole::Leader;
        // Metrics are dropped when their receiver does not keep up.
        let _ = metrics.gauge("commit_index", state.last_index());
        let _ = metrics.gauge("plan_version", state.plans().version());
        let _ = metrics.gauge("claims", state.claims_len() as u64);
        let _ = metrics.gauge("is_leader", u64::from(is_leader));
    }
}
