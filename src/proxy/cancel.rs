//! Cancellation of attempts at other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::node::NodeState;
use crate::routing::RouteChoice;
use crate::types::{AttemptId, AttemptOutcome, RequestId, TickTime};

use super::body::{ProxyBody, full_body};
use super::client::{peer_uri, send};
use super::headers::{AGE_MS, MESH_TOKEN, NODE_ID, OUTCOME, REQUEST_ID, set};

const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);

/// Path prefix of cancellation requests; the attempt id follows.
pub(crate) const ATTEMPTS_PATH: &str = "/ebonyjunction/v1/attempts/";

/// Attempt at another node; it is cancelled on drop unless it has ended.
#[derive(Debug)]
pub(crate) struct RemoteAttempt {
    state: Arc<NodeState>,
    choice: RouteChoice,
    request_id: RequestId,
    attempt_id: AttemptId,
    sent_at: TickTime,
    is_open: bool,
}

impl RemoteAttempt {
    /// Creates the handle of an attempt that is about to be sent.
    pub(crate) fn new(
        state: &Arc<NodeState>,
        choice: &RouteChoice,
        request_id: RequestId,
        attempt_id: AttemptId,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            choice: *choice,
            request_id,
            attempt_id,
            sent_at: state.now(),
            is_open: true,
        }
    }

    /// Marks the attempt as ended, so that it is not cancelled on drop.
    pub(crate) fn close(&mut self) {
        self.is_open = false;
    }

    /// Requests the node to cancel the attempt and returns the proven outcome.
    pub(crate) async fn cancel(&mut self) -> AttemptOutcome {
        self.is_open = false;
        let request = self.cancel_request();
        let state = Arc::clone(&self.state);
        send_cancellation(state, request).await
    }

    fn cancel_request(&self) -> Option<Request<ProxyBody>> {
        let path = format!("{ATTEMPTS_PATH}{}", self.attempt_id);
        let uri = peer_uri(self.choice.address, &path).ok()?;
        let mut request = Request::new(full_body(Bytes::new()));
        *request.method_mut() = Method::DELETE;
        *request.uri_mut() = uri;
        let age = self.state.now().saturating_since(self.sent_at);
        let headers = request.headers_mut();
        headers.insert(MESH_TOKEN, self.state.mesh_token.clone());
        headers.insert(AGE_MS, (age.as_millis() as u64).into());
        set(headers, NODE_ID, &self.choice.node_id.to_string());
        set(headers, REQUEST_ID, &self.request_id.to_string());
        Some(request)
    }
}

impl Drop for RemoteAttempt {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let request = self.cancel_request();
        let state = Arc::clone(&self.state);
        // The sender disconnected, so the cancellation runs in its own task.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(send_cancellation(state, request));
        }
    }
}

async fn send_cancellation(
    state: Arc<NodeState>,
    request: Option<Request<ProxyBody>>,
) -> AttemptOutcome {
    let Some(request) = request else {
        return AttemptOutcome::Unknown;
    };
    let exchange = async {
        let response = send(&state.client, request).await.ok()?;
        let outcome = response.headers().get(OUTCOME)?;
        let outcome = AttemptOutcome::from_header(outcome.as_bytes());
        // The rest of the body is read so that the connection can be reused.
        let _ = response.into_body().collect().await;
        Some(outcome)
    };
    match timeout(CANCEL_TIMEOUT, exchange).await {
        Ok(Some(AttemptOutcome::NotRun)) => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    }
}
