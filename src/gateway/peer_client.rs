//! Connections to other nodes: one HTTP/2 connection for each, shared by all requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{Method, Request};
use http_body_util::Full;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;
use uuid::Uuid;

use crate::config::MeshToken;
use crate::control_client::MESH_TOKEN_KEY;
use crate::types::{AttemptId, NodeId, RefusalReason};

use super::answer::AttemptResult;
use super::body::read_whole;
use super::hop::{HopReply, HopRequest, decode_reply};
use super::memory::MemoryPool;
use super::state::lock;

/// Time limit for connecting to another node. A round trip between regions takes 24 ms. A lost SYN is only repeated after
/// a second, so another target is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of pings. They detect a connection that no longer responds, and are sent only while requests are pending on it.
const PING_INTERVAL: Duration = Duration::from_millis(700);
const PING_TIMEOUT: Duration = Duration::from_millis(700);
const WINDOW_BYTES: u32 = 1024 * 1024;
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);
/// Path prefix for cancelling an attempt; `NODE_ID/ATTEMPT_ID` follows. The node id identifies one run of the node.
pub(super) const CANCEL_PATH: &str = "/ebonyjunction/v1/attempts/";

#[derive(Debug, Clone)]
struct PeerConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: Arc<AbortOnDropHandle<()>>,
}

/// Failure to get an answer from another node.
#[derive(Debug)]
enum ExchangeFailure {
    /// The connection had closed before any byte of the request was written.
    Unsent,
    /// The connection failed; the node may have received the request.
    Broken(String),
}

/// Connections to other nodes by address.
#[derive(Debug)]
pub(super) struct PeerClient {
    token: Option<HeaderValue>,
    memory: MemoryPool,
    links: Mutex<BTreeMap<SocketAddr, Arc<tokio::sync::Mutex<Option<PeerConnection>>>>>,
}

impl PeerClient {
    pub(super) fn new(token: &MeshToken, memory: MemoryPool) -> Self {
        Self {
            token: HeaderValue::from_str(token.as_str()).ok(),
            memory,
            links: Mutex::default(),
        }
    }

    /// Drops connections to nodes that the directory no longer lists.
    pub(super) fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        lock(&self.links).retain(|address, _| is_listed(*address));
    }

    /// Sends an attempt and reads the result. Dropping the future cancels it at the other node.
    pub(super) async fn send(&self, address: SocketAddr, hop: &HopRequest) -> HopReply {
        let message = match hop.encode(&address.to_string()) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("event=hop_not_encoded error={:?}", error.to_string());
                return not_run(RefusalReason::BadRequest).into();
            }
        };
        let link = match self.link(address).await {
            Ok(link) => link,
            Err(detail) => {
                log::info!("event=peer_unreachable peer={address} error={detail:?}");
                return not_run(RefusalReason::TargetDown).into();
            }
        };
        match self.exchange(link, message).await {
            Ok(reply) => reply,
            Err(ExchangeFailure::Unsent) => {
                let attempt_id = hop.attempt_id;
                log::info!("event=peer_unsent peer={address} attempt_id={attempt_id}");
                not_run(RefusalReason::TargetDown).into()
            }
            Err(ExchangeFailure::Broken(detail)) => AttemptResult::Unknown { detail }.into(),
        }
    }

    /// Asks a node to forbid an attempt whose outcome is unknown, and returns whether it is proven that the attempt has not
    /// run. Only the run of the node that received the attempt can prove this; a node that has restarted since has no
    /// record of it. A cancellation that could not be sent proves nothing.
    pub(super) async fn cancel(
        &self,
        address: SocketAddr,
        node_id: NodeId,
        attempt_id: AttemptId,
    ) -> bool {
        let node = Uuid::from_bytes(*node_id.as_bytes());
        let attempt = Uuid::from_bytes(*attempt_id.as_bytes());
        let (node, attempt) = (node.simple(), attempt.simple());
        let uri = format!("http://{address}{CANCEL_PATH}{node}/{attempt}");
        let mut message = Request::new(Full::default());
        *message.method_mut() = Method::DELETE;
        let Ok(uri) = uri.parse() else {
            return false;
        };
        *message.uri_mut() = uri;
        let cancelling = async {
            let link = self.link(address).await.ok()?;
            let reply = self.exchange(link, message).await.ok()?;
            Some(reply.result)
        };
        let result = timeout(CANCEL_TIMEOUT, cancelling).await;
        matches!(result, Ok(Some(AttemptResult::NotRun { .. })))
    }

    async fn exchange(
        &self,
        mut link: PeerConnection,
        mut message: Request<Full<Bytes>>,
    ) -> Result<HopReply, ExchangeFailure> {
        if let Some(token) = &self.token {
            message.headers_mut().insert(MESH_TOKEN_KEY, token.clone());
        }
        let response = match link.sender.send_request(message).await {
            Ok(response) => response,
            Err(error) if error.is_canceled() => return Err(ExchangeFailure::Unsent),
            Err(error) => return Err(broken(&error)),
        };
        let (head, body) = response.into_parts();
        match read_whole(body, MAX_ANSWER_BYTES, &self.memory).await {
            Ok(body) => Ok(decode_reply(head, body)),
            Err(failure) => Err(broken(&failure)),
        }
    }

    async fn link(&self, address: SocketAddr) -> Result<PeerConnection, String> {
        let slot = Arc::clone(lock(&self.links).entry(address).or_default());
        let mut current = slot.lock().await;
        if let Some(link) = current.as_ref()
            && !link.sender.is_closed()
        {
            return Ok(link.clone());
        }
        *current = None;
        let link = timeout(CONNECT_TIMEOUT, open(address))
            .await
            .map_err(|_| "connecting timed out".to_owned())??;
        *current = Some(link.clone());
        Ok(link)
    }
}

async fn open(address: SocketAddr) -> Result<PeerConnection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (sender, connection) = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::info!("event=peer_lost peer={address} error={error:?}");
        }
    });
    Ok(PeerConnection {
        sender,
        _task: Arc::new(AbortOnDropHandle::new(task)),
    })
}

fn not_run(reason: RefusalReason) -> AttemptResult {
    AttemptResult::NotRun {
        reason,
        wait: Duration::ZERO,
    }
}

fn broken(error: &dyn std::fmt::Display) -> ExchangeFailure {
    ExchangeFailure::Broken(format!("connection to the node failed: {error}"))
}
