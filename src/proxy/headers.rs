//! Headers exchanged between nodes, and removal of headers that must not be forwarded.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};

use crate::error::{MeshError, Result};
use crate::hop_headers::strip_hop_headers;
use crate::routing::LoadReport;
use crate::types::{
    AttemptContext, AttemptId, AttemptOutcome, CallerName, IdempotencyKey, PriorityClass,
    RefusalReason, RequestId, RequestPriority, ServiceName, TickTime,
};

use super::AnswerReport;

pub(crate) const MESH_TOKEN: &str = "ebj-mesh-token";
pub(crate) const ATTEMPT_ID: &str = "ebj-attempt-id";
pub(crate) const REQUEST_ID: &str = "ebj-request-id";
const ORIGIN: &str = "ebj-caller";
const VIA: &str = "ebj-via";
const CLASS: &str = "ebj-class";
const ALLOWANCE: &str = "ebj-allowance";
pub(crate) const TIMEOUT_MS: &str = "ebj-timeout-ms";
const PRIORITY: &str = "ebj-priority";
const DEPTH: &str = "ebj-depth";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const PLAN_VERSION: &str = "ebj-plan-version";
pub(crate) const NODE_ID: &str = "ebj-node-id";
pub(crate) const AGE_MS: &str = "ebj-age-ms";

pub(crate) const OUTCOME: &str = "ebj-outcome";
pub(crate) const REASON: &str = "ebj-reason";
/// Number of attempts that all hops spent on one send of a request; a lost answer counts the whole share of its attempt.
pub(crate) const ATTEMPTS: &str = "ebj-attempts";
const UNSPENT: &str = "ebj-unspent";
const LEVEL: &str = "ebj-level";
const QUEUE_MS: &str = "ebj-queue-ms";
const LEAVING: &str = "ebj-leaving";

// Headers that describe one connection or its message framing, and credentials that are meant for the entry node only.
const NEVER_FORWARDED: [HeaderName; 14] = [
    HeaderName::from_static("authorization"),
    HeaderName::from_static("connection"),
    HeaderName::from_static("content-length"),
    HeaderName::from_static("expect"),
    HeaderName::from_static("host"),
    HeaderName::from_static("http2-settings"),
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-authorization"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
];

/// Service and first path segment from the path of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallLocation {
    /// Service that is called.
    pub service: ServiceName,
    /// First segment of the path, with a leading slash.
    pub endpoint: String,
}

/// Removes hop-by-hop headers, framing headers, mesh headers and credentials.
pub fn strip_headers(headers: &mut HeaderMap) {
    strip_hop_headers(headers, &NEVER_FORWARDED);
}

/// Writes the context of an attempt into the headers of a request to another node.
pub fn encode_context(headers: &mut HeaderMap, context: &AttemptContext, now: TickTime) {
    let timeout_ms = context.deadline.saturating_since(now).as_millis();
    set(headers, ATTEMPT_ID, &context.attempt_id.to_string());
    set(headers, REQUEST_ID, &context.request_id.to_string());
    set(headers, ORIGIN, context.origin.as_str());
    set(headers, VIA, context.via.as_str());
    set(headers, CLASS, context.class.as_str());
    headers.insert(ALLOWANCE, HeaderValue::from(u16::from(context.allowance)));
    headers.insert(TIMEOUT_MS, HeaderValue::from(timeout_ms as u64));
    headers.insert(PRIORITY, HeaderValue::from(context.priority.as_raw()));
    headers.insert(DEPTH, HeaderValue::from(u16::from(context.depth)));
    if let Some(key) = context.claim_key {
        set(headers, IDEMPOTENCY_KEY, &key.to_string());
    }
}

/// Reads the context of an attempt from the headers of a request of another node.
pub fn decode_context(
    headers: &HeaderMap,
    place: CallLocation,
    now: TickTime,
) -> Result<AttemptContext> {
    let timeout_ms: u64 = number(headers, TIMEOUT_MS)?;
    let claim_key = match optional(headers, IDEMPOTENCY_KEY)? {
        Some(raw) => Some(IdempotencyKey::try_from(raw)?),
        None => None,
    };
    Ok(AttemptContext {
        request_id: RequestId::try_from(required(headers, REQUEST_ID)?)?,
        attempt_id: AttemptId::try_from(required(headers, ATTEMPT_ID)?)?,
        origin: CallerName::try_from(required(headers, ORIGIN)?)?,
        via: CallerName::try_from(required(headers, VIA)?)?,
        service: place.service,
        endpoint: place.endpoint,
        class: PriorityClass::try_from(required(headers, CLASS)?)?,
        priority: RequestPriority::from_raw(number(headers, PRIORITY)?),
        allowance: number(headers, ALLOWANCE)?,
        deadline: now + Duration::from_millis(timeout_ms),
        depth: number(headers, DEPTH)?,
        claim_key,
    })
}

/// Writes outcome, unspent allowance and load into the headers of an answer to another node.
pub fn encode_report(headers: &mut HeaderMap, report: &AnswerReport) {
    set_outcome(headers, report);
    headers.insert(UNSPENT, HeaderValue::from(u16::from(report.unspent)));
    if let Some(level) = report.load.level {
        headers.insert(LEVEL, HeaderValue::from(level.as_raw()));
    }
    if let Some(wait) = report.load.queue_wait {
        headers.insert(QUEUE_MS, HeaderValue::from(wait.as_millis() as u64));
    }
    if report.load.leaving {
        headers.insert(LEAVING, HeaderValue::from_static("1"));
    }
}

/// Writes the outcome and the reason, the part of a report that callers see.
pub(crate) fn set_outcome(headers: &mut HeaderMap, report: &AnswerReport) {
    headers.insert(OUTCOME, HeaderValue::from_static(report.outcome.as_str()));
    if let Some(reason) = report.reason {
        headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    }
}

/// Reads the report of another node; `None` if the answer does not come from a node.
pub fn decode_report(headers: &HeaderMap) -> Option<AnswerReport> {
    let outcome = AttemptOutcome::from_header(headers.get(OUTCOME)?.as_bytes());
    let reason = headers.get(REASON);
    let level: Option<u16> = number(headers, LEVEL).ok();
    let queue_ms: Option<u64> = number(headers, QUEUE_MS).ok();
    let load = LoadReport {
        is_nested: false,
        level: level.map(RequestPriority::from_raw),
        queue_wait: queue_ms.map(Duration::from_millis),
        leaving: headers.contains_key(LEAVING),
    };
    Some(AnswerReport {
        outcome,
        reason: reason.and_then(|raw| RefusalReason::from_header(raw.as_bytes())),
        unspent: number(headers, UNSPENT).unwrap_or(0),
        load,
    })
}

/// Returns the value of a header; `None` if it is absent, an error if it is repeated.
pub(crate) fn optional<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(MeshError::invalid(name, "must not be repeated"));
    }
    let text = value
        .to_str()
        .map_err(|_| MeshError::invalid(name, "must be printable ASCII"))?;
    Ok(Some(text))
}

pub(crate) fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str> {
    optional(headers, name)?.ok_or_else(|| MeshError::invalid(name, "is missing"))
}

pub(crate) fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T> {
    let raw = required(headers, name)?;
    let is_number = !raw.is_empty() && raw.bytes().all(|byte| byte.is_ascii_digit());
    let value = is_number.then(|| raw.parse().ok()).flatten();
    value.ok_or_else(|| MeshError::invalid(name, "must be a number in range"))
}

/// Sets a header to a value of printable ASCII.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
