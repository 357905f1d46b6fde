//! Cache of the answers to at-most-once work, for resent requests.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::types::{CallerName, IdempotencyKey, ServiceName};

const MAX_ANSWERS: usize = 512;
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Scope of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnswerScope {
    /// Immediate caller.
    pub(crate) caller: CallerName,
    /// Service that ran the work.
    pub(crate) service: ServiceName,
    /// Key of the work.
    pub(crate) key: IdempotencyKey,
}

/// Complete answer of a target.
#[derive(Debug, Clone)]
pub(crate) struct CachedAnswer {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// Headers that may be forwarded.
    pub(crate) headers: HeaderMap,
    /// Body of the answer.
    pub(crate) body: Bytes,
}

/// Cache of answers that is bounded in the number and size of entries; the oldest entry is evicted first.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    answers: BTreeMap<AnswerScope, CachedAnswer>,
    order: VecDeque<AnswerScope>,
}

impl AnswerCache {
    /// Stores an answer unless its body exceeds `MAX_ANSWER_BYTES`.
    pub(crate) fn keep(&mut self, scope: AnswerScope, answer: CachedAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return;
        }
        if self.order.len() >= MAX_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        if self.answers.insert(scope.clone(), answer).is_none() {
            self.order.push_back(scope);
        }
    }

    /// Returns the cached answer to work that ran before.
    pub(crate) fn find(&self, scope: &AnswerScope) -> Option<CachedAnswer> {
        self.answers.get(scope).cloned()
    }
}
