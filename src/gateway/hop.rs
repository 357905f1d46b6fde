//! Requests and results of the hop from the entry node to the target's node, and their encoding as HTTP messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Request, Uri};
use http_body_util::Full;
use uuid::Uuid;

use crate::admission::ChainPosition;
use crate::error::{MeshError, Result};
use crate::hop_headers::strip_hop_headers;
use crate::types::{AttemptId, RefusalReason, ServiceName};

use super::answer::{Answer, AttemptResult};
use super::target_terms::{TargetStatus, TargetTerms};

const SERVICE: HeaderName = HeaderName::from_static("ebj-service");
const CALLER: HeaderName = HeaderName::from_static("ebj-caller");
const ATTEMPT: HeaderName = HeaderName::from_static("ebj-attempt-id");
const URGENCY: HeaderName = HeaderName::from_static("ebj-urgency");
const FLAGS: HeaderName = HeaderName::from_static("ebj-flags");
const OBJECTIVE_MS: HeaderName = HeaderName::from_static("ebj-objective-ms");
const TIMEOUT_MS: HeaderName = HeaderName::from_static("ebj-timeout-ms");
const ORIGINAL_HOST: HeaderName = HeaderName::from_static("ebj-host");
const OUTCOME: HeaderName = HeaderName::from_static("ebj-outcome");
const REASON: HeaderName = HeaderName::from_static("ebj-reason");
const CAUSE: HeaderName = HeaderName::from_static("ebj-cause");
const CHAIN_LIMIT: HeaderName = HeaderName::from_static("ebj-chain-limit");
const WAIT_MS: HeaderName = HeaderName::from_static("ebj-wait-ms");
const TARGET_TERMS: HeaderName = HeaderName::from_static("ebj-target-terms");
const TERMS_REVISION: HeaderName = HeaderName::from_static("ebj-terms-revision");
const LIMIT_WAIT_MS: HeaderName = HeaderName::from_static("ebj-limit-wait-ms");
const DOWNSTREAM_CAUSE: HeaderValue = HeaderValue::from_static("downstream");
const FLAG_NESTED: u8 = 1;
const FLAG_AT_MOST_ONCE: u8 = 2;
const FLAG_REPEAT: u8 = 4;
const FLAG_WAITS_FOR_LIMIT: u8 = 8;

/// Time reserved for a refusal to reach the sender: a tick of the queue, a round trip between regions, and the processing
/// on two busy nodes. Without it the sender of a request that waits until its deadline would time out and could not tell
/// that the request has not run.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// What becomes of a request that the target's limit does not admit at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitPolicy {
    /// It waits, because the sender knows no other target with room.
    Wait,
    /// It is refused, so that the sender can use another target.
    Refuse,
}

/// One attempt to run a request at a target of a service.
#[derive(Debug, Clone)]
pub(super) struct HopRequest {
    pub(super) method: Method,
    /// Path and query as the client sent them.
    pub(super) target: String,
    pub(super) host: String,
    /// End-to-end headers of the client.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) service: ServiceName,
    /// Service on whose VM the request began.
    pub(super) caller: ServiceName,
    pub(super) request_id: HeaderValue,
    pub(super) attempt_id: AttemptId,
    pub(super) is_nested: bool,
    pub(super) is_at_most_once: bool,
    /// Whether the request is a retry or was caused by one.
    pub(super) is_repeat: bool,
    pub(super) urgency: u32,
    /// Time left until an answer is late.
    pub(super) objective: Duration,
    /// Time left until the request expires.
    pub(super) timeout: Duration,
    /// Time that a refusal needs to reach the sender. It is not part of the message.
    pub(super) refusal_time: Duration,
    pub(super) when_limited: LimitPolicy,
    /// Terms of the target that the sender has received with earlier answers.
    pub(super) terms: Option<TargetTerms>,
    /// Name of the route at the target's node, if it is needed there. It is not part of the message.
    pub(super) route: Option<Arc<str>>,
}

/// Result of an attempt, with the state of the target.
#[derive(Debug, Clone)]
pub(super) struct HopReply {
    pub(super) result: AttemptResult,
    pub(super) status: TargetStatus,
}

impl From<AttemptResult> for HopReply {
    fn from(result: AttemptResult) -> Self {
        let status = TargetStatus::default();
        Self { result, status }
    }
}

/// Removes hop-by-hop headers and the mesh's own headers.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    strip_hop_headers(headers, &HOP_BY_HOP_HEADERS);
}

impl HopRequest {
    /// Encodes the request as an HTTP message to another node.
    pub(super) fn encode(&self, authority: &str) -> Result<Request<Full<Bytes>>> {
        let uri = format!("http://{authority}{}", self.target);
        let uri = Uri::try_from(uri).map_err(|error| invalid("path", error.to_string()))?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.remove(HOST);
        let mut flags = 0;
        if self.is_nested {
            flags |= FLAG_NESTED;
        }
        if self.is_at_most_once {
            flags |= FLAG_AT_MOST_ONCE;
        }
        if self.is_repeat {
            flags |= FLAG_REPEAT;
        }
        if self.when_limited == LimitPolicy::Wait {
            flags |= FLAG_WAITS_FOR_LIMIT;
        }
        if let Some(terms) = &self.terms {
            headers.insert(TARGET_TERMS, terms_value(terms)?);
        }
        let attempt = Uuid::from_bytes(*self.attempt_id.as_bytes());
        let fields = [
            (SERVICE, self.service.to_string()),
            (CALLER, self.caller.to_string()),
            (ATTEMPT, attempt.simple().to_string()),
            (URGENCY, self.urgency.to_string()),
            (FLAGS, flags.to_string()),
            (OBJECTIVE_MS, self.objective.as_millis().to_string()),
            (TIMEOUT_MS, self.timeout.as_millis().to_string()),
            (ORIGINAL_HOST, self.host.clone()),
        ];
        for (name, value) in fields {
            let value = HeaderValue::from_str(&value)
                .map_err(|error| invalid("hop header", error.to_string()))?;
            headers.insert(name, value);
        }
        Ok(request)
    }

    /// Decodes a request from another node.
    pub(super) fn decode(
        head: http::request::Parts,
        body: Bytes,
        request_id: &HeaderName,
    ) -> Result<Self> {
        let mut headers = head.headers;
        let flags: u8 = header_number(&headers, &FLAGS)?;
        let request = Self {
            method: head.method,
            target: head
                .uri
                .path_and_query()
                .map_or("/", |target| target.as_str())
                .to_owned(),
            host: header_text(&headers, &ORIGINAL_HOST)?.to_owned(),
            body,
            service: header_text(&headers, &SERVICE)?.try_into()?,
            caller: header_text(&headers, &CALLER)?.try_into()?,
            request_id: headers
                .get(request_id)
                .cloned()
                .ok_or_else(|| invalid("hop header", "the request id is missing"))?,
            attempt_id: header_text(&headers, &ATTEMPT)?.try_into()?,
            is_nested: flags & FLAG_NESTED != 0,
            is_at_most_once: flags & FLAG_AT_MOST_ONCE != 0,
            is_repeat: flags & FLAG_REPEAT != 0,
            urgency: header_number(&headers, &URGENCY)?,
            objective: Duration::from_millis(header_number(&headers, &OBJECTIVE_MS)?),
            timeout: Duration::from_millis(header_number(&headers, &TIMEOUT_MS)?),
            refusal_time: REFUSAL_TIME,
            when_limited: if flags & FLAG_WAITS_FOR_LIMIT != 0 {
                LimitPolicy::Wait
            } else {
                LimitPolicy::Refuse
            },
            terms: read_terms(&headers),
            route: None,
            headers: HeaderMap::new(),
        };
        strip_connection_headers(&mut headers);
        Ok(Self { headers, ..request })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.ok_or_else(|| invalid("hop header", format!("{name} is missing or malformed")))
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<T> {
    let parsed = header_text(headers, name)?.parse();
    parsed.map_err(|_| invalid("hop header", format!("{name} must be a number")))
}

fn read_chain_limit(headers: &HeaderMap) -> Option<ChainPosition> {
    if !headers.contains_key(CHAIN_LIMIT) {
        return None;
    }
    match header_number(headers, &CHAIN_LIMIT) {
        Ok(parts) => Some(ChainPosition::from_parts(parts)),
        Err(error) => {
            log::warn!("event=chain_limit_malformed error={:?}", error.to_string());
            None
        }
    }
}

fn terms_value(terms: &TargetTerms) -> Result<HeaderValue> {
    let text = terms.to_string();
    HeaderValue::from_str(&text).map_err(|error| invalid("target terms", error.to_string()))
}

fn read_terms(headers: &HeaderMap) -> Option<TargetTerms> {
    let value = headers.get(TARGET_TERMS)?;
    match TargetTerms::try_from(value.to_str().unwrap_or_default()) {
        Ok(terms) => Some(terms),
        Err(error) => {
            log::warn!("event=target_terms_malformed error={:?}", error.to_string());
            None
        }
    }
}

fn insert_status(headers: &mut HeaderMap, status: &TargetStatus) {
    if status.revision > 0 {
        headers.insert(TERMS_REVISION, HeaderValue::from(status.revision));
    }
    if let Some(wait) = status.limit_wait {
        headers.insert(LIMIT_WAIT_MS, HeaderValue::from(wait.as_millis() as u64));
    }
    match status.terms.as_ref().map(terms_value) {
        Some(Ok(value)) => drop(headers.insert(TARGET_TERMS, value)),
        Some(Err(error)) => {
            log::warn!(
                "event=target_terms_not_encoded error={:?}",
                error.to_string()
            );
        }
        None => {}
    }
}

fn read_status(headers: &HeaderMap) -> TargetStatus {
    let limit_wait = header_number(headers, &LIMIT_WAIT_MS).ok();
    TargetStatus {
        terms: read_terms(headers),
        revision: header_number(headers, &TERMS_REVISION).unwrap_or_default(),
        limit_wait: limit_wait.map(Duration::from_millis),
    }
}

fn invalid(field: &'static str, detail: impl Into<String>) -> MeshError {
    MeshError::invalid(field, detail)
}

/// Encodes the result of an attempt and the state of the target as the response to another node.
pub(super) fn encode_reply(reply: HopReply) -> http::Response<Full<Bytes>> {
    let mut response = encode_result(reply.result);
    insert_status(response.headers_mut(), &reply.status);
    response
}

fn encode_result(result: AttemptResult) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::default());
    match result {
        AttemptResult::Ran {
            answer,
            is_downstream_failure,
            chain_limit,
            wait,
        } => {
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            strip_connection_headers(response.headers_mut());
            *response.body_mut() = Full::new(answer.body);
            let headers = response.headers_mut();
            headers.insert(OUTCOME, HeaderValue::from_static("ran"));
            if is_downstream_failure {
                headers.insert(CAUSE, DOWNSTREAM_CAUSE);
            }
            if let Some(limit) = chain_limit {
                headers.insert(CHAIN_LIMIT, HeaderValue::from(limit.to_parts()));
            }
            headers.insert(WAIT_MS, HeaderValue::from(wait.as_millis() as u64));
        }
        AttemptResult::NotRun { reason, wait } => {
            let headers = response.headers_mut();
            headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
            headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
            headers.insert(WAIT_MS, HeaderValue::from(wait.as_millis() as u64));
        }
        AttemptResult::Unknown { detail } => {
            let headers = response.headers_mut();
            headers.insert(OUTCOME, HeaderValue::from_static("unknown"));
            if let Ok(value) = HeaderValue::from_str(&detail) {
                headers.insert(REASON, value);
            }
        }
    }
    response
}

/// Decodes the result of an attempt and the state of the target from another node. Without a valid outcome header the result
/// is unknown.
pub(super) fn decode_reply(head: http::response::Parts, body: Bytes) -> HopReply {
    let status = read_status(&head.headers);
    let result = decode_result(head, body);
    HopReply { result, status }
}

fn decode_result(head: http::response::Parts, body: Bytes) -> AttemptResult {
    let outcome = head.headers.get(OUTCOME).map(HeaderValue::as_bytes);
    match outcome {
        Some(b"ran") => {
            let mut headers = head.headers;
            let wait_ms = header_number(&headers, &WAIT_MS).unwrap_or_default();
            let is_downstream_failure = headers.get(CAUSE) == Some(&DOWNSTREAM_CAUSE);
            let chain_limit = read_chain_limit(&headers);
            strip_connection_headers(&mut headers);
            AttemptResult::Ran {
                answer: Answer {
                    status: head.status,
                    headers,
                    body,
                },
                is_downstream_failure,
                chain_limit,
                wait: Duration::from_millis(wait_ms),
            }
        }
        Some(b"not-run") => {
            let reason = head.headers.get(REASON).map(HeaderValue::as_bytes);
            let reason = reason.and_then(RefusalReason::from_header);
            let wait_ms = header_number(&head.headers, &WAIT_MS).unwrap_or_default();
            AttemptResult::NotRun {
                reason: reason.unwrap_or(RefusalReason::NoTarget),
                wait: Duration::from_millis(wait_ms),
            }
        }
        _ => {
            let reason = header_text(&head.headers, &REASON).unwrap_or("no outcome");
            AttemptResult::Unknown {
                detail: reason.to_owned(),
            }
        }
    }
}
