//! Forwards calls to a service: target selection, attempts and retries.

use std::sync::Arc;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{Request, StatusCode};
use tokio::time::{sleep, timeout};

use crate::node::{NodeState, RetryState, lock};
use crate::retry::{AttemptReport, RetryDecision};
use crate::routing::{LoadReport, RouteChoice, RouteDecision, RouteRequest, SendResult, TargetKey};
use crate::types::{AttemptContext, AttemptId, AttemptOutcome, RefusalReason, TickTime};

use super::attempts::SharedAllowance;
use super::body::ProxyBody;
use super::cancel::RemoteAttempt;
use super::client::{peer_uri, send};
use super::hand_over::serve;
use super::headers::{
    ATTEMPT_ID, MESH_TOKEN, PLAN_VERSION, decode_report, encode_context, required,
};
use super::inbound::{InboundAnswer, OutboundCall};
use super::{HopAnswer, Refusal};

/// Extra time after the deadline to receive the deadline refusal of the target's node.
const ANSWER_GRACE: Duration = Duration::from_millis(30);

/// Call to a service on behalf of one request.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    /// Context of the attempts; each gets its own id and share of the allowance.
    pub(crate) context: AttemptContext,
    /// Request to send.
    pub(crate) outbound: OutboundCall,
    /// Attempts that the request may still spend.
    pub(crate) allowance: SharedAllowance,
    /// Whether the work must run at most once.
    pub(crate) is_at_most_once: bool,
}

// Attempts of one call that have been made so far.
#[derive(Debug, Default)]
struct CallProgress {
    attempts: u8,
    tried: Vec<TargetKey>,
    may_have_run: bool,
    last: Option<HopAnswer>,
}

/// Sends a call to a target and retries at other targets as far as the retry policy allows.
pub(crate) async fn forward(state: &Arc<NodeState>, mut call: ServiceCall) -> HopAnswer {
    let mut progress = CallProgress::default();
    lock(&state.retries).budget.record_first(state.now());
    loop {
        let choice = match choose_target(state, &call, &progress) {
            Ok(choice) => choice,
            Err(refusal) => return build_final_answer(state, &call, progress, Some(refusal)),
        };
        let Some(share) = lock(&call.allowance).spend() else {
            let detail = "the request has no attempts left";
            let refusal = Refusal::not_run(RefusalReason::AllowanceSpent, detail);
            return build_final_answer(state, &call, progress, Some(refusal));
        };
        progress.attempts += 1;
        let answer = send_attempt(state, &mut call, &choice, share, progress.attempts).await;
        lock(&call.allowance).give_back(answer.report.unspent);
        progress.may_have_run |= answer.report.outcome != AttemptOutcome::NotRun;
        progress.tried.push(choice.key);
        let decision = decide_retry(state, &call, &progress, &answer);
        progress.last = Some(answer);
        match decision {
            RetryDecision::Retry { backoff } => {
                log_retry(state, &call, &progress, backoff);
                sleep(backoff).await;
            }
            RetryDecision::Stop => return build_final_answer(state, &call, progress, None),
        }
    }
}

fn choose_target(
    state: &NodeState,
    call: &ServiceCall,
    progress: &CallProgress,
) -> Result<RouteChoice, Refusal> {
    let request = RouteRequest {
        service: &call.context.service,
        endpoint: &call.context.endpoint,
        priority: call.context.priority,
        acceptable_completion_time: Duration::ZERO,
        is_nested: false,
        body_bytes: 0,
        excluded: &progress.tried,
    };
    let decision = {
        let mut rng = lock(&state.rng);
        let now = state.now();
        lock(&state.routes).choose(now, &request, &mut *rng)
    };
    match decision {
        RouteDecision::Send(choice) => Ok(choice),
        RouteDecision::Refuse {
            reason,
            retry_after,
        } => {
            log_route_refusal(state, call, reason);
            let detail = format!("no target of {} is chosen", call.context.service);
            Err(Refusal::not_run(reason, detail).with_retry_after(retry_after))
        }
    }
}

// Attempt that is counted in the routing table; dropping it before `record` ends the attempt without a result.
#[derive(Debug)]
struct AttemptInFlight {
    state: Arc<NodeState>,
    key: TargetKey,
    started_at: TickTime,
    is_open: bool,
}

impl AttemptInFlight {
    fn start(state: &Arc<NodeState>, key: TargetKey) -> Self {
        lock(&state.routes).start(key);
        Self {
            state: Arc::clone(state),
            key,
            started_at: state.now(),
            is_open: true,
        }
    }

    fn record(&mut self, endpoint: &str, result: SendResult, report: &LoadReport) {
        self.is_open = false;
        let now = self.state.now();
        let latency = now.saturating_since(self.started_at);
        let mut routes = lock(&self.state.routes);
        routes.record(now, self.key, endpoint, latency, result, report);
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        if self.is_open {
            lock(&self.state.routes).cancel_started(self.key);
        }
    }
}

async fn send_attempt(
    state: &Arc<NodeState>,
    call: &mut ServiceCall,
    choice: &RouteChoice,
    share: u8,
    number: u8,
) -> HopAnswer {
    let mut context = call.context.clone();
    context.attempt_id = AttemptId::random();
    context.allowance = share;
    state.decisions.record(
        context.request_id,
        "route",
        &[
            ("attempt_id", &context.attempt_id),
            ("service", &context.service),
            ("node", &choice.node_id),
            ("address", &choice.address),
            ("number", &number),
            ("allowance", &share),
        ],
    );
    state.increment_counter("attempts");
    let outbound = call.outbound.for_attempt();
    let mut guard = AttemptInFlight::start(state, choice.key);
    let answer = if choice.node_id == state.node_id {
        serve(state, context, outbound).await
    } else {
        send_to_node(state, choice, context, outbound).await
    };
    let endpoint = &call.context.endpoint;
    if answer.report.reason == Some(RefusalReason::Cancelled) {
        return answer;
    }
    guard.record(endpoint, to_send_result(&answer), &answer.report.load);
    answer
}

// Maps an answer to the result that is reported to the routing table.
fn to_send_result(answer: &HopAnswer) -> SendResult {
    match (answer.report.outcome, answer.report.reason) {
        (AttemptOutcome::Ran, _) if !answer.response.status().is_server_error() => {
            SendResult::Answered
        }
        (AttemptOutcome::NotRun, Some(RefusalReason::TargetDown)) => SendResult::Failed,
        (AttemptOutcome::NotRun, Some(reason)) => SendResult::Refused(reason),
        _ => SendResult::Failed,
    }
}

async fn send_to_node(
    state: &Arc<NodeState>,
    choice: &RouteChoice,
    context: AttemptContext,
    outbound: OutboundCall,
) -> HopAnswer {
    let share = context.allowance;
    let request_id = context.request_id;
    let mut remote = RemoteAttempt::new(state, choice, request_id, context.attempt_id);
    let answer = exchange(state, choice, &context, outbound, &mut remote).await;
    remote.close();
    match answer {
        Ok(answer) => answer,
        Err(refusal) => {
            let is_unspent = refusal.outcome == AttemptOutcome::NotRun;
            refusal.into_answer(request_id, if is_unspent { share } else { 0 })
        }
    }
}

async fn exchange(
    state: &Arc<NodeState>,
    choice: &RouteChoice,
    context: &AttemptContext,
    outbound: OutboundCall,
    remote: &mut RemoteAttempt,
) -> Result<HopAnswer, Refusal> {
    let method = outbound.method.clone();
    let request = build_node_request(state, choice, context, outbound)?;
    let time_left = context.deadline.saturating_since(state.now()) + ANSWER_GRACE;
    let receive = async {
        let response = send(&state.client, request).await.map_err(|failure| {
            if failure.is_unsent {
                Refusal::not_run(RefusalReason::TargetDown, failure.detail)
            } else {
                Refusal::unknown(RefusalReason::AnswerLost, failure.detail)
            }
        })?;
        let report = decode_report(response.headers());
        let matches_attempt = required(response.headers(), ATTEMPT_ID)
            .and_then(AttemptId::try_from)
            .is_ok_and(|id| id == context.attempt_id);
        let answer = InboundAnswer::receive(state, response, &method).await;
        match (report, answer) {
            (Some(report), Some(answer)) if matches_attempt => Ok(HopAnswer {
                response: answer.into_response(),
                report,
            }),
            _ => {
                let detail = "the answer is incomplete or belongs to another attempt";
                Err(Refusal::unknown(RefusalReason::AnswerLost, detail))
            }
        }
    };
    let Ok(received) = timeout(time_left, receive).await else {
        let outcome = remote.cancel().await;
        return Err(Refusal {
            outcome,
            ..Refusal::not_run(
                RefusalReason::DeadlineExceeded,
                "the deadline passed before an answer came",
            )
        });
    };
    match received {
        Err(refusal) if refusal.outcome == AttemptOutcome::Unknown => {
            cancel_lost_attempt(remote, refusal).await
        }
        received => received,
    }
}

// Cancels an attempt whose answer was lost, because it may still be running; the node's reply may prove that it did not
// run.
async fn cancel_lost_attempt(
    remote: &mut RemoteAttempt,
    refusal: Refusal,
) -> Result<HopAnswer, Refusal> {
    let outcome = remote.cancel().await;
    Err(Refusal { outcome, ..refusal })
}

fn build_node_request(
    state: &NodeState,
    choice: &RouteChoice,
    context: &AttemptContext,
    outbound: OutboundCall,
) -> Result<Request<ProxyBody>, Refusal> {
    let path = format!("/{}{}", context.service, outbound.path.path_and_query);
    let uri = peer_uri(choice.address, &path)
        .map_err(|error| Refusal::not_run(RefusalReason::BadRequest, error.to_string()))?;
    let plan_version = lock(&state.plans).version();
    let mut request = Request::new(());
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = outbound.headers.clone();
    let headers = request.headers_mut();
    headers.insert(MESH_TOKEN, state.mesh_token.clone());
    headers.insert(PLAN_VERSION, plan_version.into());
    encode_context(headers, context, state.now());
    Ok(request.map(|()| outbound.into_body()))
}

fn decide_retry(
    state: &NodeState,
    call: &ServiceCall,
    progress: &CallProgress,
    answer: &HopAnswer,
) -> RetryDecision {
    let now = state.now();
    let report = AttemptReport {
        outcome: answer.report.outcome,
        reason: answer.report.reason,
        is_at_most_once: call.is_at_most_once,
        is_idempotent: call.outbound.is_idempotent(),
        is_replayable: call.outbound.is_replayable(),
        attempt_number: progress.attempts,
        time_left: call.context.deadline.saturating_since(now),
    };
    let mut rng = lock(&state.rng);
    let mut retries = lock(&state.retries);
    let RetryState { policy, budget } = &mut *retries;
    policy.decide(now, budget, &lock(&call.allowance), &report, &mut *rng)
}

// Returns the answer of the last attempt, or a refusal if no attempt was made. After several attempts without a target's
// answer the refusal is `RetriesSpent`.
fn build_final_answer(
    state: &NodeState,
    call: &ServiceCall,
    progress: CallProgress,
    refusal: Option<Refusal>,
) -> HopAnswer {
    let request_id = call.context.request_id;
    let Some(last) = progress.last else {
        let refusal = refusal
            .unwrap_or_else(|| Refusal::not_run(RefusalReason::NoTarget, "no attempt was made"));
        return refusal.into_answer(request_id, 0);
    };
    let Some(reason) = last.report.reason else {
        return last;
    };
    if progress.attempts == 1 || last.report.outcome == AttemptOutcome::Ran {
        return last;
    }
    // An earlier attempt may have run even if the last one provably did not.
    let outcome = if progress.may_have_run {
        AttemptOutcome::Unknown
    } else {
        last.report.outcome
    };
    state.increment_counter("retries_spent");
    let retry_after = last.response.headers().get(RETRY_AFTER);
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let detail = format!(
        "{} attempts were made, the last: {reason}",
        progress.attempts
    );
    let refusal = Refusal {
        outcome,
        retry_after: seconds.map(Duration::from_secs),
        ..Refusal::not_run(RefusalReason::RetriesSpent, detail)
    };
    let report = last.report;
    let mut answer = refusal.into_answer(request_id, report.unspent);
    if reason.status() == StatusCode::GATEWAY_TIMEOUT {
        *answer.response.status_mut() = reason.status();
    }
    answer.report.load = report.load;
    answer
}

fn log_retry(state: &NodeState, call: &ServiceCall, progress: &CallProgress, backoff: Duration) {
    let last = progress.last.as_ref().and_then(|last| last.report.reason);
    state.increment_counter("retries");
    state.decisions.record(
        call.context.request_id,
        "retry",
        &[
            ("service", &call.context.service),
            ("attempts", &progress.attempts),
            ("reason", &last.map_or("", |reason| reason.as_str())),
            ("backoff_ms", &backoff.as_millis()),
        ],
    );
}

fn log_route_refusal(state: &NodeState, call: &ServiceCall, reason: RefusalReason) {
    state.decisions.record(
        call.context.request_id,
        "route_refused",
        &[("service", &call.context.service), ("reason", &reason)],
    );
}
