//! Mesh listener: handles attempts, cancellations and queries of the decision log.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::error::MeshError;
use crate::node::{NodeState, lock};
use crate::types::{AttemptContext, AttemptId, AttemptOutcome, NodeId, RefusalReason, RequestId};

use super::answer::json_response;
use super::attempts::CancelOutcome;
use super::body::ProxyBody;
use super::cancel::ATTEMPTS_PATH;
use super::hand_over::{load_report, serve};
use super::headers::{
    AGE_MS, ATTEMPT_ID, CallLocation, MESH_TOKEN, NODE_ID, PLAN_VERSION, REQUEST_ID,
    decode_context, encode_report, number, required, set, set_outcome,
};
use super::inbound::OutboundCall;
use super::{AnswerReport, HopAnswer, Refusal, ServicePath};

const DECISIONS_PATH: &str = "/ebonyjunction/v1/decisions/";

/// Handles a request from another node.
pub(crate) async fn handle(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    let headers = request.headers();
    let id = required(headers, REQUEST_ID).and_then(RequestId::try_from);
    let id = id.unwrap_or_else(|_| RequestId::random());
    let attempt_id = required(headers, ATTEMPT_ID).and_then(AttemptId::try_from);
    if !has_token(state, headers) {
        state.count_refusal(RefusalReason::BadMeshToken);
        let detail = "the mesh token is missing or wrong";
        let refusal = Refusal::not_run(RefusalReason::BadMeshToken, detail);
        return mesh_response(refusal.into_answer(id, 0), attempt_id.ok(), id);
    }
    let path = request.uri().path();
    if let Some(raw) = path.strip_prefix(ATTEMPTS_PATH) {
        return cancel(state, request.method(), headers, raw, id);
    }
    if let Some(raw) = path.strip_prefix(DECISIONS_PATH) {
        return explain(state, request.method(), raw, id);
    }
    let answer = match receive(state, request).await {
        Ok((context, call)) => serve(state, context, call).await,
        Err((refusal, unspent)) => {
            state.count_refusal(refusal.reason);
            let mut answer = refusal.into_answer(id, unspent);
            answer.report.load = load_report(state, "/");
            answer
        }
    };
    mesh_response(answer, attempt_id.ok(), id)
}

fn has_token(state: &NodeState, headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(MESH_TOKEN).iter();
    let (Some(token), None) = (values.next(), values.next()) else {
        return false;
    };
    constant_time_eq(token.as_bytes(), state.mesh_token.as_bytes())
}

// Compares in constant time for inputs of the same length, so that the token cannot be guessed byte by byte.
fn constant_time_eq(given: &[u8], expected: &[u8]) -> bool {
    let difference = given
        .iter()
        .zip(expected)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    given.len() == expected.len() && difference == 0
}

// Reads an attempt; an error includes the unspent part of the attempt's allowance.
async fn receive(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
) -> Result<(AttemptContext, OutboundCall), (Refusal, u8)> {
    let bad_request = |error: MeshError| {
        let refusal = Refusal::not_run(RefusalReason::BadRequest, error.to_string());
        (refusal, 0)
    };
    let path = ServicePath::parse(request.uri()).map_err(bad_request)?;
    let place = CallLocation {
        service: path.service.clone(),
        endpoint: path.endpoint.clone(),
    };
    note_plan_version(state, request.headers());
    let now = state.now();
    let context = decode_context(request.headers(), place, now).map_err(bad_request)?;
    let time_left = context.deadline.saturating_since(now);
    match OutboundCall::receive(state, request, path, time_left).await {
        Ok(call) => Ok((context, call)),
        Err(refusal) => Err((refusal, context.allowance)),
    }
}

// Requests an early heartbeat if the sender has newer plans than this node.
fn note_plan_version(state: &NodeState, headers: &HeaderMap) {
    let version: u64 = number(headers, PLAN_VERSION).unwrap_or(0);
    if version > lock(&state.plans).version() {
        state.early_heartbeat.notify_one();
    }
}

fn mesh_response(
    answer: HopAnswer,
    attempt_id: Option<AttemptId>,
    request_id: RequestId,
) -> Response<ProxyBody> {
    let HopAnswer {
        mut response,
        report,
    } = answer;
    let headers = response.headers_mut();
    encode_report(headers, &report);
    set(headers, REQUEST_ID, &request_id.to_string());
    if let Some(id) = attempt_id {
        set(headers, ATTEMPT_ID, &id.to_string());
    }
    response
}

fn cancel(
    state: &NodeState,
    method: &Method,
    headers: &HeaderMap,
    raw: &str,
    request_id: RequestId,
) -> Response<ProxyBody> {
    if method != Method::DELETE {
        return json_response(StatusCode::METHOD_NOT_ALLOWED, Vec::new());
    }
    let Ok(attempt_id) = AttemptId::try_from(raw) else {
        let refusal = Refusal::not_run(RefusalReason::BadRequest, "malformed attempt id");
        return refusal.into_response(request_id);
    };
    // Recorded before the table lookup, so that a copy of the attempt that arrives in between is refused.
    lock(&state.cancelled).insert(state.now(), attempt_id);
    let age = cancel_age(state, headers);
    let verdict = lock(&state.attempts).cancel(attempt_id, age);
    let outcome = match verdict {
        CancelOutcome::NotRun => AttemptOutcome::NotRun,
        CancelOutcome::Unknown => AttemptOutcome::Unknown,
    };
    state.decisions.record(
        request_id,
        "cancelled",
        &[("attempt_id", &attempt_id), ("outcome", &outcome)],
    );
    let refusal = Refusal {
        outcome,
        ..Refusal::not_run(RefusalReason::Cancelled, "the attempt is cancelled")
    };
    let report = AnswerReport {
        outcome,
        reason: Some(RefusalReason::Cancelled),
        unspent: 0,
        load: load_report(state, "/"),
    };
    let mut response = refusal.into_response(request_id);
    *response.status_mut() = StatusCode::OK;
    set_outcome(response.headers_mut(), &report);
    response
}

// Returns the time since the attempt was sent. It is the maximum, which never proves that the attempt did not arrive, if
// the attempt was sent to an earlier process at this address or the age is not known.
fn cancel_age(state: &NodeState, headers: &HeaderMap) -> Duration {
    let node_id = required(headers, NODE_ID).and_then(NodeId::try_from);
    if !node_id.is_ok_and(|id| id == state.node_id) {
        return Duration::MAX;
    }
    number(headers, AGE_MS).map_or(Duration::MAX, Duration::from_millis)
}

fn explain(
    state: &NodeState,
    method: &Method,
    raw: &str,
    request_id: RequestId,
) -> Response<ProxyBody> {
    if method != Method::GET {
        return json_response(StatusCode::METHOD_NOT_ALLOWED, Vec::new());
    }
    let Ok(asked) = RequestId::try_from(raw) else {
        let refusal = Refusal::not_run(RefusalReason::BadRequest, "malformed request id");
        return refusal.into_response(request_id);
    };
    let decisions = state.decisions.explain(asked);
    let status = if decisions.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    json_response(
        status,
        serde_json::json!(decisions).to_string().into_bytes(),
    )
}
