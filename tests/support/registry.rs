//! Registry service whose plans, directory and claims are set by the test.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use ebonyjunction::generated::registry_server::{Registry, RegistryServer};
use ebonyjunction::generated::{
    ClaimDecision, ClaimOutcome, ClaimReply, ClaimRequest, DirectoryDelta, HeartbeatReply,
    HeartbeatRequest, NodeInfo, PlanSet, RateShare, SettleReply, SettleRequest,
};
use ebonyjunction::plans::{ListFiles, read_lists};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ClaimMode {
    #[default]
    Normal,
    Unavailable,
    /// The claim is recorded but its answer is lost.
    Lost,
}

type ClaimScope = (String, String, Vec<u8>);
type ClaimHolder = (Vec<u8>, ClaimOutcome);

#[derive(Debug, Default)]
pub struct RegistryState {
    pub plans: PlanSet,
    pub nodes: BTreeMap<Vec<u8>, NodeInfo>,
    pub revision: u64,
    pub is_silent: bool,
    pub is_fresh: bool,
    pub claim_mode: ClaimMode,
    /// Tokens granted once, for the first demand that a caller reports.
    pub deposit: u32,
    /// Rate per second of the lease that each caller gets with each heartbeat; 0 for none.
    pub lease_per_s: u32,
    granted_callers: BTreeSet<String>,
    pub claims: BTreeMap<ClaimScope, ClaimHolder>,
    pub released: BTreeSet<Vec<u8>>,
    /// Nodes and sequence numbers of the heartbeats received.
    pub sequences: Vec<(Vec<u8>, u64)>,
    pub settled: Vec<(Vec<u8>, ClaimOutcome)>,
}

#[derive(Debug, Clone)]
pub struct FakeRegistry {
    pub address: SocketAddr,
    state: Arc<Mutex<RegistryState>>,
}

impl FakeRegistry {
    /// Starts the service with the given plans and grants lists.
    pub async fn start(plans: &str, grants: &str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = RegistryState {
            is_fresh: true,
            plans: plan_set(1, plans, grants),
            ..RegistryState::default()
        };
        let registry = Self {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let server = RegistryServer::new(registry.clone());
        tokio::spawn(
            tonic::transport::Server::builder()
                .add_service(server)
                .serve_with_incoming(TcpListenerStream::new(listener)),
        );
        registry
    }

    pub fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap()
    }

    /// Replaces the plans and grants by another version.
    pub fn set_plans(&self, version: u64, plans: &str, grants: &str) {
        self.state().plans = plan_set(version, plans, grants);
    }

    /// Adds nodes that exist in the directory only.
    pub fn add_node(&self, node: NodeInfo) {
        let mut state = self.state();
        state.revision += 1;
        state.nodes.insert(node.node_id.to_vec(), node);
    }
}

pub fn plan_set(version: u64, plans: &str, grants: &str) -> PlanSet {
    let files = ListFiles {
        plans_file: "plans.toml",
        plans_text: plans,
        grants_file: "grants.toml",
        grants_text: grants,
    };
    let book = read_lists(files).unwrap().with_version(version);
    PlanSet::from(&book)
}

#[tonic::async_trait]
impl Registry for FakeRegistry {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let request = request.into_inner();
        let mut state = self.state();
        if let Some(node) = &request.node {
            let sent = (node.node_id.to_vec(), request.sequence);
            state.sequences.push(sent);
        }
        if state.is_silent {
            return Err(Status::unavailable("silent"));
        }
        if let Some(node) = request.node.filter(|node| node.target.is_some()) {
            let id = node.node_id.to_vec();
            if state.nodes.get(&id) != Some(&node) {
                state.revision += 1;
                state.nodes.insert(id, node);
            }
        }
        let is_behind = request.directory_term != 1 || request.directory_revision != state.revision;
        let directory = is_behind.then(|| DirectoryDelta {
            term: 1,
            revision: state.revision,
            full: true,
            changed: state.nodes.values().cloned().collect(),
            removed: Vec::new(),
        });
        let mut shares = Vec::new();
        for demand in request.demands {
            if state.lease_per_s > 0 {
                shares.push(RateShare {
                    caller: demand.caller.clone(),
                    rate_per_s: state.lease_per_s,
                    burst: 1,
                    valid_ms: 3_000,
                });
            }
            if state.deposit > 0
                && demand.offered_per_s > 0
                && state.granted_callers.insert(demand.caller.clone())
            {
                shares.push(RateShare {
                    caller: demand.caller,
                    rate_per_s: 0,
                    burst: state.deposit,
                    valid_ms: 1_000,
                });
            }
        }
        let version = state.plans.version;
        Ok(Response::new(HeartbeatReply {
            term: 1,
            freshness_age_ms: if state.is_fresh { 0 } else { 3_600_000 },
            plan_version: version,
            plans: (request.plan_version != version).then(|| state.plans.clone()),
            directory,
            shares,
            replicas: Vec::new(),
            route_version: 0,
            routes: None,
            leader_id: 1,
            route_age_ms: 0,
            suspects: None,
            asks_suspects: false,
            departed: Vec::new(),
        }))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let request = request.into_inner();
        let mut state = self.state();
        if state.claim_mode == ClaimMode::Unavailable {
            return Err(Status::unavailable("no leader"));
        }
        let key = request.key.unwrap();
        let attempt = request.attempt_id.to_vec();
        let scope = (key.caller, key.service, key.key.to_vec());
        let held = state.claims.get(&scope).cloned();
        let decision = match held {
            _ if state.released.contains(&attempt) => ClaimDecision::Released,
            None | Some((_, ClaimOutcome::Released)) => ClaimDecision::Granted,
            Some((_, ClaimOutcome::Done)) => ClaimDecision::AlreadyDone,
            Some((holder, _)) if holder == attempt => ClaimDecision::Granted,
            Some(_) => ClaimDecision::InProgress,
        };
        if decision == ClaimDecision::Granted {
            let entry = (attempt, ClaimOutcome::Unspecified);
            state.claims.insert(scope, entry);
        }
        if state.claim_mode == ClaimMode::Lost {
            return Err(Status::unavailable("the answer is lost"));
        }
        Ok(Response::new(ClaimReply {
            decision: decision.into(),
            holder_attempt_id: Vec::new().into(),
        }))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let request = request.into_inner();
        let outcome = request.outcome();
        let attempt = request.attempt_id.to_vec();
        let key = request.key.unwrap();
        let scope = (key.caller, key.service, key.key.to_vec());
        let mut state = self.state();
        if outcome == ClaimOutcome::Released {
            state.released.insert(attempt.clone());
        }
        if let Some(entry) = state.claims.get_mut(&scope)
            && entry.0 == attempt
        {
            entry.1 = outcome;
        }
        state.settled.push((attempt, outcome));
        Ok(Response::new(SettleReply {}))
    }
}
