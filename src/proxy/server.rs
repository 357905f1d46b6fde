//! Listeners of a node.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::node::NodeState;

use super::body::ProxyBody;
use super::{entry, local, mesh};

const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
// Pause after a failed accept, so that other connections can end when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const MAX_HEADERS: usize = 100;
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Kind of callers that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Outside callers.
    Entry,
    /// Other nodes.
    Mesh,
    /// The local target.
    Local,
}

impl ListenerKind {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Mesh => "mesh",
            Self::Local => "local",
        }
    }
}

/// Accepts connections until the node stops.
pub(crate) async fn serve_listener(
    state: Arc<NodeState>,
    listener: TcpListener,
    kind: ListenerKind,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(Arc::clone(&state), stream, kind);
                state.tasks.spawn(connection);
            }
            Err(error) => {
                log::warn!(
                    "event=accept_failed listener={} error={error:?}",
                    kind.as_str()
                );
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Arc<NodeState>, stream: TcpStream, kind: ListenerKind) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(
            "event=nodelay_failed listener={} error={error:?}",
            kind.as_str()
        );
    }
    let closing = state.closing.clone();
    let service = service_fn(move |request| answer(Arc::clone(&state), request, kind));
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(
            "event=connection_failed listener={} error={error:?}",
            kind.as_str()
        );
    }
}

async fn answer(
    state: Arc<NodeState>,
    request: Request<Incoming>,
    kind: ListenerKind,
) -> Result<Response<ProxyBody>, Infallible> {
    let response = match kind {
        ListenerKind::Entry => entry::handle(&state, request).await,
        ListenerKind::Mesh => mesh::handle(&state, request).await,
        ListenerKind::Local => local::handle(&state, request).await,
    };
    Ok(response)
}
