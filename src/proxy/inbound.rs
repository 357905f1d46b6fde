//! Requests and answers that are passed from one hop to the next.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::node::NodeState;
use crate::types::RefusalReason;

use super::body::{
    BodyBounds, ProxyBody, ReadFailure, ReceivedBody, StreamedBody, full_body, read_body,
};
use super::headers::strip_headers;
use super::{Refusal, ServicePath};

/// Request to be forwarded, without the headers that belong to the previous hop.
#[derive(Debug)]
pub(crate) struct OutboundCall {
    /// Method of the request.
    pub(crate) method: Method,
    /// Service and path that are called.
    pub(crate) path: ServicePath,
    /// Headers that may be forwarded.
    pub(crate) headers: HeaderMap,
    body: CallBody,
}

#[derive(Debug)]
enum CallBody {
    Buffered(Bytes),
    Streamed(Option<StreamedBody>),
}

impl OutboundCall {
    /// Reads a request whose body is buffered up to the replay limit, within `time_left`.
    pub(crate) async fn receive(
        state: &Arc<NodeState>,
        request: Request<Incoming>,
        path: ServicePath,
        time_left: Duration,
    ) -> Result<Self, Refusal> {
        let (mut parts, incoming) = request.into_parts();
        let bounds = BodyBounds {
            max_buffered_bytes: state.config.replay_limit_bytes,
            max_bytes: state.config.max_body_bytes,
        };
        let body = match timeout(time_left, read_body(incoming, bounds)).await {
            Ok(Ok(ReceivedBody::Buffered(bytes))) => CallBody::Buffered(bytes),
            Ok(Ok(ReceivedBody::Streamed(body))) => CallBody::Streamed(Some(body)),
            Ok(Err(failure)) => return Err(body_refusal(failure, bounds.max_bytes)),
            Err(_) => {
                return Err(Refusal::not_run(
                    RefusalReason::DeadlineExceeded,
                    "the deadline passed before the body arrived",
                ));
            }
        };
        strip_headers(&mut parts.headers);
        Ok(Self {
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        })
    }

    /// Returns whether the body is buffered and can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.body, CallBody::Buffered(_))
    }

    /// Returns whether the method is idempotent; TRACE is excluded.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent() && self.method != Method::TRACE
    }

    /// Returns a copy for one attempt; a streamed body is moved to the first attempt.
    pub(crate) fn for_attempt(&mut self) -> Self {
        let body = match &mut self.body {
            CallBody::Buffered(bytes) => CallBody::Buffered(bytes.clone()),
            CallBody::Streamed(body) => CallBody::Streamed(body.take()),
        };
        Self {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body,
        }
    }

    /// Converts to the body of the request to the next hop.
    pub(crate) fn into_body(self) -> ProxyBody {
        match self.body {
            CallBody::Buffered(bytes) => full_body(bytes),
            CallBody::Streamed(Some(body)) => body.into_proxy_body(),
            CallBody::Streamed(None) => full_body(Bytes::new()),
        }
    }
}

fn body_refusal(failure: ReadFailure, max_bytes: u64) -> Refusal {
    match failure {
        ReadFailure::TooLarge => Refusal::not_run(
            RefusalReason::BodyTooLarge,
            format!("the body exceeds {max_bytes} bytes"),
        ),
        ReadFailure::Broken => Refusal::not_run(
            RefusalReason::BadRequest,
            "the body is malformed or incomplete",
        ),
    }
}

/// Answer received from the next hop.
#[derive(Debug)]
pub(crate) struct InboundAnswer {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// Headers that may be forwarded.
    pub(crate) headers: HeaderMap,
    /// Body, buffered or streamed.
    pub(crate) body: ReceivedBody,
}

impl InboundAnswer {
    /// Reads an answer; `None` if it is incomplete or has a 1xx status.
    pub(crate) async fn receive(
        state: &NodeState,
        response: Response<Incoming>,
        method: &Method,
    ) -> Option<Self> {
        let (mut parts, incoming) = response.into_parts();
        if parts.status.is_informational() {
            return None;
        }
        let bounds = BodyBounds {
            max_buffered_bytes: state.config.whole_answer_bytes,
            max_bytes: u64::MAX,
        };
        let body = read_body(incoming, bounds).await.ok()?;
        let length = parts.headers.get(CONTENT_LENGTH).cloned();
        strip_headers(&mut parts.headers);
        // In an answer to HEAD the length does not describe the body that follows, so it is kept.
        if let Some(length) = length
            && method == Method::HEAD
        {
            parts.headers.insert(CONTENT_LENGTH, length);
        }
        Some(Self {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Converts to the response that is forwarded.
    pub(crate) fn into_response(self) -> Response<ProxyBody> {
        let body = match self.body {
            ReceivedBody::Buffered(bytes) => full_body(bytes),
            ReceivedBody::Streamed(body) => body.into_proxy_body(),
        };
        build_response(self.status, self.headers, body)
    }
}

/// Builds a response from its parts.
pub(crate) fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ProxyBody,
) -> Response<ProxyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
