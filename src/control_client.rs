//! Client of the control services for nodes and operators. On a failure it retries with the next replica.

mod channels;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tonic::{Request, Response, Status};

use crate::config::MeshToken;
use crate::error::{MeshError, Result};
use crate::generated::operator_client::OperatorClient;
use crate::generated::registry_client::RegistryClient;
use crate::generated::{
    ApplyReply, ApplyRequest, ClaimReply, ClaimRequest, HeartbeatReply, HeartbeatRequest,
    SettleRequest, ShowReply, ShowRequest, StatusReply, StatusRequest,
};

use channels::{ChannelTable, is_permanent_failure};
pub(crate) use channels::{MeshChannel, TokenInterceptor, mesh_endpoint};

/// Metadata key that carries the mesh token.
pub const MESH_TOKEN_KEY: &str = "ebj-mesh-token";
/// Largest message that replicas, nodes and operators accept.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
// A call that a replica does not answer within this time is retried with the next replica.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);
const OPERATOR_TRY_TIMEOUT: Duration = Duration::from_millis(1_500);
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
    total: Duration,
    per_try: Duration,
    /// Whether a try that begins within `total` gets all of `per_try`.
    has_whole_tries: bool,
}

impl ControlClient {
    /// Creates a client that connects on the first call and starts with a random replica.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the client takes over the settings that it is built from"
    )]
    pub fn new(addresses: Vec<SocketAddr>, token: MeshToken) -> Self {
        let channels = Arc::new(ChannelTable::new(addresses, &token));
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

    /// Sends a heartbeat. If a replica fails within a second, the next one is tried. Each has a second to answer, however late
    /// the one before it failed: the leader may hold its answer back for most of that time, so that with less a sound
    /// replica would look lost.
    pub async fn heartbeat(
        &self,
        request: HeartbeatRequest,
    ) -> Result<ReplicaReply<HeartbeatReply>> {
        let timeouts = CallTimeouts {
            total: HEARTBEAT_TIMEOUT,
            per_try: HEARTBEAT_TIMEOUT,
            has_whole_tries: true,
        };
        self.call_replica(timeouts, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).heartbeat(request).await }
        })
        .await
    }

    /// Claims an idempotency key for an attempt within the given time. Repeating the claim of an attempt is safe.
    pub async fn claim(&self, request: ClaimRequest, within: Duration) -> Result<ClaimReply> {
        let timeouts = CallTimeouts {
            total: within,
            per_try: TRY_TIMEOUT,
            has_whole_tries: false,
        };
        self.call(timeouts, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).claim(request).await }
        })
        .await
    }

    /// Reports the outcome of the attempt that holds a claim.
    pub async fn settle(&self, request: SettleRequest) -> Result<()> {
        let timeouts = CallTimeouts {
            total: SETTLE_TIMEOUT,
            per_try: TRY_TIMEOUT,
            has_whole_tries: false,
        };
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
        F: Future<Output = std::result::Result<Response<T>, Status>>,
    {
        let reply = self.call_replica(timeouts, send).await;
        reply.map(|reply| reply.message)
    }

    async fn call_replica<T, F>(
        &self,
        timeouts: CallTimeouts,
        send: impl Fn(MeshChannel) -> F,
    ) -> Result<ReplicaReply<T>>
    where
        F: Future<Output = std::result::Result<Response<T>, Status>>,
    {
        let deadline = Instant::now() + timeouts.total;
        let mut last_error = "no address is configured".to_owned();
        while let Some((used_channel, channel)) = self.channels.current() {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            let try_timeout = if timeouts.has_whole_tries {
                timeouts.per_try
            } else {
                time_left.min(timeouts.per_try)
            };
            let address = used_channel.address;
            let tried_at = Instant::now();
            match timeout(try_timeout, send(channel)).await {
                Ok(Ok(response)) => {
                    let message = response.into_inner();
                    return Ok(ReplicaReply { address, message });
                }
                Ok(Err(status)) if is_permanent_failure(&status) => {
                    return Err(MeshError::Control(describe(address, &status)));
                }
                Ok(Err(status)) => {
                    last_error = describe(address, &status);
                    self.channels.rotate(used_channel, false);
                }
                Err(_) => {
                    last_error =
                        format!("{address}: no answer within {} ms", try_timeout.as_millis());
                    self.channels.rotate(used_channel, true);
                }
            }
            log::info!(
                "event=replica_left replica={address} span_ms={} error={last_error:?}",
                tried_at.elapsed().as_millis()
            );
            sleep(RETRY_DELAY.min(deadline.saturating_duration_since(Instant::now()))).await;
        }
        Err(MeshError::ControlUnavailable(last_error))
    }
}

const fn operator_timeouts() -> CallTimeouts {
    CallTimeouts {
        total: OPERATOR_TIMEOUT,
        per_try: OPERATOR_TRY_TIMEOUT,
        has_whole_tries: false,
    }
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
