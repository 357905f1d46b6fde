//! Entry listener: handles requests from callers outside the mesh.

use std::sync::Arc;
use std::time::Duration;

use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;

use crate::node::{NodeState, lock};
use crate::plans::{CallerEntry, GrantEntry, PlanBook, PlanEntry};
use crate::retry::AttemptAllowance;
use crate::types::{
    AttemptContext, AttemptId, AttemptOutcome, IdempotencyKey, RefusalReason, RequestId,
    RequestPriority, TickTime,
};

use super::attempts::SharedAllowance;
use super::body::ProxyBody;
use super::entry_table::EntryRequest;
use super::hand_over::plan_stale_refusal;
use super::headers::{
    ATTEMPTS, IDEMPOTENCY_KEY, REQUEST_ID, TIMEOUT_MS, number, optional, set, set_outcome,
};
use super::hop::{ServiceCall, forward};
use super::inbound::OutboundCall;
use super::{HopAnswer, Refusal, ServicePath};

const BEARER: &[u8] = b"Bearer ";

/// Handles a request from a caller outside the mesh.
pub(crate) async fn handle(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    let started_at = state.now();
    state.increment_counter("calls");
    let (request_id, answer) = match request_id(request.headers()) {
        Ok(id) => (id, answer(state, request, id, started_at).await),
        Err(refusal) => {
            let id = RequestId::random();
            (id, refusal.into_answer(id, 0))
        }
    };
    let reason = answer.report.reason;
    state.decisions.record(
        request_id,
        "answered",
        &[
            ("outcome", &answer.report.outcome),
            ("reason", &reason.map_or("", |reason| reason.as_str())),
            ("status", &answer.response.status().as_u16()),
            (
                "span_ms",
                &state.now().saturating_since(started_at).as_millis(),
            ),
        ],
    );
    state.record_duration("answered", started_at);
    outside_response(answer, request_id)
}

/// Builds the response for a caller that is not a node.
pub(crate) fn outside_response(answer: HopAnswer, request_id: RequestId) -> Response<ProxyBody> {
    let HopAnswer {
        mut response,
        report,
    } = answer;
    set_outcome(response.headers_mut(), &report);
    set(response.headers_mut(), REQUEST_ID, &request_id.to_string());
    response
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    match optional(headers, REQUEST_ID).map_err(bad_request)? {
        Some(raw) => RequestId::try_from(raw).map_err(bad_request),
        None => Ok(RequestId::random()),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as the function of map_err"
)]
fn bad_request(error: crate::error::MeshError) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, error.to_string())
}

async fn answer(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    id: RequestId,
    started_at: TickTime,
) -> HopAnswer {
    let may_have_run = lock(&state.entries).may_have_run(id);
    let mut answer = match admit(state, request, id, started_at).await {
        Ok(admitted) => return send(state, admitted, may_have_run).await,
        Err(refusal) => refusal,
    };
    state.count_refusal(answer.reason);
    if may_have_run {
        answer = with_unknown_outcome(answer);
    }
    answer.into_answer(id, 0)
}

// Turns `NotRun` into `Unknown`: an earlier send of the same request may have run, so a refusal of this send does not
// prove that the work did not run.
fn with_unknown_outcome(refusal: Refusal) -> Refusal {
    match refusal.outcome {
        AttemptOutcome::NotRun => Refusal {
            outcome: AttemptOutcome::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

async fn send(state: &Arc<NodeState>, admitted: AdmittedRequest, may_have_run: bool) -> HopAnswer {
    let AdmittedRequest { call, mut entry } = admitted;
    let id = call.context.request_id;
    let allowance = Arc::clone(&call.allowance);
    let initial_allowance = lock(&allowance).remaining();
    let mut answer = forward(state, call).await;
    let attempts = initial_allowance.saturating_sub(lock(&allowance).remaining());
    entry.set_outcome(answer.report.outcome);
    if may_have_run
        && answer.report.outcome == AttemptOutcome::NotRun
        && let Some(reason) = answer.report.reason
    {
        let detail = "an earlier send of this request may have run";
        answer = Refusal::unknown(reason, detail).into_answer(id, answer.report.unspent);
    }
    set(
        answer.response.headers_mut(),
        ATTEMPTS,
        &attempts.to_string(),
    );
    answer
}

// Request that passed the checks of the entry node.
struct AdmittedRequest {
    call: ServiceCall,
    entry: EntryRequest,
}

async fn admit(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    id: RequestId,
    started_at: TickTime,
) -> Result<AdmittedRequest, Refusal> {
    if state.is_stopping() {
        let detail = "this node is stopping";
        return Err(Refusal::not_run(RefusalReason::TargetLeaving, detail));
    }
    let book = state.usable_plans().ok_or_else(plan_stale_refusal)?;
    let caller = find_caller(&book, request.headers())?;
    let path = ServicePath::parse(request.uri()).map_err(bad_request)?;
    let grant = find_grant(&book, caller, &path)?;
    let plan = book.plan_of(caller).ok_or_else(plan_stale_refusal)?;
    let timeout = entry_timeout(request.headers(), grant)?;
    let claim_key = claim_key(request.headers(), grant)?;
    let context = AttemptContext {
        request_id: id,
        attempt_id: AttemptId::random(),
        origin: caller.name.clone(),
        via: caller.name.clone(),
        service: path.service.clone(),
        endpoint: path.endpoint.clone(),
        class: grant.class,
        priority: RequestPriority::new(grant.class, id),
        allowance: 0,
        deadline: started_at + timeout,
        depth: 0,
        claim_key,
    };
    let allowance = SharedAllowance::new(AttemptAllowance::new(0).into());
    let mut entry = EntryRequest::begin(state, &caller.name, id, plan.attempts, &allowance)
        .ok_or_else(|| {
            let detail = "the same request is in flight at this node";
            Refusal::unknown(RefusalReason::DuplicateInFlight, detail)
        })?;
    entry.set_outcome(AttemptOutcome::NotRun);
    take_rate(state, caller, plan).await?;
    let time_left = context.deadline.saturating_since(state.now());
    let outbound = OutboundCall::receive(state, request, path, time_left).await?;
    entry.set_outcome(AttemptOutcome::Unknown);
    let call = ServiceCall {
        context,
        outbound,
        allowance,
        is_at_most_once: grant.at_most_once,
    };
    Ok(AdmittedRequest { call, entry })
}

fn find_caller<'a>(book: &'a PlanBook, headers: &HeaderMap) -> Result<&'a CallerEntry, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let credential = match (values.next(), values.next()) {
        (Some(value), None) => value.as_bytes().strip_prefix(BEARER),
        _ => None,
    };
    let caller = credential.and_then(|credential| book.find_caller(credential));
    caller.ok_or_else(|| {
        let detail = "the credential belongs to no caller";
        Refusal::not_run(RefusalReason::UnknownCaller, detail)
    })
}

/// Finds the grant of a caller for a path.
pub(crate) fn find_grant<'a>(
    book: &'a PlanBook,
    caller: &CallerEntry,
    path: &ServicePath,
) -> Result<&'a GrantEntry, Refusal> {
    let grant = book.find_grant(caller, &path.service, &path.path);
    grant.ok_or_else(|| {
        let detail = format!("{} has no grant for this service and path", caller.name);
        Refusal::not_run(RefusalReason::NotGranted, detail)
    })
}

/// Returns the smaller of the grant's deadline and the timeout that the caller sent.
pub(crate) fn entry_timeout(headers: &HeaderMap, grant: &GrantEntry) -> Result<Duration, Refusal> {
    if !headers.contains_key(TIMEOUT_MS) {
        return Ok(grant.deadline);
    }
    let millis = number(headers, TIMEOUT_MS).map_err(bad_request)?;
    Ok(grant.deadline.min(Duration::from_millis(millis)))
}

/// Reads the idempotency key, which is required for at-most-once work.
pub(crate) fn claim_key(
    headers: &HeaderMap,
    grant: &GrantEntry,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let raw = optional(headers, IDEMPOTENCY_KEY).map_err(bad_request)?;
    match raw {
        // A key that is sent with repeatable work is passed on but not claimed. Its format is still checked, so that
        // every node parses it in the same way.
        Some(raw) => IdempotencyKey::try_from(raw).map(Some).map_err(bad_request),
        None if grant.at_most_once => {
            let detail = "this path needs an Idempotency-Key that is a UUID version 7";
            Err(Refusal::not_run(RefusalReason::KeyRequired, detail))
        }
        None => Ok(None),
    }
}

/// Takes a token from the caller's rate limit.
pub(crate) async fn take_rate(
    state: &Arc<NodeState>,
    caller: &CallerEntry,
    plan: &PlanEntry,
) -> Result<(), Refusal> {
    let Err(wait) = state.take_token(caller, plan).await else {
        return Ok(());
    };
    let detail = format!("the rate of plan {} is used up", plan.name);
    Err(Refusal::not_run(RefusalReason::PlanRate, detail).with_retry_after(wait))
}
