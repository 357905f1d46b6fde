//! Decision whether a hop retries a failed attempt.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::types::{AttemptOutcome, RefusalReason, TickTime};

use super::allowance::AttemptAllowance;
use super::budget::RetryBudget;
use super::settings::RetrySettings;

/// Relative jitter of a backoff in both directions.
const BACKOFF_JITTER: f64 = 0.5;

/// Facts about an attempt that got no answer from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// Whether the attempt ran, as far as this hop knows.
    pub outcome: AttemptOutcome,
    /// Reason for the failure, if a node reported one.
    pub reason: Option<RefusalReason>,
    /// Whether the request must run at most once.
    pub is_at_most_once: bool,
    /// Whether the method is idempotent, so that the request may be repeated.
    pub is_idempotent: bool,
    /// Whether the whole request body is still buffered and can be sent again.
    pub is_replayable: bool,
    /// Number of this attempt at this hop, from 1.
    pub attempt_number: u8,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Decision whether to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another target after a backoff.
    Retry {
        /// Time to wait before the retry.
        backoff: Duration,
    },
    /// Return the failure to the caller.
    Stop,
}

/// Retry policy of one hop.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    suppressed: u64,
}

impl RetryPolicy {
    /// Creates a policy with the given settings.
    pub const fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            suppressed: 0,
        }
    }

    /// Decides whether to retry after a failed attempt. A retry is charged to the budget here; sending it later spends the
    /// allowance.
    pub fn decide(
        &mut self,
        now: TickTime,
        budget: &mut RetryBudget,
        allowance: &AttemptAllowance,
        report: &AttemptReport,
        rng: &mut dyn RngCore,
    ) -> RetryDecision {
        let has_attempts =
            report.attempt_number < self.settings.max_attempts && allowance.remaining() > 0;
        if !has_attempts || !is_repeatable(report) || !may_succeed_elsewhere(report.reason) {
            return RetryDecision::Stop;
        }
        let backoff = self.backoff(report, rng);
        if backoff >= report.time_left {
            return RetryDecision::Stop;
        }
        if !budget.try_retry(now) {
            self.suppressed = self.suppressed.saturating_add(1);
            return RetryDecision::Stop;
        }
        RetryDecision::Retry { backoff }
    }

    /// Returns the number of retries that were prevented by the budget.
    pub const fn suppressed(&self) -> u64 {
        self.suppressed
    }

    fn backoff(&self, report: &AttemptReport, rng: &mut dyn RngCore) -> Duration {
        if is_target_unavailable(report.reason) {
            return Duration::ZERO;
        }
        let doublings = u32::from(report.attempt_number.saturating_sub(1));
        let factor = 2_u32.saturating_pow(doublings);
        let mean = self
            .settings
            .base_backoff
            .saturating_mul(factor)
            .min(self.settings.max_backoff);
        mean.mul_f64(rng.random_range(1.0 - BACKOFF_JITTER..1.0 + BACKOFF_JITTER))
    }
}

fn is_repeatable(report: &AttemptReport) -> bool {
    let is_safe = match report.outcome {
        AttemptOutcome::Ran => false,
        AttemptOutcome::NotRun => true,
        AttemptOutcome::Unknown => !report.is_at_most_once && report.is_idempotent,
    };
    is_safe && report.is_replayable
}

/// Returns whether the target is unavailable, so that another target can be tried without a backoff.
const fn is_target_unavailable(reason: Option<RefusalReason>) -> bool {
    matches!(
        reason,
        Some(RefusalReason::TargetLeaving | RefusalReason::TargetDown | RefusalReason::Stopping)
    )
}

/// Returns whether another target may succeed after a failure for this reason.
const fn may_succeed_elsewhere(reason: Option<RefusalReason>) -> bool {
    let Some(reason) = reason else {
        return true;
    };
    match reason {
        RefusalReason::PlanStale
        | RefusalReason::AdmissionLevel
        | RefusalReason::QueueFull
        | RefusalReason::TargetLimited
        | RefusalReason::SuspectAtWork
        | RefusalReason::Displaced
        | RefusalReason::DeadlineInfeasible
        | RefusalReason::TargetLeaving
        | RefusalReason::TargetDown
        | RefusalReason::TargetRefused
        | RefusalReason::TargetReplaced
        | RefusalReason::ClaimUnavailable
        | RefusalReason::AnswerLost
        | RefusalReason::Stopping => true,
        RefusalReason::BadRequest
        | RefusalReason::KeyRequired
        | RefusalReason::KeyExpired
        | RefusalReason::UnknownCaller
        | RefusalReason::NotGranted
        | RefusalReason::UnknownService
        | RefusalReason::PlanRate
        | RefusalReason::RequestHeld
        | RefusalReason::DeadlineExceeded
        | RefusalReason::Cancelled
        | RefusalReason::NoTarget
        | RefusalReason::AllowanceSpent
        | RefusalReason::RetriesSpent
        | RefusalReason::DuplicateInFlight
        | RefusalReason::ClaimInProgress
        | RefusalReason::AlreadyRan
        | RefusalReason::BodyTooLarge
        | RefusalReason::BadMeshToken => false,
    }
}
