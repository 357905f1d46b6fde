//! State of the admission to the local target: the target, its slot queue and the recorded hand-overs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{RequestRate, SlotAction, SlotQueue, WaitKey};
use crate::retry::{HandOverDecision, HandOverRecord};
use crate::routing::TargetState;
use crate::types::{RefusalReason, TickTime};

use super::announced_target::{AnnouncedTarget, TargetReport};
use super::hop::{HopRequest, LimitPolicy};
use super::limit_usage::{LimitUsage, UsageReport};
use super::target_notice::{LimitNotice, TargetNotice};
use super::target_terms::{TargetIdentity, TargetStatus, TargetTerms};

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
    pub(super) terms: TermsState,
    /// Use of the target's limit while there is one.
    pub(super) usage: Option<LimitUsage>,
}

/// Knowledge about the terms of the incarnation in use.
#[derive(Debug, Default)]
pub(super) struct TermsState {
    /// Number of changes of the terms.
    revision: u64,
    /// Time of the last answer in which the incarnation named a limit.
    named_at: Option<TickTime>,
    /// The incarnation has answered a request, so other nodes do not know its limit any better.
    has_answered: bool,
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

    fn identity(&self) -> Option<TargetIdentity> {
        let current = self.target.current()?;
        Some(TargetIdentity {
            id: current.id.clone(),
            born_ms: current.born_ms,
        })
    }

    /// Returns the incarnation in use, unless it is leaving.
    pub(super) fn serving_identity(&self) -> Option<TargetIdentity> {
        let current = self.target.current()?;
        (current.state != TargetState::Leaving).then(|| self.identity())?
    }

    /// Returns the terms in force and the load, for the sender of a request.
    pub(super) fn status(&self, now: TickTime) -> TargetStatus {
        let current = self.target.current();
        let is_leaving = current.is_some_and(|target| target.state == TargetState::Leaving);
        let limit = self.queue.limit();
        let identity = self.identity().filter(|_| is_leaving || limit.is_some());
        TargetStatus {
            terms: identity.map(|identity| TargetTerms {
                identity,
                limit,
                is_leaving,
            }),
            revision: self.terms.revision,
            limit_wait: self.queue.limit_wait(now),
        }
    }

    /// Applies what the target said in its answer to a request that was handed over at `handed_over_at`. Only an answer that is
    /// neither a rejection nor a failure (`is_whole`) can show that there is no limit. Returns whether the target is now known
    /// to be leaving.
    pub(super) fn apply_notice(
        &mut self,
        now: TickTime,
        identity: &TargetIdentity,
        notice: TargetNotice,
        handed_over_at: TickTime,
        is_whole: bool,
    ) -> bool {
        if self.identity().as_ref() != Some(identity) {
            return false;
        }
        match notice.limit {
            LimitNotice::Named(rate) => {
                self.terms.named_at = Some(now);
                self.terms.has_answered = true;
                self.set_limit(now, Some(rate), "answer");
            }
            // An answer may have been written before one that named a limit and arrive after it, unless its request was
            // handed over later.
            LimitNotice::Absent if is_whole => {
                let named_at = self.terms.named_at;
                if named_at.is_none_or(|named_at| handed_over_at >= named_at) {
                    self.terms.has_answered = true;
                    self.set_limit(now, None, "answer");
                }
            }
            LimitNotice::Absent | LimitNotice::Unreadable => {}
        }
        notice.is_leaving && self.mark_leaving(now, identity, "answer")
    }

    /// Adopts terms that another node has received earlier, if this node has not heard from the target since its own start.
    /// Returns whether the target is now known to be leaving.
    pub(super) fn adopt_terms(&mut self, now: TickTime, terms: &TargetTerms) -> bool {
        if self.identity().as_ref() != Some(&terms.identity) {
            return false;
        }
        if let Some(received) = terms.limit.filter(|_| !self.terms.has_answered) {
            // Nodes may have received different values; the target's next answer tells which one holds.
            let limit = self
                .queue
                .limit()
                .map_or(received, |known| known.min(received));
            self.set_limit(now, Some(limit), "peer");
        }
        terms.is_leaving && self.mark_leaving(now, &terms.identity, "peer")
    }

    /// Forgets the terms of the previous incarnation.
    pub(super) fn reset_terms(&mut self, now: TickTime) {
        self.set_limit(now, None, "new-incarnation");
        self.terms.named_at = None;
        self.terms.has_answered = false;
    }

    fn set_limit(&mut self, now: TickTime, rate: Option<RequestRate>, source: &str) {
        let known = self.queue.limit();
        if rate == known {
            return;
        }
        self.terms.revision += 1;
        let usage = self.usage.get_or_insert_with(|| LimitUsage::new(now));
        usage.advance(now, known);
        self.queue.set_limit(now, rate);
        let show = |rate: Option<RequestRate>| rate.map_or(-1.0, RequestRate::per_second);
        log::info!(
            "event=target_limit per_s={} previous_per_s={} source={source} running={} waiting={}",
            show(rate),
            show(known),
            self.queue.running(),
            self.queue.waiting()
        );
        let actions = self.queue.start_waiting(now);
        self.apply_actions(now, actions);
    }

    /// Refuses a request that would have to wait for the limit although its sender knows another target.
    pub(super) fn check_limit(
        &mut self,
        now: TickTime,
        policy: LimitPolicy,
    ) -> Result<(), Refusal> {
        let wait = self.queue.limit_wait(now).unwrap_or_default();
        if policy == LimitPolicy::Wait || wait.is_zero() {
            return Ok(());
        }
        Err(self.refuse_by_limit(wait))
    }

    fn refuse_by_limit(&mut self, wait: Duration) -> Refusal {
        if let Some(usage) = &mut self.usage {
            usage.count_refused();
        }
        (RefusalReason::TargetLimited, wait)
    }

    /// Returns the refusal of a request that the queue did not accept or gave up. While a limit is used up, it is the cause.
    pub(super) fn queue_refusal(
        &mut self,
        now: TickTime,
        reason: RefusalReason,
        wait: Duration,
    ) -> Refusal {
        let limit_wait = self.queue.limit_wait(now).unwrap_or_default();
        if limit_wait.is_zero() {
            return (reason, wait);
        }
        self.refuse_by_limit(wait)
    }

    /// Returns a report on the use of the limit when one is due, and when the limit has ended.
    pub(super) fn take_usage(&mut self, now: TickTime) -> Option<UsageReport> {
        let limit = self.queue.limit();
        let usage = self.usage.as_mut()?;
        usage.advance(now, limit);
        if limit.is_some() && !usage.is_due(now) {
            return None;
        }
        let report = usage.report(limit);
        self.usage = limit.is_some().then(|| LimitUsage::new(now));
        Some(report)
    }

    fn mark_leaving(&mut self, now: TickTime, identity: &TargetIdentity, source: &str) -> bool {
        if !self.target.mark_leaving(&identity.id, identity.born_ms) {
            return false;
        }
        self.terms.revision += 1;
        log::info!(
            "event=target_leaving id={:?} source={source} waiting={}",
            identity.id,
            self.queue.waiting()
        );
        self.follow_target(now);
        true
    }

    /// Records the hand-over and returns the identity of the target. Fails if the request was cancelled or the target was
    /// lost after the request acquired its slot.
    pub(super) fn begin_hand_over(
        &mut self,
        oldest: TickTime,
        request: &HopRequest,
        deadline: TickTime,
    ) -> Result<TargetIdentity, Refusal> {
        let Some(identity) = self.ready(oldest).and_then(|_| self.identity()) else {
            return Err((RefusalReason::TargetDown, Duration::ZERO));
        };
        let (attempt_id, is_at_most_once) = (request.attempt_id, request.is_at_most_once);
        let verdict = self.hand_overs.begin(attempt_id, is_at_most_once, deadline);
        refuse_unless_allowed(verdict)?;
        if let Some(usage) = &mut self.usage {
            usage.count_served();
        }
        Ok(identity)
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
            None => self.queue.refuse_all(now),
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
