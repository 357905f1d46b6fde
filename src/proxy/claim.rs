//! Claims idempotency keys before at-most-once work is handed over to the target.

use std::sync::Arc;
use std::time::Duration;

use crate::generated::{ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest, SettleRequest};
use crate::node::{AnswerScope, CachedAnswer, NodeState, lock};
use crate::types::{AttemptContext, AttemptId, AttemptOutcome, RefusalReason};

use super::Refusal;
use super::body::full_body;
use super::inbound::build_response;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
// An unsettled claim blocks resends until the key expires, so settling is retried for longer than a leader election lasts.
const MAX_SETTLE_ATTEMPTS: u32 = 5;

/// Reason why an attempt is not handed over to the target.
#[derive(Debug)]
pub(crate) enum ClaimRefusal {
    /// The work is refused.
    Refused(Refusal),
    /// The work ran before and its answer is still cached at this node.
    Cached(CachedAnswer),
}

/// Returns the scope of an attempt's claim; `None` if the attempt has no idempotency key.
pub(crate) fn answer_scope(context: &AttemptContext) -> Option<AnswerScope> {
    Some(AnswerScope {
        caller: context.via.clone(),
        service: context.service.clone(),
        key: context.claim_key?,
    })
}

/// Claims the idempotency key for an attempt.
pub(crate) async fn claim(
    state: &Arc<NodeState>,
    scope: &AnswerScope,
    context: &AttemptContext,
) -> Result<(), ClaimRefusal> {
    let request = ClaimRequest {
        key: Some(to_claim_key(scope)),
        attempt_id: context.attempt_id.as_bytes().to_vec().into(),
        relayed: false,
    };
    let time_left = context.deadline.saturating_since(state.now());
    let reply = state
        .control
        .claim(request, time_left.min(CLAIM_TIMEOUT))
        .await;
    let (decision, detail) = match reply {
        Ok(reply) => (reply.decision(), String::new()),
        Err(error) => (ClaimDecision::Unspecified, error.to_string()),
    };
    state.decisions.record(
        context.request_id,
        "claim",
        &[
            ("attempt_id", &context.attempt_id),
            ("key", &scope.key),
            ("decision", &decision.as_str_name()),
            ("detail", &detail),
        ],
    );
    match decision {
        ClaimDecision::Granted => Ok(()),
        ClaimDecision::InProgress => Err(refused(
            AttemptOutcome::Unknown,
            RefusalReason::ClaimInProgress,
            "work under this key is in progress or its outcome is not known",
        )),
        ClaimDecision::AlreadyDone => Err(already_done(state, scope)),
        ClaimDecision::Released => Err(refused(
            AttemptOutcome::NotRun,
            RefusalReason::Cancelled,
            "the attempt was released before its claim arrived",
        )),
        ClaimDecision::Expired => Err(refused(
            AttemptOutcome::Unknown,
            RefusalReason::KeyExpired,
            "the key is older than the claims that are kept",
        )),
        ClaimDecision::Unspecified => {
            settle(state, scope, context.attempt_id, ClaimOutcome::Released);
            Err(refused(
                AttemptOutcome::NotRun,
                RefusalReason::ClaimUnavailable,
                "the claim log did not answer in time",
            ))
        }
    }
}

/// Settles the claim of an attempt in a background task, without waiting for the claim log.
pub(crate) fn settle(
    state: &Arc<NodeState>,
    scope: &AnswerScope,
    attempt_id: AttemptId,
    outcome: ClaimOutcome,
) {
    let request = SettleRequest {
        key: Some(to_claim_key(scope)),
        attempt_id: attempt_id.as_bytes().to_vec().into(),
        outcome: outcome.into(),
        relayed: false,
    };
    let state = Arc::clone(state);
    let tasks = state.tasks.clone();
    tasks.spawn(async move {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            match state.control.settle(request.clone()).await {
                Ok(()) => return,
                Err(error) => {
                    log::warn!(
                        "event=settle_failed attempt_id={attempt_id} outcome={} error={:?}",
                        outcome.as_str_name(),
                        error.to_string()
                    );
                }
            }
        }
    });
}

fn already_done(state: &NodeState, scope: &AnswerScope) -> ClaimRefusal {
    match lock(&state.answers).find(scope) {
        Some(cached) => ClaimRefusal::Cached(cached),
        None => refused(
            AttemptOutcome::Ran,
            RefusalReason::AlreadyRan,
            "work under this key already ran and its answer is no longer held here",
        ),
    }
}

impl CachedAnswer {
    /// Converts to the answer to a resend of the request.
    pub(crate) fn into_response(self) -> http::Response<super::ProxyBody> {
        build_response(self.status, self.headers, full_body(self.body))
    }
}

fn refused(outcome: AttemptOutcome, reason: RefusalReason, detail: &str) -> ClaimRefusal {
    ClaimRefusal::Refused(Refusal {
        outcome,
        ..Refusal::not_run(reason, detail)
    })
}

fn to_claim_key(scope: &AnswerScope) -> ClaimKey {
    ClaimKey {
        caller: scope.caller.to_string(),
        service: scope.service.to_string(),
        key: scope.key.as_bytes().to_vec().into(),
    }
}
