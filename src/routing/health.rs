//! Health state machine of one target, driven by the results of this node's attempts.

use std::time::Duration;

use statig::prelude::*;

use crate::types::{RefusalReason, RequestPriority, TickTime};

use super::RoutingSettings;

/// Number of recent results over which the failure ratio is computed.
const RECENT_RESULTS: u32 = 64;
/// Successful probes after which an ejected target is healthy again.
const PROBES_TO_RECOVER: u32 = 2;

/// Load that a target's node reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Admission level for the called service and endpoint.
    pub level: Option<RequestPriority>,
    /// Expected queueing time until a slot is free.
    pub queue_wait: Option<Duration>,
    /// Whether `queue_wait` applies to calls made on behalf of running requests.
    pub is_nested: bool,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The target answered.
    Answered,
    /// The target's node refused the work.
    Refused(RefusalReason),
    /// The connection, the answer or the target failed.
    Failed,
}

impl SendResult {
    /// Returns `Some(true)` for a success, `Some(false)` for a failure of the target, and `None` if the result does not
    /// indicate either.
    pub(super) const fn verdict(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::Failed
            | Self::Refused(
                RefusalReason::TargetDown
                | RefusalReason::TargetRefused
                | RefusalReason::PlanStale
                | RefusalReason::BadMeshToken,
            ) => Some(false),
            Self::Refused(_) => None,
        }
    }

    pub(super) const fn is_leaving(self) -> bool {
        matches!(
            self,
            Self::Refused(RefusalReason::TargetLeaving | RefusalReason::Stopping)
        )
    }
}

/// Event that can change the health of a target.
#[derive(Debug, Clone, Copy)]
pub(super) enum HealthEvent {
    Verdict {
        now: TickTime,
        is_success: bool,
        may_eject: bool,
    },
    Elapsed {
        now: TickTime,
    },
    Reinstate,
    Leaving {
        now: TickTime,
    },
    AnnouncedReady,
}

/// Counters that the state transitions depend on.
#[derive(Debug, Default)]
pub(super) struct TargetHealth {
    failures_in_row: u32,
    // One bit for each recent result, set for a failure.
    recent: u64,
    recent_count: u32,
    ejections: u32,
    probes_passed: u32,
}

pub(super) type HealthMachine = InitializedStateMachine<TargetHealth>;

/// Creates the state machine of a new target, in the healthy state.
pub(super) fn new_machine(settings: &RoutingSettings) -> HealthMachine {
    let mut context = settings;
    TargetHealth::default()
        .uninitialized_state_machine()
        .init_with_context(&mut context)
}

#[state_machine(
    initial = "State::healthy()",
    visibility = "pub(super)",
    state(derive(Debug, Clone, PartialEq)),
    superstate(derive(Debug))
)]
impl TargetHealth {
    #[state(superstate = "serving")]
    fn healthy(&mut self, event: &HealthEvent, context: &mut &RoutingSettings) -> Outcome<State> {
        let HealthEvent::Verdict {
            now,
            is_success,
            may_eject,
        } = *event
        else {
            return Super;
        };
        self.record_verdict(is_success);
        if may_eject && self.is_failing(context) {
            return Transition(self.eject(now, context));
        }
        Handled
    }

    #[state(superstate = "serving")]
    fn ejected(&mut self, until: &TickTime, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Elapsed { now } if now >= until => {
                self.probes_passed = 0;
                Transition(State::probing())
            }
            // Ignores the results of attempts that were sent before the ejection.
            HealthEvent::Verdict { .. } => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn probing(&mut self, event: &HealthEvent, context: &mut &RoutingSettings) -> Outcome<State> {
        match *event {
            HealthEvent::Verdict {
                is_success: true, ..
            } => {
                self.probes_passed += 1;
                if self.probes_passed < PROBES_TO_RECOVER {
                    return Handled;
                }
                self.clear_verdicts();
                Transition(State::healthy())
            }
            HealthEvent::Verdict { now, may_eject, .. } if may_eject => {
                Transition(self.eject(now, context))
            }
            _ => Super,
        }
    }

    // Remembers a ready announcement that follows the leaving notice, because the directory does not repeat it.
    #[state]
    fn leaving(
        &mut self,
        since: &mut TickTime,
        is_announced: &mut bool,
        event: &HealthEvent,
        context: &mut &RoutingSettings,
    ) -> Outcome<State> {
        match *event {
            HealthEvent::Leaving { now } => {
                *since = now;
                *is_announced = false;
            }
            HealthEvent::AnnouncedReady => *is_announced = true,
            HealthEvent::Elapsed { now }
                if *is_announced && now.saturating_since(*since) >= context.leaving_hold =>
            {
                *self = Self::default();
                return Transition(State::healthy());
            }
            _ => {}
        }
        Handled
    }

    #[superstate]
    fn serving(&mut self, event: &HealthEvent) -> Outcome<State> {
        match *event {
            HealthEvent::Leaving { now } => Transition(State::leaving(now, false)),
            HealthEvent::Reinstate => {
                self.clear_verdicts();
                Transition(State::healthy())
            }
            _ => Handled,
        }
    }
}

impl TargetHealth {
    fn record_verdict(&mut self, is_success: bool) {
        self.failures_in_row = if is_success {
            0
        } else {
            self.failures_in_row + 1
        };
        self.recent = (self.recent << 1) | u64::from(!is_success);
        self.recent_count = (self.recent_count + 1).min(RECENT_RESULTS);
        // A full window of successes resets the ejection backoff.
        if self.recent_count == RECENT_RESULTS && self.recent == 0 {
            self.ejections = 0;
        }
    }

    fn is_failing(&self, settings: &RoutingSettings) -> bool {
        let has_ratio = self.recent_count >= settings.eject_min_attempts;
        let is_mostly_failing = self.recent.count_ones() * 2 > self.recent_count;
        self.failures_in_row >= settings.eject_after_failures || (has_ratio && is_mostly_failing)
    }

    fn eject(&mut self, now: TickTime, settings: &RoutingSettings) -> State {
        let doubled =
            settings.first_ejection_duration * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        State::ejected(now + doubled.min(settings.max_ejection_duration))
    }

    fn clear_verdicts(&mut self) {
        self.failures_in_row = 0;
        self.recent = 0;
        self.recent_count = 0;
    }
}
