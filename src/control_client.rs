//! Node and operator side of the control services, with rotation over the replicas.

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

use channels::{ChannelTable, is_permanent};
pub(crate) use channels::{MeshChannel, TokenInterceptor, mesh_endpoint};

/// Metadata key that carries the mesh token.
pub const MESH_TOKEN_KEY: &str = "ebj-mesh-token";
/// Largest message that replicas, nodes and operators accept.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

const HEARTBEAT_BOUND: Duration = Duration::from_secs(1);
const SETTLE_BOUND: Duration = Duration::from_secs(3);
const OPERATOR_BOUND: Duration = Duration::from_secs(10);
// A replica that does not answer within this time is given up for the next one.
const TRY_BOUND: Duration = Duration::from_secs(1);
const OPERATOR_TRY_BOUND: Duration = Duration::from_millis(1_500);
// Covers an election without a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Client of the control replicas; clones share connections and the replica in use.
#[derive(Debug, Clone)]
pub struct ControlClient {
    channels: Arc<ChannelTable>,
}

#[derive(Debug, Clone, Copy)]
struct CallBounds {
    total: Duration,
    each: Duration,
}

impl ControlClient {
    /// Creates a client that connects at the first call; it starts with a random replica.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the client takes over the settings that it is built from"
    )]
    pub fn new(addresses: Vec<SocketAddr>, token: MeshToken) -> Self {
        let channels = Arc::new(ChannelTable::new(addresses, &token));
        Self { channels }
    }

    /// Replaces the addresses of the settings.
    pub fn configure(&self, addresses: Vec<SocketAddr>) {
        self.channels.configure(addresses);
    }

    /// Adopts the replicas that a heartbeat reply names; those of the settings stay in use too.
    pub fn adopt_replicas(&self, reported: &[String]) {
        let mut addresses = Vec::with_capacity(reported.len());
        for raw in reported {
            match raw.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => log::warn!("event=replica_address_malformed address={raw:?}"),
            }
        }
        self.channels.adopt(&addresses);
    }

    /// Sends a heartbeat; a failed replica is replaced by the next one within one second.
    pub async fn heartbeat(&self, request: HeartbeatRequest) -> Result<HeartbeatReply> {
        let bounds = CallBounds {
            total: HEARTBEAT_BOUND,
            each: HEARTBEAT_BOUND,
        };
        self.call(bounds, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).heartbeat(request).await }
        })
        .await
    }

    /// Claims an idempotency key for an attempt. A resend of the same attempt is safe.
    pub async fn claim(&self, request: ClaimRequest, within: Duration) -> Result<ClaimReply> {
        let bounds = CallBounds {
            total: within,
            each: TRY_BOUND,
        };
        self.call(bounds, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).claim(request).await }
        })
        .await
    }

    /// Reports how the attempt that holds a claim ended.
    pub async fn settle(&self, request: SettleRequest) -> Result<()> {
        let bounds = CallBounds {
            total: SETTLE_BOUND,
            each: TRY_BOUND,
        };
        self.call(bounds, |channel| {
            let request = Request::new(request.clone());
            async move { registry(channel).settle(request).await }
        })
        .await
        .map(|_| ())
    }

    /// Proposes new lists; a resend of the same change id gets the first result.
    pub async fn apply_plans(&self, request: ApplyRequest) -> Result<ApplyReply> {
        self.call(operator_bounds(), |channel| {
            let request = Request::new(request.clone());
            async move { operator(channel).apply_plans(request).await }
        })
        .await
    }

    /// Returns the lists in force.
    pub async fn show_plans(&self) -> Result<ShowReply> {
        self.call(operator_bounds(), |channel| async move {
            let request = Request::new(ShowRequest { relayed: false });
            operator(channel).show_plans(request).await
        })
        .await
    }

    /// Returns the state of replicas and nodes.
    pub async fn status(&self) -> Result<StatusReply> {
        self.call(operator_bounds(), |channel| async move {
            let request = Request::new(StatusRequest { relayed: false });
            operator(channel).status(request).await
        })
        .await
    }

    async fn call<T, F>(&self, bounds: CallBounds, send: impl Fn(MeshChannel) -> F) -> Result<T>
    where
        F: Future<Output = std::result::Result<Response<T>, Status>>,
    {
        let deadline = Instant::now() + bounds.total;
        let mut last_error = "no address is configured".to_owned();
        while let Some((used, channel)) = self.channels.current() {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            let bound = time_left.min(bounds.each);
            let address = used.address;
            match timeout(bound, send(channel)).await {
                Ok(Ok(response)) => return Ok(response.into_inner()),
                Ok(Err(status)) if is_permanent(&status) => {
                    return Err(MeshError::Control(describe(address, &status)));
                }
                Ok(Err(status)) => {
                    last_error = describe(address, &status);
                    self.channels.rotate(used, false);
                }
                Err(_) => {
                    last_error = format!("{address}: no answer within {} ms", bound.as_millis());
                    self.channels.rotate(used, true);
                }
            }
            sleep(RETRY_PAUSE.min(deadline.saturating_duration_since(Instant::now()))).await;
        }
        Err(MeshError::ControlUnavailable(last_error))
    }
}

const fn operator_bounds() -> CallBounds {
    CallBounds {
        total: OPERATOR_BOUND,
        each: OPERATOR_TRY_BOUND,
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
