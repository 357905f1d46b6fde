//! Answers and refusals that a node passes on or creates.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::routing::LoadReport;
use crate::types::{AttemptOutcome, RefusalReason, RequestId};

use super::body::{ProxyBody, full_body};

/// Report of a hop about an attempt, in addition to the target's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerReport {
    /// What is known about the execution.
    pub outcome: AttemptOutcome,
    /// Why the work was refused or failed inside the mesh.
    pub reason: Option<RefusalReason>,
    /// Attempts of the share given to this attempt that were not spent.
    pub unspent: u8,
    /// Load of the answering node.
    pub load: LoadReport,
}

/// Answer of one hop.
#[derive(Debug)]
pub struct HopAnswer {
    /// Answer of the target, or the body of a refusal.
    pub response: Response<ProxyBody>,
    /// Report of the hop about the attempt.
    pub report: AnswerReport,
}

/// Refusal or failure inside the mesh.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What is known about the execution.
    pub outcome: AttemptOutcome,
    /// Why the work was refused.
    pub reason: RefusalReason,
    /// Human-readable description.
    pub detail: String,
    /// Time after which a retry is useful.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
    request_id: String,
}

impl Refusal {
    /// Refuses work that provably did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: AttemptOutcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Refuses work that may or may not have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: AttemptOutcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// Sets the time after which a retry is useful.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Builds the answer. Its JSON body has the outcome, the reason, a detail text and the request id.
    pub fn into_response(self, request_id: RequestId) -> Response<ProxyBody> {
        let body = RefusalBody {
            outcome: self.outcome.as_str(),
            reason: self.reason.as_str(),
            detail: &self.detail,
            request_id: request_id.to_string(),
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = json_response(self.reason.status(), text);
        if let Some(wait) = self.retry_after {
            // The header has whole seconds; the value is rounded up, so that a retry is not suggested too early.
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            let value = HeaderValue::from(seconds.max(1));
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }

    /// Builds the answer of a hop. `unspent` is the whole share of the attempt, unless part of it may be in use.
    pub(crate) fn into_answer(self, request_id: RequestId, unspent: u8) -> HopAnswer {
        let report = AnswerReport {
            outcome: self.outcome,
            reason: Some(self.reason),
            unspent,
            load: LoadReport {
                is_nested: false,
                level: None,
                queue_wait: None,
                leaving: false,
            },
        };
        HopAnswer {
            response: self.into_response(request_id),
            report,
        }
    }
}

/// Builds an answer with a JSON body.
pub(crate) fn json_response(status: StatusCode, text: Vec<u8>) -> Response<ProxyBody> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
