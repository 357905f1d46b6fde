//! Limits on the header and the interim answers that a target may send before the body of its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Maximum size of an answer's status line and headers. It also limits the read buffer of a connection.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Interim answers (status 1xx) that may precede the final one. Targets normally send one or two. A faulty target may
/// send them without end, and they do not count towards any other limit on the answer.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Counts the interim answers to one request.
#[derive(Debug, Default)]
pub(crate) struct InterimBound {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InterimBound {
    /// Starts counting the interim answers to a request that has not been sent yet.
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

    /// Completes when the target has sent too many interim answers.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
