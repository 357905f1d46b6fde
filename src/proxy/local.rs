//! Local listener: handles announcements and calls from the local target.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::error::MeshError;
use crate::node::{Announcement, NodeState, lock};
use crate::plans::GrantEntry;
use crate::retry::AttemptAllowance;
use crate::types::{
    AttemptContext, AttemptId, CallerName, PriorityClass, RefusalReason, RequestId, RequestPriority,
};

use super::answer::json_response;
use super::attempts::{ParentCall, SharedAllowance};
use super::body::ProxyBody;
use super::entry::{claim_key, entry_timeout, find_grant, outside_response, take_rate};
use super::hand_over::plan_stale_refusal;
use super::headers::{ATTEMPT_ID, optional};
use super::hop::{ServiceCall, forward};
use super::inbound::OutboundCall;
use super::{Refusal, ServicePath};

const TARGET_PATH: &str = "/ebonyjunction/v1/target";
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a request from the local target.
pub(crate) async fn handle(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    if request.uri().path() == TARGET_PATH {
        return handle_target(state, request).await;
    }
    state.increment_counter("child_calls");
    let parent = find_parent(state, &request);
    let request_id = parent
        .as_ref()
        .map_or_else(RequestId::random, |parent| parent.context.request_id);
    let answer = match prepare(state, request, request_id, parent).await {
        Ok((call, token)) => run(state, call, &token).await,
        Err(refusal) => Err(refusal),
    };
    let answer = answer.unwrap_or_else(|refusal| {
        state.count_refusal(refusal.reason);
        state.decisions.record(
            request_id,
            "child_refused",
            &[("reason", &refusal.reason), ("outcome", &refusal.outcome)],
        );
        refusal.into_answer(request_id, 0)
    });
    outside_response(answer, request_id)
}

async fn run(
    state: &Arc<NodeState>,
    call: ServiceCall,
    token: &CancellationToken,
) -> Result<super::HopAnswer, Refusal> {
    tokio::select! {
        answer = forward(state, call) => Ok(answer),
        () = token.cancelled() => {
            let detail = "the attempt that made this call has ended";
            Err(Refusal::unknown(RefusalReason::Cancelled, detail))
        }
    }
}

fn find_parent(state: &NodeState, request: &Request<Incoming>) -> Option<ParentCall> {
    let raw = optional(request.headers(), ATTEMPT_ID).ok()??;
    let id = AttemptId::try_from(raw).ok()?;
    lock(&state.attempts).parent(id)
}

async fn prepare(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    request_id: RequestId,
    parent: Option<ParentCall>,
) -> Result<(ServiceCall, CancellationToken), Refusal> {
    let bad_request =
        |error: MeshError| Refusal::not_run(RefusalReason::BadRequest, error.to_string());
    let book = state.usable_plans().ok_or_else(plan_stale_refusal)?;
    let service = lock(&state.target).service().cloned();
    let service = service.ok_or_else(|| {
        let detail = "announce the target before it calls other services";
        Refusal::not_run(RefusalReason::UnknownCaller, detail)
    })?;
    let caller = book.service_caller(&service).ok_or_else(|| {
        let detail = format!("no caller stands for service {service}");
        Refusal::not_run(RefusalReason::UnknownCaller, detail)
    })?;
    let path = ServicePath::parse(request.uri()).map_err(bad_request)?;
    let grant = find_grant(&book, caller, &path)?;
    let timeout = entry_timeout(request.headers(), grant)?;
    let mut context = child_context(
        state,
        &caller.name,
        &path,
        grant,
        request_id,
        parent.as_ref(),
    );
    context.deadline = context.deadline.min(state.now() + timeout);
    context.claim_key = claim_key(request.headers(), grant)?;
    if let Some(parent) = &parent {
        let now = state.now();
        let mut routes = lock(&state.routes);
        routes.note_downstream(now, &parent.context.endpoint, &path.service, &path.endpoint);
    } else if state.is_stopping() {
        let detail = "this node is stopping";
        return Err(Refusal::not_run(RefusalReason::TargetLeaving, detail));
    }
    let plan = book.plan_of(caller).ok_or_else(plan_stale_refusal)?;
    take_rate(state, caller, plan).await?;
    let time_left = context.deadline.saturating_since(state.now());
    let outbound = OutboundCall::receive(state, request, path, time_left).await?;
    let (allowance, token) = match parent {
        Some(parent) => (parent.allowance, parent.token),
        None => (
            SharedAllowance::new(AttemptAllowance::new(1).into()),
            CancellationToken::new(),
        ),
    };
    let call = ServiceCall {
        context,
        outbound,
        allowance,
        is_at_most_once: grant.at_most_once,
    };
    Ok((call, token))
}

// The originating caller, class and deadline are inherited from the attempt that makes the call. A call outside of any
// attempt gets the lowest class.
fn child_context(
    state: &NodeState,
    via: &CallerName,
    path: &ServicePath,
    grant: &GrantEntry,
    request_id: RequestId,
    parent: Option<&ParentCall>,
) -> AttemptContext {
    let (origin, class, priority, deadline, depth) = match parent {
        Some(ParentCall { context, .. }) => (
            context.origin.clone(),
            context.class,
            context.priority,
            context.deadline,
            context.depth.saturating_add(1),
        ),
        None => (
            via.clone(),
            PriorityClass::Read,
            RequestPriority::new(PriorityClass::Read, request_id),
            state.now() + grant.deadline,
            0,
        ),
    };
    AttemptContext {
        request_id,
        attempt_id: AttemptId::random(),
        origin,
        via: via.clone(),
        service: path.service.clone(),
        endpoint: path.endpoint.clone(),
        class,
        priority,
        allowance: 0,
        deadline,
        depth,
        claim_key: None,
    }
}

async fn handle_target(state: &Arc<NodeState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let announced = match *request.method() {
        Method::PUT => announce(state, request).await,
        Method::DELETE => {
            if lock(&state.target).withdraw() {
                log::info!("event=target_leaving");
                state.target_changed.notify_one();
            }
            Ok(())
        }
        _ => return json_response(StatusCode::METHOD_NOT_ALLOWED, Vec::new()),
    };
    match announced {
        Ok(()) => json_response(StatusCode::NO_CONTENT, Vec::new()),
        Err(error) => Refusal::not_run(RefusalReason::BadRequest, error.to_string())
            .into_response(RequestId::random()),
    }
}

async fn announce(state: &NodeState, request: Request<Incoming>) -> Result<(), MeshError> {
    let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect();
    let body = timeout(ANNOUNCEMENT_TIMEOUT, body)
        .await
        .map_err(|_| MeshError::invalid("announcement", "did not arrive in time"))?
        .map_err(|error| MeshError::invalid("announcement", error.to_string()))?;
    let announcement = Announcement::parse(&body.to_bytes())?;
    let service = announcement.service.clone();
    let address = announcement.address;
    let slots = announcement.slots;
    if lock(&state.target).announce(announcement) {
        log::info!("event=target_announced service={service} address={address} slots={slots}");
        state.target_changed.notify_one();
    }
    Ok(())
}
