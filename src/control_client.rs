//! Client of the control services for nodes and operators. On a failure it retries with the next replica.

mod channels;
mod hedged;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tonic::{Request, Response, Status};

use crate::config::MeshToken;
use crate::environment::ProcessEnvironment;
use crate::error::{MeshError, Result};
use crate::generated::operator_client::OperatorClient;
use crate::generated::registry_client::RegistryClient;
use crate::generated::{
    ApplyReply, ApplyRequest, ClaimReply, ClaimRequest, HeartbeatReply, HeartbeatRequest,
    SettleRequest, ShowReply, ShowRequest, StatusReply, StatusRequest,
};

use channels::{ChannelTable, is_permanent_failure};
pub(crate) use channels::{MeshChannel, TokenInterceptor, mesh_endpoint};
use hedged::{AskedReplica, PendingCalls};

/// Metadata key that carries the mesh token.
pub const MESH_TOKEN_KEY: &str = "ebj-mesh-token";
/// Largest message that replicas, nodes and operators accept.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Time within which a failed heartbeat is sent to another replica.
const HEARTBEAT_RETRY_TIME: Duration = Duration::from_secs(1);
/// Time after which a heartbeat is sent to another replica too, beyond the time for which the leader may hold its reply.
const HEARTBEAT_HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Time after which a replica that has not answered a heartbeat counts as lost. It covers a reply that is held and waits at a
/// busy link in both directions.
const HEARTBEAT_PATIENCE: Duration = Duration::from_secs(3);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
const HEDGE_DELAY: Duration = Duration::from_millis(500);
const OPERATOR_HEDGE_DELAY: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a connection counts as silent if another replica has answered.
const SILENT_TIME: Duration = Duration::from_secs(1);
// Avoids a busy loop while the replicas elect a leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client of the control replicas. Clones share the connections and the currently selected replica.
#[derive(Debug, Clone)]
pub struct ControlClient {
    channels: Arc<ChannelTable>,
}

/// Message of a replica.
#[derive(Debug)]
pub struct ReplicaReply<T> {
    /// Replica that was called; it may have relayed the call to the leader.
    pub address: SocketAddr,
    /// The message.
    pub message: T,
}

#[derive(Debug, Clone, Copy)]
struct CallTimeouts {
    /// Time within which a failed call is repeated.
    retry: Duration,
    /// Time for which the first replica may hold its answer.
    hold: Duration,
    /// Time beyond it after which another replica is asked too.
    hedge_delay: Duration,
    /// Time after which the call ends without an answer.
    total: Duration,
}

impl CallTimeouts {
    const fn within(total: Duration, hedge_delay: Duration) -> Self {
        Self {
            retry: total,
            hold: Duration::ZERO,
            hedge_delay,
            total,
        }
    }
}

impl ControlClient {
    /// Creates a client that connects on the first call and starts with a random replica.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the client takes over the settings that it is built from"
    )]
    pub fn new(addresses: Vec<SocketAddr>, token: MeshToken) -> Self {
        Self::new_in(&ProcessEnvironment::default(), addresses, &token)
    }

    /// Creates a client that uses the given environment.
    pub fn new_in(
        environment: &ProcessEnvironment,
        addresses: Vec<SocketAddr>,
        token: &MeshToken,
    ) -> Self {
        let channels = Arc::new(ChannelTable::new(addresses, token, environment));
        Self { channels }
    }

    /// Replaces the configured replica addresses.
    pub fn configure(&self, addresses: Vec<SocketAddr>) {
        self.channels.configure(addresses);
    }

    /// Replaces the reported replicas by those of a heartbeat reply. The configured replicas stay in use.
    pub fn adopt_replicas(&self, reported: &[String]) {
        let mut addresses = Vec::with_capacity(reported.len());
        for raw in reported {
            match raw.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => log::warn!("event=replica_address_malformed address={raw:?}"),
            }
        }
        self.channels.merge_reported(&addresses);
    }

    /// Sends a heartbeat. If a replica fails, or does not answer soon, the next one is asked as well; the first answer
    /// counts. Only the first replica asked may hold its answer, so that the others show at once whether they work.
    pub async fn heartbeat(
        &self,
        request: HeartbeatRequest,
    ) -> Result<ReplicaReply<HeartbeatReply>> {
        let timeouts = CallTimeouts {
            retry: HEARTBEAT_RETRY_TIME,
            hold: Duration::from_millis(request.wait_ms.into()),
            hedge_delay: HEARTBEAT_HEDGE_DELAY,
            total: HEARTBEAT_PATIENCE,
        };
        self.call_replica(timeouts, |channel, is_first| {
            let mut request = request.clone();
            if !is_first {
                request.wait_ms = 0;
            }
            async move { registry(channel).heartbeat(Request::new(request)).await }
        })
        .await
    }

    /// Claims an idempotency key for an attempt within the given time. Repeating the claim of an attempt is safe.
    pub async fn claim(&self, request: ClaimRequest, within: Duration) -> Result<ClaimReply> {
        let timeouts = CallTimeouts::within(within, HEDGE_DELAY);
        self.call(timeouts, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).claim(request).await }
        })
        .await
    }

    /// Reports the outcome of the attempt that holds a claim.
    pub async fn settle(&self, request: SettleRequest) -> Result<()> {
        let timeouts = CallTimeouts::within(SETTLE_TIMEOUT, HEDGE_DELAY);
        self.call(timeouts, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).settle(request).await }
        })
        .await
        .map(|_| ())
    }

    /// Proposes new plans. A resent change id gets the result of the first application.
    pub async fn apply_plans(&self, request: ApplyRequest) -> Result<ApplyReply> {
        self.call(operator_timeouts(), |channel| {
            let request = Request::new(request.clone());
            async move { operator(channel).apply_plans(request).await }
        })
        .await
    }

    /// Returns the current plans.
    pub async fn show_plans(&self) -> Result<ShowReply> {
        self.call(operator_timeouts(), |channel| async move {
            let request = Request::new(ShowRequest { relayed: false });
            operator(channel).show_plans(request).await
        })
        .await
    }

    /// Returns the state of replicas and nodes.
    pub async fn status(&self) -> Result<StatusReply> {
        self.call(operator_timeouts(), |channel| async move {
            let request = Request::new(StatusRequest { relayed: false });
            operator(channel).status(request).await
        })
        .await
    }

    async fn call<T, F>(&self, timeouts: CallTimeouts, send: impl Fn(MeshChannel) -> F) -> Result<T>
    where
        T: Send + 'static,
        F: Future<Output = std::result::Result<Response<T>, Status>> + Send + 'static,
    {
        let reply = self
            .call_replica(timeouts, |channel, _| send(channel))
            .await;
        reply.map(|reply| reply.message)
    }

    /// Calls `send` with a channel, and whether it is the first one of this call, until a replica answers.
    async fn call_replica<T, F>(
        &self,
        timeouts: CallTimeouts,
        send: impl Fn(MeshChannel, bool) -> F,
    ) -> Result<ReplicaReply<T>>
    where
        T: Send + 'static,
        F: Future<Output = std::result::Result<Response<T>, Status>> + Send + 'static,
    {
        let began_at = Instant::now();
        let (retry_until, deadline) = (began_at + timeouts.retry, began_at + timeouts.total);
        let mut calls = PendingCalls::new();
        let mut is_first = true;
        let mut ask_at = began_at;
        let mut last_error = "no replica answered in time".to_owned();
        loop {
            let end_at = if calls.is_empty() {
                retry_until
            } else {
                deadline
            };
            tokio::select! {
                biased;
                Some(end) = calls.next_end() => {
                    let address = end.asked.channel.address;
                    match end.result {
                        Ok(message) => {
                            self.channels.select(&end.asked.channel);
                            let mut unanswered = calls.into_unanswered();
                            unanswered.retain(|asked| asked.asked_at.elapsed() >= SILENT_TIME);
                            self.discard(unanswered, "another one answered");
                            return Ok(ReplicaReply { address, message });
                        }
                        Err(status) => {
                            last_error = describe(address, &status);
                            self.channels.rotate(&end.asked.channel, false);
                            log_replica_left(&end.asked, &last_error);
                            if is_permanent_failure(&status) {
                                return Err(MeshError::Control(last_error));
                            }
                            ask_at = ask_at.min(Instant::now() + RETRY_DELAY);
                        }
                    }
                }
                () = sleep_until(end_at) => break,
                () = sleep_until(ask_at), if calls.has_room() => {
                    if let Some(slow) = calls.latest() {
                        self.channels.rotate(slow, true);
                    }
                    let Some(channel) = self.channels.current() else {
                        "no address is configured".clone_into(&mut last_error);
                        break;
                    };
                    ask_at = Instant::now() + timeouts.hedge_delay;
                    if is_first {
                        ask_at += timeouts.hold;
                    }
                    if !calls.contains(&channel) {
                        let call = send(self.channels.service(&channel), is_first);
                        calls.start(channel, call);
                        is_first = false;
                    }
                }
            }
        }
        self.discard(calls.into_unanswered(), "no answer");
        Err(MeshError::ControlUnavailable(last_error))
    }

    /// Discards the channels of replicas that have not answered, since their connections may be silent.
    fn discard(&self, unanswered: Vec<AskedReplica>, reason: &str) {
        for asked in unanswered {
            self.channels.rotate(&asked.channel, true);
            log_replica_left(&asked, reason);
        }
    }
}

fn log_replica_left(asked: &AskedReplica, reason: &str) {
    log::info!(
        "event=replica_left replica={} span_ms={} error={reason:?}",
        asked.channel.address,
        asked.asked_at.elapsed().as_millis()
    );
}

const fn operator_timeouts() -> CallTimeouts {
    CallTimeouts::within(OPERATOR_TIMEOUT, OPERATOR_HEDGE_DELAY)
}

fn registry(channel: MeshChannel) -> RegistryClient<MeshChannel> {
    RegistryClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn operator(channel: MeshChannel) -> OperatorClient<MeshChannel> {
    OperatorClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn describe(address: SocketAddr, status: &Status) -> String {
    format!("{address}: {:?}: {}", status.code(), status.message())
}
