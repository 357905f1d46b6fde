//! Bounds on what a target may send before the body of its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Bytes of an answer's head; also bounds what a connection buffers.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Interim answers (status 1xx) before the final one. Targets send one or two; a target in trouble may send them without
/// end, and each resets nothing that would otherwise bound the answer.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Counts the interim answers to one request.
#[derive(Debug, Default)]
pub(crate) struct InterimBound {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InterimBound {
    pub(crate) fn watch<B>(request: &mut Request<B>) -> Arc<Self> {
        let bound = Arc::new(Self::default());
        let counted = Arc::clone(&bound);
        on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) + 1 == MAX_INTERIM_ANSWERS {
                counted.exceeded.notify_one();
            }
        });
        bound
    }

    /// Completes when there were too many.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
