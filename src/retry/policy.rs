//! Decision about another attempt at the same hop.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::types::{AttemptOutcome, RefusalReason, TickTime};

use super::allowance::AttemptAllowance;
use super::budget::RetryBudget;
use super::settings::RetrySettings;

/// Share of the mean by which a backoff varies either way.
const BACKOFF_JITTER: f64 = 0.5;

/// What is known about an attempt that brought no answer from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// What is known about its execution.
    pub outcome: AttemptOutcome,
    /// Why it failed, if a node said so.
    pub reason: Option<RefusalReason>,
    /// Whether the work may run at most once.
    pub is_at_most_once: bool,
    /// Whether the method may be repeated.
    pub is_idempotent: bool,
    /// Whether the whole body is still at hand.
    pub is_replayable: bool,
    /// Number of this attempt at this hop, from 1.
    pub attempt_number: u8,
    /// Time until the deadline.
    pub time_left: Duration,
}

/// Whether to send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send to another target after a pause.
    Retry {
        /// Length of the pause.
        backoff: Duration,
    },
    /// Pass the failure on.
    Stop,
}

/// Rules for retries at one hop.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    suppressed: u64,
}

impl RetryPolicy {
    /// Creates the policy.
    pub const fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            suppressed: 0,
        }
    }

    /// Decides about another attempt. A retry is counted in the budget; the send itself spends the allowance.
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
        if !has_attempts || !is_repeatable(report) || !is_worthwhile(report.reason) {
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

    /// Returns how many retries the budget has prevented.
    pub const fn suppressed(&self) -> u64 {
        self.suppressed
    }

    fn backoff(&self, report: &AttemptReport, rng: &mut dyn RngCore) -> Duration {
        if is_gone(report.reason) {
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

/// Returns whether the target cannot serve at all, so that another target can be tried without a pause.
const fn is_gone(reason: Option<RefusalReason>) -> bool {
    matches!(
        reason,
        Some(RefusalReason::TargetLeaving | RefusalReason::TargetDown | RefusalReason::Stopping)
    )
}

/// Returns whether another target may give a better result than this reason.
const fn is_worthwhile(reason: Option<RefusalReason>) -> bool {
    let Some(reason) = reason else {
        return true;
    };
    match reason {
        RefusalReason::PlanStale
        | RefusalReason::AdmissionLevel
        | RefusalReason::QueueFull
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
