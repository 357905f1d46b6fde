//! Admission at the local target: acquires and releases slots.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::admission::{OfferDecision, WorkKey, WorkRequest, WorkResult};
use crate::node::{NodeState, QueueResult, lock};
use crate::types::{AttemptContext, RefusalReason};

use super::Refusal;

/// Slot of the local target; it is released on drop.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    state: Arc<NodeState>,
    epoch: u64,
    key: WorkKey,
    result: WorkResult,
}

impl SlotGuard {
    /// Sets the result that is reported to the admission control when the slot is released.
    pub(crate) fn set_result(&mut self, result: WorkResult) {
        self.result = result;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut target = lock(&self.state.target);
        target.finish(now, self.epoch, self.key, self.result);
    }
}

// Work in the queue of the local target; it is removed from the queue on drop.
#[derive(Debug)]
struct QueuedWork {
    state: Arc<NodeState>,
    epoch: u64,
    key: WorkKey,
    signal: oneshot::Receiver<QueueResult>,
    is_waiting: bool,
}

impl QueuedWork {
    fn into_slot_guard(mut self) -> SlotGuard {
        self.is_waiting = false;
        SlotGuard {
            state: Arc::clone(&self.state),
            epoch: self.epoch,
            key: self.key,
            result: WorkResult::NotStarted,
        }
    }
}

impl Drop for QueuedWork {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        let now = self.state.now();
        let mut target = lock(&self.state.target);
        if target.leave_queue(now, self.epoch, self.key) {
            return;
        }
        // The slot was granted just before the drop, so it is released.
        if matches!(self.signal.try_recv(), Ok(QueueResult::Start)) {
            target.finish(now, self.epoch, self.key, WorkResult::NotStarted);
        }
    }
}

/// Waits for a slot of the local target.
pub(crate) async fn admit(
    state: &Arc<NodeState>,
    context: &AttemptContext,
    token: &CancellationToken,
) -> Result<SlotGuard, Refusal> {
    let queued = match offer(state, context)? {
        Offered::Started(slot) => return Ok(slot),
        Offered::Queued(queued) => queued,
    };
    let mut queued = queued;
    let time_left = context.deadline.saturating_since(state.now());
    let waited = tokio::select! {
        waited = timeout(time_left, &mut queued.signal) => waited,
        () = token.cancelled() => {
            return Err(Refusal::not_run(RefusalReason::Cancelled, "cancelled while queued"));
        }
    };
    match waited {
        Ok(Ok(QueueResult::Start)) => Ok(queued.into_slot_guard()),
        Ok(Ok(QueueResult::Refuse(reason))) => {
            queued.is_waiting = false;
            Err(refusal(state, reason, "refused while queued"))
        }
        Ok(Err(_)) => Err(refusal(
            state,
            RefusalReason::TargetDown,
            "the target was replaced",
        )),
        Err(_) => Err(Refusal::not_run(
            RefusalReason::DeadlineExceeded,
            "the deadline passed in the queue",
        )),
    }
}

enum Offered {
    Started(SlotGuard),
    Queued(QueuedWork),
}

fn offer(state: &Arc<NodeState>, context: &AttemptContext) -> Result<Offered, Refusal> {
    let request = WorkRequest {
        priority: context.priority,
        depth: context.depth,
        deadline: context.deadline,
    };
    let mut target = lock(&state.target);
    let offered = target.offer(state.now(), &context.service, request);
    let epoch = target.epoch();
    match offered {
        Ok((OfferDecision::Started(key), _)) => Ok(Offered::Started(SlotGuard {
            state: Arc::clone(state),
            epoch,
            key,
            result: WorkResult::NotStarted,
        })),
        Ok((OfferDecision::Queued(key), Some(signal))) => Ok(Offered::Queued(QueuedWork {
            state: Arc::clone(state),
            epoch,
            key,
            signal,
            is_waiting: true,
        })),
        Ok((OfferDecision::Queued(_), None)) => {
            drop(target);
            Err(refusal(state, RefusalReason::QueueFull, "not queued"))
        }
        Ok((OfferDecision::Refused(reason), _)) | Err(reason) => {
            drop(target);
            Err(refusal(state, reason, "refused by the target's node"))
        }
    }
}

fn refusal(state: &NodeState, reason: RefusalReason, detail: &'static str) -> Refusal {
    let wait = {
        let mut rng = lock(&state.rng);
        lock(&state.target).retry_after(&mut *rng)
    };
    let refusal = Refusal::not_run(reason, detail);
    match wait {
        Some(wait) => refusal.with_retry_after(wait),
        None => refusal,
    }
}
