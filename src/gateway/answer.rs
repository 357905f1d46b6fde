//! Answers and results of hops.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::types::RefusalReason;

/// Complete answer to one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// Creates an answer of the gateway itself.
    pub fn own(status: StatusCode, reason: &str) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from(format!("{{\"reason\":\"{reason}\"}}\n")),
        }
    }

    /// Adds the time after which a client may come back, with millisecond precision.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        let text = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            self.headers.insert(RETRY_AFTER, value);
        }
        self
    }
}

/// How one attempt at a target ended.
#[derive(Debug, Clone)]
pub enum HopResult {
    /// The target answered; the answer is complete and belongs to the request.
    Ran {
        /// The answer.
        answer: Answer,
        /// The target failed because one of its calls was turned away.
        is_downstream_failure: bool,
        /// Expected time until the target has room for another request.
        wait: Duration,
    },
    /// It is proven that the target did not run the request.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// Expected time until the target has room.
        wait: Duration,
    },
    /// The target may have run the request.
    Unknown {
        /// What was observed.
        detail: String,
    },
}
