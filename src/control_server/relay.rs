//! Registry and operator services. A replica that is not the leader relays each call to the leader. A relayed call is
//! not relayed again.

use std::time::Duration;

use tokio::sync::watch;
use tonic::{Request, Response, Status};

use crate::control_client::{MAX_MESSAGE_BYTES, MeshChannel};
use crate::control_state::check_claim;
use crate::error::MeshError;
use crate::generated::command::Change;
use crate::generated::operator_client::OperatorClient;
use crate::generated::operator_server::Operator;
use crate::generated::registry_client::RegistryClient;
use crate::generated::registry_server::Registry;
use crate::generated::{
    ApplyReply, ApplyRequest, ApplyRoutesReply, ApplyRoutesRequest, ClaimCommand, ClaimReply,
    ClaimRequest, Command, HeartbeatReply, HeartbeatRequest, PlanChange, ReplicaInfo, RouteChange,
    SettleCommand, SettleReply, SettleRequest, ShowReply, ShowRequest, ShowRoutesReply,
    StatusReply, StatusRequest,
};
use crate::plans::PlanBook;
use crate::routes::{RouteBook, document_digest};

use super::links::ReplicaChannels;
use super::requests::{InputSender, ProposalReply, ReplicaInput};
use crate::clock::unix_millis;

// Shorter than the timeouts of clients, so that a client receives the reason why a relayed call failed.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for a relayed heartbeat. The leader may hold its reply for about half of it. Nodes ask another replica sooner.
const HEARTBEAT_RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time, beyond that for which the leader may hold its reply, after which a heartbeat is relayed again on a new connection.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(300);
const OPERATOR_RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_CHANGE_ID_BYTES: usize = 64;
// Largest accepted difference between a key's creation time and the replica's clock. A key from further in the future
// would be kept long after its work is done. The clocks of nodes and replicas differ by less.
const MAX_KEY_CLOCK_SKEW_MS: u64 = 300_000;

/// Leader that calls are currently sent to.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct LeaderView {
    /// Whether this replica is the leader.
    pub(super) is_local: bool,
    /// The leader, if one is known.
    pub(super) leader: Option<ReplicaInfo>,
}

/// Handlers of the registry and operator services.
#[derive(Debug, Clone)]
pub(super) struct MeshService {
    pub(super) inputs: InputSender,
    pub(super) leader_view: watch::Receiver<LeaderView>,
    pub(super) links: ReplicaChannels,
}

impl MeshService {
    /// Returns the leader's address if the call must be relayed, or `None` if this replica is the leader. On other
    /// replicas, fails if no leader is known or the call was relayed before.
    fn relay_address(&self, is_relayed: bool) -> Result<Option<String>, Status> {
        let leader_view = self.leader_view.borrow();
        if leader_view.is_local {
            return Ok(None);
        }
        match &leader_view.leader {
            Some(leader) if !is_relayed => Ok(Some(leader.address.clone())),
            Some(_) => Err(Status::unavailable("this replica is not the leader")),
            None => Err(Status::unavailable("no leader is known")),
        }
    }

    /// Waits until the replica at `address` no longer counts as the leader.
    async fn wait_leader_change(&self, address: &str) {
        let mut leader_view = self.leader_view.clone();
        let is_changed = |view: &LeaderView| {
            let leader = view.leader.as_ref();
            leader.is_none_or(|leader| leader.address != address)
        };
        // The view has no sender any more while the process stops.
        let _ = leader_view.wait_for(is_changed).await;
    }

    async fn propose<T>(
        &self,
        change: Change,
        reply: impl FnOnce(super::requests::ReplySender<T>) -> ProposalReply,
    ) -> Result<T, Status> {
        let command = Command {
            change: Some(change),
        };
        self.inputs
            .ask(|sender| ReplicaInput::Propose {
                command,
                reply: reply(sender),
            })
            .await
    }
}

#[tonic::async_trait]
impl Registry for MeshService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let mut request = request.into_inner();
        let Some(address) = self.relay_address(request.relayed)? else {
            let request = Box::new(request);
            let ask = |reply| ReplicaInput::Heartbeat { request, reply };
            return self.inputs.ask(ask).await.map(Response::new);
        };
        request.relayed = true;
        let hold = Duration::from_millis(request.wait_ms.into());
        let limits = [hold + HEARTBEAT_RETRY_DELAY, HEARTBEAT_RELAY_TIMEOUT];
        let call = |channel| {
            let request = request.clone();
            async move { registry(channel).heartbeat(request).await }
        };
        tokio::select! {
            reply = self.links.call_twice(&address, limits, call) => reply.map(Response::new),
            () = self.wait_leader_change(&address) => Err(Status::unavailable("the leader changed")),
        }
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let mut request = request.into_inner();
        let key = check_claim(request.key.as_ref(), &request.attempt_id)
            .map_err(invalid_argument_status)?;
        if key.created_ms() > unix_millis().saturating_add(MAX_KEY_CLOCK_SKEW_MS) {
            return Err(Status::invalid_argument(
                "the idempotency key was created in the future",
            ));
        }
        let Some(address) = self.relay_address(request.relayed)? else {
            let change = Change::Claim(ClaimCommand {
                key: request.key,
                attempt_id: request.attempt_id,
            });
            return self
                .propose(change, ProposalReply::Claim)
                .await
                .map(Response::new);
        };
        request.relayed = true;
        let call = |channel| async move { registry(channel).claim(request).await };
        let reply = self.links.call(&address, RELAY_TIMEOUT, call).await?;
        Ok(Response::new(reply))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let mut request = request.into_inner();
        check_claim(request.key.as_ref(), &request.attempt_id).map_err(invalid_argument_status)?;
        let Some(address) = self.relay_address(request.relayed)? else {
            let change = Change::Settle(SettleCommand {
                key: request.key,
                attempt_id: request.attempt_id,
                outcome: request.outcome,
            });
            return self
                .propose(change, ProposalReply::Settle)
                .await
                .map(Response::new);
        };
        request.relayed = true;
        let call = |channel| async move { registry(channel).settle(request).await };
        let reply = self.links.call(&address, RELAY_TIMEOUT, call).await?;
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl Operator for MeshService {
    async fn apply_plans(
        &self,
        request: Request<ApplyRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let mut request = request.into_inner();
        if let Some(findings) = validate_plan_change(&request)? {
            return Ok(Response::new(ApplyReply {
                findings,
                ..ApplyReply::default()
            }));
        }
        let Some(address) = self.relay_address(request.relayed)? else {
            let change = Change::Plans(PlanChange {
                change_id: request.change_id,
                base_version: request.base_version,
                plans: request.plans,
            });
            return self
                .propose(change, ProposalReply::Apply)
                .await
                .map(Response::new);
        };
        request.relayed = true;
        let call = |channel| async move { operator(channel).apply_plans(request).await };
        let reply = self
            .links
            .call(&address, OPERATOR_RELAY_TIMEOUT, call)
            .await?;
        Ok(Response::new(reply))
    }

    async fn apply_routes(
        &self,
        request: Request<ApplyRoutesRequest>,
    ) -> Result<Response<ApplyRoutesReply>, Status> {
        let mut request = request.into_inner();
        let Some(routes) = &request.routes else {
            return Err(Status::invalid_argument("the routes are missing"));
        };
        RouteBook::try_from(routes).map_err(invalid_argument_status)?;
        let Some(address) = self.relay_address(request.relayed)? else {
            let change = Change::Routes(RouteChange {
                base_version: request.base_version,
                digest: document_digest(&routes.document).into(),
                routes: request.routes,
            });
            return self
                .propose(change, ProposalReply::Routes)
                .await
                .map(Response::new);
        };
        request.relayed = true;
        let call = |channel| async move { operator(channel).apply_routes(request).await };
        let reply = self
            .links
            .call(&address, OPERATOR_RELAY_TIMEOUT, call)
            .await?;
        Ok(Response::new(reply))
    }

    async fn show_routes(
        &self,
        request: Request<ShowRequest>,
    ) -> Result<Response<ShowRoutesReply>, Status> {
        let Some(address) = self.relay_address(request.into_inner().relayed)? else {
            let ask = |reply| ReplicaInput::ShowRoutes { reply };
            return self.inputs.ask(ask).await.map(Response::new);
        };
        let request = ShowRequest { relayed: true };
        let call = |channel| async move { operator(channel).show_routes(request).await };
        let reply = self
            .links
            .call(&address, OPERATOR_RELAY_TIMEOUT, call)
            .await?;
        Ok(Response::new(reply))
    }

    async fn show_plans(
        &self,
        request: Request<ShowRequest>,
    ) -> Result<Response<ShowReply>, Status> {
        let Some(address) = self.relay_address(request.into_inner().relayed)? else {
            let ask = |reply| ReplicaInput::ShowPlans { reply };
            return self.inputs.ask(ask).await.map(Response::new);
        };
        let request = ShowRequest { relayed: true };
        let call = |channel| async move { operator(channel).show_plans(request).await };
        let reply = self
            .links
            .call(&address, OPERATOR_RELAY_TIMEOUT, call)
            .await?;
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let is_relayed = request.into_inner().relayed;
        if let Ok(Some(address)) = self.relay_address(is_relayed) {
            let request = StatusRequest { relayed: true };
            let call = |channel| async move { operator(channel).status(request).await };
            if let Ok(reply) = self.links.call(&address, RELAY_TIMEOUT, call).await {
                return Ok(Response::new(reply));
            }
        }
        // If no leader is known or it cannot be reached, the operator still receives the state of this replica.
        let ask = |reply| ReplicaInput::Status { reply };
        self.inputs.ask(ask).await.map(Response::new)
    }
}

/// Validates a change of the plans before it is proposed. Returns the findings if its plans are invalid.
fn validate_plan_change(request: &ApplyRequest) -> Result<Option<Vec<String>>, Status> {
    let id = &request.change_id;
    if id.is_empty() || id.len() > MAX_CHANGE_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic())
    {
        let detail = format!("the change id must have 1 to {MAX_CHANGE_ID_BYTES} characters");
        return Err(Status::invalid_argument(detail));
    }
    let Some(plans) = &request.plans else {
        return Err(Status::invalid_argument("the lists are missing"));
    };
    match PlanBook::try_from(plans) {
        Ok(_) => Ok(None),
        Err(MeshError::Findings(list)) => Ok(Some(list.iter().map(ToString::to_string).collect())),
        Err(error) => Err(invalid_argument_status(error)),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as the function of map_err"
)]
fn invalid_argument_status(error: MeshError) -> Status {
    Status::invalid_argument(error.to_string())
}

fn registry(channel: MeshChannel) -> RegistryClient<MeshChannel> {
    RegistryClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

fn operator(channel: MeshChannel) -> OperatorClient<MeshChannel> {
    OperatorClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}
