//! Serves attempts at the local target: grant check, admission, claim, request to the target, and answer.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::admission::WorkResult;
use crate::generated::ClaimOutcome;
use crate::node::{AnswerScope, CachedAnswer, NodeState, lock};
use crate::routing::LoadReport;
use crate::types::{AttemptContext, AttemptId, AttemptOutcome, RefusalReason};

use super::attempts::AttemptGuard;
use super::body::{ProxyBody, ReceivedBody, StreamWatcher, StreamedBody, full_body};
use super::claim::{ClaimRefusal, answer_scope, claim, settle};
use super::client::{peer_uri, send};
use super::headers::{ATTEMPT_ID, REQUEST_ID, TIMEOUT_MS, set};
use super::inbound::{InboundAnswer, OutboundCall, build_response};
use super::serving::{SlotGuard, admit};
use super::{AnswerReport, HopAnswer, Refusal};

// Resources of one attempt while it is served; dropping them frees the slot and ends the attempt.
#[derive(Debug)]
struct ServedAttempt {
    state: Arc<NodeState>,
    context: Arc<AttemptContext>,
    guard: AttemptGuard,
    slot: SlotGuard,
    call: OutboundCall,
}

/// Serves an attempt at the local target and logs its outcome.
pub(crate) async fn serve(
    state: &Arc<NodeState>,
    context: AttemptContext,
    call: OutboundCall,
) -> HopAnswer {
    let started_at = state.now();
    let context = Arc::new(context);
    let mut answer = match serve_checked(state, &context, call).await {
        Ok(answer) => answer,
        Err(refusal) => {
            let is_unspent = refusal.outcome == AttemptOutcome::NotRun;
            let unspent = if is_unspent { context.allowance } else { 0 };
            refusal.into_answer(context.request_id, unspent)
        }
    };
    answer.report.load = load_report(state, &context.endpoint);
    let reason = answer.report.reason.map_or("", |reason| reason.as_str());
    let span_ms = state.now().saturating_since(started_at).as_millis();
    state.decisions.record(
        context.request_id,
        "served",
        &[
            ("attempt_id", &context.attempt_id),
            ("via", &context.via),
            ("endpoint", &context.endpoint),
            ("class", &context.class),
            ("outcome", &answer.report.outcome),
            ("reason", &reason),
            ("status", &answer.response.status().as_u16()),
            ("span_ms", &span_ms),
        ],
    );
    if let Some(reason) = answer.report.reason {
        state.count_refusal(reason);
    }
    state.record_duration("served", started_at);
    answer
}

async fn serve_checked(
    state: &Arc<NodeState>,
    context: &Arc<AttemptContext>,
    call: OutboundCall,
) -> Result<HopAnswer, Refusal> {
    let claim_scope = check_grant(state, context, &call)?;
    check_ready(state, context)?;
    let guard = AttemptGuard::enter(state, Arc::clone(context)).ok_or_else(|| {
        let detail = "the same attempt came before";
        Refusal::unknown(RefusalReason::DuplicateInFlight, detail)
    })?;
    // Checked after the attempt is in the table, so that no cancellation is missed between the check and the insertion.
    if lock(&state.cancelled).contains(context.attempt_id) {
        return Err(cancelled_refusal());
    }
    let token = guard.token();
    let slot = admit(state, context, &token).await?;
    let attempt = ServedAttempt {
        state: Arc::clone(state),
        context: Arc::clone(context),
        guard,
        slot,
        call,
    };
    let Some(scope) = claim_scope else {
        return run_without_claim(attempt).await;
    };
    // Runs in its own task that continues if the sender disconnects, so that a claim is always settled.
    let mut sender = SenderGuard {
        state: Arc::clone(state),
        attempt_id: context.attempt_id,
        is_waiting: true,
    };
    let task = state.tasks.spawn(run_with_claim(attempt, scope));
    let answer = task.await;
    sender.is_waiting = false;
    answer.unwrap_or_else(|error| {
        let detail = format!("the attempt broke off: {error}");
        Err(Refusal::unknown(RefusalReason::AnswerLost, detail))
    })
}

// Held while the sender waits for claimed work. If the sender disconnects, the drop cancels the work, unless it was
// already handed over to the target.
#[derive(Debug)]
struct SenderGuard {
    state: Arc<NodeState>,
    attempt_id: AttemptId,
    is_waiting: bool,
}

impl Drop for SenderGuard {
    fn drop(&mut self) {
        if self.is_waiting {
            lock(&self.state.attempts).cancel(self.attempt_id, Duration::MAX);
        }
    }
}

fn check_grant(
    state: &NodeState,
    context: &AttemptContext,
    call: &OutboundCall,
) -> Result<Option<AnswerScope>, Refusal> {
    let book = state.usable_plans().ok_or_else(plan_stale_refusal)?;
    let caller = book.caller_named(&context.via);
    let grant = caller
        .and_then(|caller| book.find_grant(caller, &context.service, &call.path.path))
        .ok_or_else(|| {
            let detail = format!("{} has no grant here", context.via);
            Refusal::not_run(RefusalReason::NotGranted, detail)
        })?;
    if !grant.at_most_once {
        return Ok(None);
    }
    answer_scope(context).map(Some).ok_or_else(|| {
        let detail = "this path needs an Idempotency-Key that is a UUID version 7";
        Refusal::not_run(RefusalReason::KeyRequired, detail)
    })
}

fn check_ready(state: &NodeState, context: &AttemptContext) -> Result<(), Refusal> {
    if state.is_stopping() || lock(&state.target).is_leaving() {
        let detail = "the target is leaving";
        return Err(Refusal::not_run(RefusalReason::TargetLeaving, detail));
    }
    if state.now() >= context.deadline {
        let detail = "the deadline passed before the attempt arrived";
        return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail));
    }
    Ok(())
}

async fn run_without_claim(attempt: ServedAttempt) -> Result<HopAnswer, Refusal> {
    let token = attempt.guard.token();
    let mut attempt = attempt;
    if !attempt.guard.begin_hand_over(false) {
        return Err(cancelled_refusal());
    }
    let exchange = exchange(&mut attempt);
    let answer = tokio::select! {
        answer = exchange => answer,
        () = token.cancelled() => {
            let detail = "cancelled after hand-over";
            Err(Refusal::unknown(RefusalReason::Cancelled, detail))
        }
    };
    Ok(finish(attempt, answer))
}

async fn run_with_claim(attempt: ServedAttempt, scope: AnswerScope) -> Result<HopAnswer, Refusal> {
    let mut attempt = attempt;
    let state = Arc::clone(&attempt.state);
    let id = attempt.context.attempt_id;
    match claim(&state, &scope, &attempt.context).await {
        Ok(()) => {}
        Err(ClaimRefusal::Refused(refusal)) => {
            attempt.guard.set_outcome(refusal.outcome);
            return Err(refusal);
        }
        Err(ClaimRefusal::Cached(cached)) => {
            attempt.guard.set_outcome(AttemptOutcome::Ran);
            let report = ran_report(&attempt);
            return Ok(HopAnswer {
                response: cached.into_response(),
                report,
            });
        }
    }
    let is_late = state.now() >= attempt.context.deadline;
    if is_late || !attempt.guard.begin_hand_over(true) {
        settle(&state, &scope, id, ClaimOutcome::Released);
        return Err(if is_late {
            let detail = "the deadline passed while the key was claimed";
            Refusal::not_run(RefusalReason::DeadlineExceeded, detail)
        } else {
            cancelled_refusal()
        });
    }
    let answer = exchange(&mut attempt).await;
    match &answer {
        Ok(answer) => {
            keep_answer(&state, &scope, answer);
            settle(&state, &scope, id, ClaimOutcome::Done);
        }
        Err(refusal) if refusal.outcome == AttemptOutcome::NotRun => {
            settle(&state, &scope, id, ClaimOutcome::Released);
        }
        // The claim is not released, so that work that may have run is never run again.
        Err(_) => {}
    }
    Ok(finish(attempt, answer))
}

fn keep_answer(state: &NodeState, scope: &AnswerScope, answer: &InboundAnswer) {
    if let ReceivedBody::Buffered(body) = &answer.body {
        let cached = CachedAnswer {
            status: answer.status,
            headers: answer.headers.clone(),
            body: body.clone(),
        };
        lock(&state.answers).keep(scope.clone(), cached);
    }
}

// Sends the request to the target and reads the answer before the deadline.
async fn exchange(attempt: &mut ServedAttempt) -> Result<InboundAnswer, Refusal> {
    let state = Arc::clone(&attempt.state);
    let time_left = attempt.context.deadline.saturating_since(state.now());
    // The deadline is checked again because the process may have been paused since the attempt was admitted.
    if time_left.is_zero() {
        attempt.slot.set_result(WorkResult::NotStarted);
        let detail = "the deadline passed before the hand-over";
        return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail));
    }
    let method = attempt.call.method.clone();
    let (request, epoch) = build_target_request(attempt, time_left)?;
    attempt.slot.set_result(WorkResult::Failure);
    let client = state.target_connections.client();
    let exchange = async {
        let response: Response<Incoming> = match send(&client, request).await {
            Ok(response) => response,
            Err(failure) if failure.is_unsent => {
                if failure.is_connect_failure {
                    state.note_reachable(epoch, false);
                }
                return Err(Refusal::not_run(RefusalReason::TargetDown, failure.detail));
            }
            Err(failure) => {
                state.target_connections.drop_idle();
                return Err(Refusal::unknown(RefusalReason::AnswerLost, failure.detail));
            }
        };
        let answer = InboundAnswer::receive(&state, response, &method).await;
        answer.ok_or_else(|| {
            let detail = "the target's answer is incomplete";
            Refusal::unknown(RefusalReason::AnswerLost, detail)
        })
    };
    let answer = timeout(time_left, exchange).await.unwrap_or_else(|_| {
        let detail = "the deadline passed while the target worked";
        Err(Refusal::unknown(RefusalReason::DeadlineExceeded, detail))
    });
    if matches!(&answer, Err(refusal) if refusal.outcome == AttemptOutcome::NotRun) {
        attempt.slot.set_result(WorkResult::NotStarted);
    }
    answer
}

fn build_target_request(
    attempt: &mut ServedAttempt,
    time_left: Duration,
) -> Result<(Request<ProxyBody>, u64), Refusal> {
    let (address, epoch) = {
        let target = lock(&attempt.state.target);
        let announcement = target.announcement();
        let address = announcement.map(|(announcement, _)| announcement.address);
        (address, target.epoch())
    };
    let address = address.ok_or_else(|| {
        let detail = "no target announced itself";
        Refusal::not_run(RefusalReason::NoTarget, detail)
    })?;
    let call = attempt.call.for_attempt();
    let uri = peer_uri(address, &call.path.path_and_query)
        .map_err(|error| Refusal::not_run(RefusalReason::BadRequest, error.to_string()))?;
    let mut request = Request::new(());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    set(headers, ATTEMPT_ID, &attempt.context.attempt_id.to_string());
    set(headers, REQUEST_ID, &attempt.context.request_id.to_string());
    headers.insert(TIMEOUT_MS, (time_left.as_millis() as u64).into());
    Ok((request.map(|()| call.into_body()), epoch))
}

// Ends the attempt at once, or, if the answer is streamed, when its last byte has been sent.
fn finish(mut attempt: ServedAttempt, answer: Result<InboundAnswer, Refusal>) -> HopAnswer {
    let answer = match answer {
        Ok(answer) => answer,
        Err(refusal) => {
            attempt.guard.set_outcome(refusal.outcome);
            let unspent = attempt.guard.take_unspent();
            return refusal.into_answer(attempt.context.request_id, unspent);
        }
    };
    let report = ran_report(&attempt);
    let is_failure = answer.status.is_server_error();
    let body = match answer.body {
        ReceivedBody::Buffered(bytes) => {
            attempt.end(true, is_failure);
            full_body(bytes)
        }
        ReceivedBody::Streamed(body) => watch(body, attempt, is_failure).into_proxy_body(),
    };
    HopAnswer {
        response: build_response(answer.status, answer.headers, body),
        report,
    }
}

fn ran_report(attempt: &ServedAttempt) -> AnswerReport {
    AnswerReport {
        outcome: AttemptOutcome::Ran,
        reason: None,
        unspent: attempt.guard.take_unspent(),
        load: empty_load_report(),
    }
}

impl ServedAttempt {
    fn end(&mut self, is_complete: bool, is_failure: bool) {
        if is_complete {
            self.guard.set_outcome(AttemptOutcome::Ran);
        }
        if is_complete && !is_failure {
            self.slot.set_result(WorkResult::Success);
        }
    }
}

#[derive(Debug)]
struct AnswerWatcher {
    attempt: ServedAttempt,
    is_failure: bool,
}

impl StreamWatcher for AnswerWatcher {
    fn finish(mut self: Box<Self>, complete: bool) {
        let is_failure = self.is_failure;
        self.attempt.end(complete, is_failure);
    }
}

fn watch(body: StreamedBody, attempt: ServedAttempt, is_failure: bool) -> StreamedBody {
    body.watched_by(Box::new(AnswerWatcher {
        attempt,
        is_failure,
    }))
}

/// Returns the load of the local target, with the admission level for calls to `endpoint`.
pub(crate) fn load_report(state: &NodeState, endpoint: &str) -> LoadReport {
    let (load, is_leaving) = {
        let target = lock(&state.target);
        (target.load(), target.is_leaving())
    };
    let leaving = is_leaving || state.is_stopping();
    let Some((own_level, wait)) = load else {
        return LoadReport {
            leaving,
            ..empty_load_report()
        };
    };
    let now = state.now();
    let level = lock(&state.routes).advertised_level(now, endpoint, own_level);
    LoadReport {
        is_nested: false,
        level: Some(level),
        queue_wait: Some(wait),
        leaving,
    }
}

const fn empty_load_report() -> LoadReport {
    LoadReport {
        is_nested: false,
        level: None,
        queue_wait: None,
        leaving: false,
    }
}

fn cancelled_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::Cancelled, "cancelled before hand-over")
}

/// Refuses work because the node's plans are missing or their last confirmation is too old.
pub(crate) fn plan_stale_refusal() -> Refusal {
    Refusal::not_run(
        RefusalReason::PlanStale,
        "the node could not confirm its plans",
    )
}
