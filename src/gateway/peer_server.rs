//! HTTP/2 server for requests from other nodes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::control_client::MESH_TOKEN_KEY;
use crate::types::{AttemptId, NodeId, RefusalReason};

use super::answer::AttemptResult;
use super::body::read_whole;
use super::gate::CancelOutcome;
use super::hop::{HopRequest, encode_reply};
use super::peer_client::CANCEL_PATH;
use super::state::GatewayState;

const WINDOW_BYTES: u32 = 1024 * 1024;
const MAX_STREAMS: u32 = 1_024;
const PING_INTERVAL: Duration = Duration::from_secs(5);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections from other nodes until the process stops.
pub(super) async fn serve_peers(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                state.tasks.spawn(serve_peer(Arc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed listener=peer error={error:?}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(state: Arc<GatewayState>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed listener=peer error={error:?}");
    }
    let closing = state.closing.clone();
    let service = service_fn(move |request| answer(Arc::clone(&state), request));
    let connection = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_failed listener=peer error={error:?}");
    }
}

async fn answer(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let token = request.headers().get(MESH_TOKEN_KEY);
    let expected = state.config.mesh_token.as_str().as_bytes();
    if token.is_none_or(|token| token.as_bytes() != expected) {
        log::warn!("event=peer_refused reason=bad-mesh-token");
        return Ok(empty_response(StatusCode::UNAUTHORIZED));
    }
    if request.method() == Method::DELETE
        && let Some(attempt) = request.uri().path().strip_prefix(CANCEL_PATH)
    {
        let Some((node_id, attempt_id)) = parse_cancel(attempt) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        return Ok(encode_reply(cancel(&state, node_id, attempt_id).into()));
    }
    Ok(run(&state, request).await)
}

fn parse_cancel(path: &str) -> Option<(NodeId, AttemptId)> {
    let (node, attempt) = path.split_once('/')?;
    Some((node.try_into().ok()?, attempt.try_into().ok()?))
}

fn cancel(state: &GatewayState, node_id: NodeId, attempt_id: AttemptId) -> AttemptResult {
    if node_id != state.node_id {
        log::info!("event=cancel_refused reason=other-run node={node_id}");
        return AttemptResult::Unknown {
            detail: "the node has started again".to_owned(),
        };
    }
    match state.gate.cancel(attempt_id) {
        CancelOutcome::NotRun => AttemptResult::NotRun {
            reason: RefusalReason::Cancelled,
            wait: Duration::ZERO,
        },
        CancelOutcome::Unknown => AttemptResult::Unknown {
            detail: "handed over".to_owned(),
        },
    }
}

async fn run(state: &GatewayState, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived_at = state.arrival_time();
    let (head, body) = request.into_parts();
    let max_bytes = state.book().limits().body_bytes as usize;
    let body = match read_whole(body, max_bytes, &state.memory).await {
        Ok(body) => body,
        Err(failure) => {
            log::info!("event=hop_body_failed error={:?}", failure.to_string());
            state.metrics.count("hop.body_failed");
            // The request was not accepted, so the sender may try another node.
            let refused = AttemptResult::NotRun {
                reason: RefusalReason::QueueFull,
                wait: Duration::ZERO,
            };
            return encode_reply(refused.into());
        }
    };
    match HopRequest::decode(head, body, &state.config.names.request_id) {
        Ok(mut hop) => {
            // The time for which the message may have been unread counts against its time limits.
            let unread = state.now() - arrived_at;
            hop.timeout = hop.timeout.saturating_sub(unread);
            hop.objective = hop.objective.saturating_sub(unread);
            encode_reply(state.run_at_target(hop).await)
        }
        Err(error) => {
            log::warn!("event=hop_malformed error={:?}", error.to_string());
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
