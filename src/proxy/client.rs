//! HTTP/1.1 client with pools of idle connections.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::answer_bounds::{InterimBound, MAX_HEAD_BYTES};
use crate::error::{MeshError, Result};
use crate::node::lock;

use super::body::ProxyBody;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
// Shorter than the 5 s after which common servers close idle connections: a request that is written to a connection
// which the peer closes at that moment is lost, and its outcome is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_IDLE_PER_PEER: usize = 64;

/// Client for other nodes and for the local target.
pub(crate) type MeshClient = Client<HttpConnector, ProxyBody>;

/// Connections to the local target. All idle connections are dropped after one failed during a request: if the target
/// process has crashed, the others are dead too, and a request written to one of them would end with an unknown outcome.
#[derive(Debug)]
pub(crate) struct TargetConnections {
    client: Mutex<MeshClient>,
}

impl TargetConnections {
    pub(crate) fn new() -> Self {
        Self {
            client: Mutex::new(new_client()),
        }
    }

    /// Returns a client that shares the pool of idle connections.
    pub(crate) fn client(&self) -> MeshClient {
        lock(&self.client).clone()
    }

    /// Drops the idle connections; requests in flight keep their connections.
    pub(crate) fn drop_idle(&self) {
        *lock(&self.client) = new_client();
    }
}

/// Failure to send a request or to receive its answer.
#[derive(Debug)]
pub(crate) struct SendFailure {
    /// Whether it is proven that no byte of the request was written.
    pub(crate) is_unsent: bool,
    /// Whether no connection could be opened.
    pub(crate) is_connect_failure: bool,
    /// Human-readable cause.
    pub(crate) detail: String,
}

/// Creates the client of a node.
pub(crate) fn new_client() -> MeshClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_PEER)
        .pool_timer(TokioTimer::new())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}

/// Builds the URI of a request to a peer.
pub(crate) fn peer_uri(address: SocketAddr, path_and_query: &str) -> Result<Uri> {
    Uri::try_from(format!("http://{address}{path_and_query}"))
        .map_err(|error| MeshError::invalid("path", error.to_string()))
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn send(
    client: &MeshClient,
    mut request: Request<ProxyBody>,
) -> std::result::Result<Response<Incoming>, SendFailure> {
    let peer = request.uri().authority().cloned();
    let interim = InterimBound::watch(&mut request);
    let result = tokio::select! {
        result = client.request(request) => result.map_err(|error| describe(&error)),
        () = interim.exceeded() => Err(SendFailure {
            is_unsent: false,
            is_connect_failure: false,
            detail: "too many interim answers".to_owned(),
        }),
    };
    result.inspect_err(|failure| {
        log::warn!(
            "event=send_failed peer={} is_unsent={} error={:?}",
            peer.as_ref().map_or("", |peer| peer.as_str()),
            failure.is_unsent,
            failure.detail
        );
    })
}

fn describe(error: &ClientError) -> SendFailure {
    let is_connect_failure = error.is_connect();
    // A cancelled request is handed back by the connection before any byte of it is written.
    let hyper_error = error.source().and_then(|source| source.downcast_ref());
    let is_cancelled = hyper_error.is_some_and(hyper::Error::is_canceled);
    let mut detail = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        detail = format!("{detail}: {cause}");
        source = cause.source();
    }
    SendFailure {
        is_unsent: is_connect_failure || is_cancelled,
        is_connect_failure,
        detail,
    }
}
