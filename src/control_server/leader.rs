//! Volatile state of a leader: leases of announced targets and each node's share of the callers' rates.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tonic::Status;

use crate::directory::{DepartureTable, LeaseTable};
use crate::error::MeshError;
use crate::generated::{
    DirectoryDelta, HeartbeatReply, HeartbeatRequest, NodeStatus, PlanSet,
    RateDemand as DemandMessage, RateShare as ShareMessage, SuspectSet,
};
use crate::plans::PlanBook;
use crate::shares::{RateDemand, ShareLedger};
use crate::suspects::{ListPosition, SuspectLedger};
use crate::types::{NodeId, ServiceName, TickTime};

const MAX_RATE_DEMANDS: usize = 10_000;

/// State outside [`LeaderTables`] that a heartbeat reply is built from.
#[derive(Debug)]
pub(super) struct HeartbeatContext<'a> {
    pub(super) now: TickTime,
    pub(super) quorum_age: Duration,
    pub(super) plan_book: &'a Arc<PlanBook>,
    pub(super) plan_set: &'a PlanSet,
    pub(super) replicas: &'a [String],
    pub(super) route_version: u64,
    /// Time since this replica applied the routes.
    pub(super) route_age: Duration,
    pub(super) leader_id: u64,
}

/// Leases and rate shares of one term; a new leader starts with empty tables.
#[derive(Debug)]
pub(super) struct LeaderTables {
    term: u64,
    leases: LeaseTable,
    shares: ShareLedger,
    suspects: SuspectLedger,
    departures: DepartureTable,
}

impl LeaderTables {
    pub(super) fn new(term: u64, now: TickTime) -> Self {
        Self {
            term,
            leases: LeaseTable::new(term, now),
            shares: ShareLedger::new(now),
            suspects: SuspectLedger::new(term, now),
            departures: DepartureTable::default(),
        }
    }

    /// Records the targets that a node announces and the plan version that it uses.
    pub(super) fn announce(
        &mut self,
        now: TickTime,
        request: &HeartbeatRequest,
    ) -> Result<(), Status> {
        let node = request.node.clone().ok_or_else(missing_node_status)?;
        self.departures
            .record(now, &node.mesh_address, &request.departed);
        if let Some(held) = &request.held_suspects {
            self.suspects.inherit(now, &held.into());
        }
        if !self.asks_suspects(request) {
            for end in &request.ends {
                self.suspects.record(now, &end.into());
            }
            for digest in &request.cleared {
                self.suspects.clear((*digest).into());
            }
        }
        self.leases
            .announce(now, node, request.plan_version, request.sequence)
            .map_err(|error| invalid_argument_status(&error))
    }

    /// Builds the reply to a heartbeat from what has changed since the versions that the node holds. The caller adds the
    /// routes.
    pub(super) fn reply(
        &mut self,
        request: &HeartbeatRequest,
        context: &HeartbeatContext<'_>,
    ) -> Result<HeartbeatReply, Status> {
        let now = context.now;
        let node = request.node.as_ref().ok_or_else(missing_node_status)?;
        let node_id = NodeId::try_from(node.node_id.as_ref())
            .map_err(|error| invalid_argument_status(&error))?;
        let is_plan_outdated = request.plan_version != context.plan_book.version();
        Ok(HeartbeatReply {
            term: self.term,
            freshness_age_ms: context.quorum_age.as_millis() as u32,
            plan_version: context.plan_book.version(),
            plans: is_plan_outdated.then(|| context.plan_set.clone()),
            directory: self.directory_for(now, request),
            shares: self.renew_shares(now, node_id, &request.demands, context.plan_book)?,
            replicas: context.replicas.to_vec(),
            route_version: context.route_version,
            routes: None,
            leader_id: context.leader_id,
            route_age_ms: context.route_age.as_millis() as u64,
            suspects: self.suspects_for(now, request),
            departed: if request.asks_departed {
                self.departures.of(&node.mesh_address)
            } else {
                Vec::new()
            },
            asks_suspects: self.asks_suspects(request),
        })
    }

    /// Returns whether the directory has changed since the node's last reply.
    pub(super) fn has_updates(&self, request: &HeartbeatRequest) -> bool {
        let is_directory_behind = request.directory_term == self.term
            && request.directory_revision != self.leases.revision();
        is_directory_behind || self.is_suspect_list_behind(request) || self.asks_suspects(request)
    }

    /// Returns whether the node must hand its list of suspects over, because it includes more than this leader knows.
    fn asks_suspects(&self, request: &HeartbeatRequest) -> bool {
        request.hands_over_suspects && self.suspects.needs(held_list(request))
    }

    fn is_suspect_list_behind(&self, request: &HeartbeatRequest) -> bool {
        let latest = ListPosition {
            term: self.term,
            revision: self.suspects.revision(),
        };
        request.tracks_suspects && held_list(request) != latest
    }

    fn suspects_for(&self, now: TickTime, request: &HeartbeatRequest) -> Option<SuspectSet> {
        let is_due = self.is_suspect_list_behind(request) && !self.asks_suspects(request);
        is_due.then(|| (&self.suspects.snapshot(now)).into())
    }

    pub(super) fn expire(&mut self, now: TickTime) {
        self.leases.expire(now);
        self.shares.expire(now);
        self.suspects.expire(now);
        self.departures.expire(now);
    }

    pub(super) fn statuses(&self, now: TickTime) -> Vec<NodeStatus> {
        self.leases.statuses(now)
    }

    fn directory_for(&self, now: TickTime, request: &HeartbeatRequest) -> Option<DirectoryDelta> {
        // A node that holds the directory of an earlier term keeps it until every live node has had time to announce
        // itself, since the new directory is incomplete until then. A node without a directory has no entries to lose
        // and gets the incomplete one.
        let holds_earlier_term = request.directory_term != 0 && request.directory_term != self.term;
        if holds_earlier_term && !self.leases.is_complete(now) {
            return None;
        }
        if holds_earlier_term
            && request.all_services
            && let Some(delta) = self.leases.delta_for_digest(request.directory_digest)
        {
            return Some(delta);
        }
        let names = request.services.iter();
        let services: BTreeSet<ServiceName> = names
            .filter_map(|name| ServiceName::try_from(name.as_str()).ok())
            .collect();
        let filter = (!request.all_services).then_some(&services);
        let delta =
            self.leases
                .delta_since(request.directory_term, request.directory_revision, filter);
        Some(delta)
    }

    fn renew_shares(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demands: &[DemandMessage],
        plan_book: &PlanBook,
    ) -> Result<Vec<ShareMessage>, Status> {
        if demands.len() > MAX_RATE_DEMANDS {
            return Err(Status::invalid_argument("too many demands"));
        }
        let demands: Vec<RateDemand> = demands
            .iter()
            .map(RateDemand::try_from)
            .collect::<Result<_, MeshError>>()
            .map_err(|error| invalid_argument_status(&error))?;
        let shares = self.shares.renew(now, node_id, &demands, plan_book);
        Ok(shares.iter().map(ShareMessage::from).collect())
    }
}

/// Returns the position of the list of suspects that a node holds.
fn held_list(request: &HeartbeatRequest) -> ListPosition {
    ListPosition {
        term: request.suspect_term,
        revision: request.suspect_revision,
    }
}

fn missing_node_status() -> Status {
    Status::invalid_argument("the node is missing")
}

fn invalid_argument_status(error: &MeshError) -> Status {
    Status::invalid_argument(error.to_string())
}
