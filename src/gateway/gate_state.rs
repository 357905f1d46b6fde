//! State of the admission to the local target: the target, its slot queue and the recorded hand-overs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{SlotAction, SlotQueue, WaitKey};
use crate::retry::{HandOverDecision, HandOverRecord};
use crate::routing::TargetState;
use crate::types::{RefusalReason, TickTime};

use super::announced_target::{AnnouncedTarget, TargetReport};
use super::hop::HopRequest;

/// Reason for a refusal and the expected wait until a slot is free.
pub(super) type Refusal = (RefusalReason, Duration);

/// Target, slots and attempts of one gate, protected by the gate's lock.
#[derive(Debug)]
pub(super) struct GateState {
    pub(super) target: AnnouncedTarget,
    pub(super) queue: SlotQueue,
    pub(super) waiting: BTreeMap<WaitKey, WaitingRequest>,
    pub(super) hand_overs: HandOverRecord,
    pub(super) connect_failures: u32,
    pub(super) is_stopping: bool,
}

/// Request that waits for a slot.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) grant: oneshot::Sender<Result<(), Duration>>,
    pub(super) is_nested: bool,
}

impl GateState {
    pub(super) fn ready(&self, oldest: TickTime) -> Option<&TargetReport> {
        self.target.ready(oldest).filter(|_| !self.is_stopping)
    }

    pub(super) fn check(&self, oldest: TickTime, request: &HopRequest) -> Result<(), Refusal> {
        let refuse = |reason| Err((reason, Duration::ZERO));
        if self.is_stopping {
            return refuse(RefusalReason::Stopping);
        }
        let verdict = self
            .hand_overs
            .check(request.attempt_id, request.is_at_most_once);
        refuse_unless_allowed(verdict)?;
        let Some(target) = self.ready(oldest) else {
            let is_leaving = self
                .target
                .current()
                .is_some_and(|target| target.state == TargetState::Leaving);
            return refuse(if is_leaving {
                RefusalReason::TargetLeaving
            } else {
                RefusalReason::TargetDown
            });
        };
        if target.service != request.service {
            return refuse(RefusalReason::UnknownService);
        }
        Ok(())
    }

    /// Records the hand-over and returns the identity of the target. Fails if the request was cancelled or the target was
    /// lost after the request acquired its slot.
    pub(super) fn begin_hand_over(
        &mut self,
        oldest: TickTime,
        request: &HopRequest,
        deadline: TickTime,
    ) -> Result<String, Refusal> {
        let Some(id) = self.ready(oldest).map(|target| target.id.clone()) else {
            return Err((RefusalReason::TargetDown, Duration::ZERO));
        };
        let (attempt_id, is_at_most_once) = (request.attempt_id, request.is_at_most_once);
        let verdict = self.hand_overs.begin(attempt_id, is_at_most_once, deadline);
        refuse_unless_allowed(verdict)?;
        Ok(id)
    }

    /// Updates the queue to the slots and the state of the target in use.
    pub(super) fn follow_target(&mut self, now: TickTime) {
        let ready = self.target.current();
        let ready = ready.filter(|target| target.state == TargetState::Ready && !self.is_stopping);
        let actions = match ready.map(|target| target.slots) {
            Some(slots) => {
                self.queue.set_slots(slots);
                self.queue.start_waiting(now)
            }
            None => self.queue.refuse_all(),
        };
        self.apply_actions(now, actions);
    }

    pub(super) fn apply_actions(&mut self, now: TickTime, actions: Vec<SlotAction>) {
        for action in actions {
            let (key, verdict) = match action {
                SlotAction::Start(key) => (key, Ok(())),
                SlotAction::Refuse(key, wait) => (key, Err(wait)),
            };
            let is_start = verdict.is_ok();
            let Some(waiting) = self.waiting.remove(&key) else {
                continue;
            };
            let is_received = waiting.grant.send(verdict).is_ok();
            if is_start && !is_received {
                // The request was dropped while it waited, so its slot goes to the next one.
                let actions = self.queue.finish(now, waiting.is_nested, None);
                self.apply_actions(now, actions);
            }
        }
    }
}

fn refuse_unless_allowed(verdict: HandOverDecision) -> Result<(), Refusal> {
    let reason = match verdict {
        HandOverDecision::Allowed => return Ok(()),
        HandOverDecision::Forbidden => RefusalReason::Cancelled,
        HandOverDecision::Duplicate => RefusalReason::DuplicateInFlight,
    };
    Err((reason, Duration::ZERO))
}
