//! Adaptive concurrency limit below the announced slots.
//!
//! A rise of the service time over its long-term mean has two possible causes. If the target shares a saturated
//! resource among its requests, fewer requests at a time are each faster and nothing is lost. If each request is
//! slower on its own, fewer requests at a time only lose throughput. The limit tells them apart by a trial cut: the
//! cut stays only if the service time, or the share of failures, falls with it.

use std::time::Duration;

use crate::types::TickTime;

use super::cohort::{CohortResult, StartCohort};
use super::work::WorkResult;

/// Work that is measured between trials. With service times that vary by their own mean, the mean of fewer is too
/// uncertain to compare two limits.
const COHORT_SIZE: u32 = 128;
/// Work that is measured in one round of a trial. It is short because a wrong trial loses throughput.
const TRIAL_SIZE: u32 = 48;
/// Rounds that must all confirm a cut, so that it is rarely kept by chance.
const TRIAL_ROUNDS: u32 = 2;
/// Longest trial, and longest cohort before one. A target that finishes too little work in this time cannot be
/// measured while its state lasts, and keeps its limit.
const MAX_TRIAL: Duration = Duration::from_secs(3);
/// Factor of a trial cut. A smaller cut cannot be told from the noise of a cohort.
const CUT: f64 = 0.7;
/// Service time over its long-term mean that starts a trial cut.
const TOLERANCE: f64 = 1.5;
/// Share of the full effect of a cut that confirms it.
const CONFIRM_EFFECT: f64 = 0.7;
/// Rise of the share of failures that starts a trial cut, and the fall that confirms it.
const FAILURE_RISE: f64 = 0.3;
const FAILURE_FALL: f64 = 0.75;
/// Share of starts at the limit above which a change of the limit has an effect that can be measured.
const BUSY_SHARE: f64 = 0.5;
/// The limit stays above this part of the slots, so that a wrong estimate cannot stop the target.
const FLOOR_DIVISOR: u32 = 8;
/// Growth of the limit for each busy cohort without a rise.
const GROWTH: f64 = 0.25;
/// Weight of a cohort in the baseline when it is slower than the baseline.
const RISE_WEIGHT: f64 = 0.05;
/// Weight of a cohort in the baseline when it is faster; a target that recovers or warms up is believed sooner.
const FALL_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
struct TrialCut {
    limit_before: f64,
    before: CohortResult,
    rounds_left: u32,
}

/// Concurrency limit that follows measured service times and failures.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    cohort: StartCohort,
    baseline: Option<CohortResult>,
    trial: Option<TrialCut>,
}

impl ConcurrencyLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            cohort: StartCohort::new(COHORT_SIZE),
            baseline: None,
            trial: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        (self.limit.round() as u32).clamp(self.slots.min(1), self.slots)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let share = if self.slots == 0 {
            1.0
        } else {
            self.limit / f64::from(self.slots)
        };
        self.slots = slots;
        self.limit = f64::from(slots) * share;
        self.trial = None;
        self.cohort.restart(COHORT_SIZE);
    }

    /// Counts started work and returns the number of its cohort, if it belongs to one.
    pub(super) fn start(&mut self, now: TickTime, is_at_limit: bool) -> Option<u32> {
        self.cohort.start(now, is_at_limit)
    }

    /// Adds finished work with the logarithm of its service time over the long-term mean.
    pub(super) fn finish(&mut self, cohort: u32, log_ratio: Option<f64>, result: WorkResult) {
        self.cohort.finish(cohort, log_ratio, result);
    }

    /// Adapts the limit once a cohort has finished under it.
    pub(super) fn evaluate(&mut self, now: TickTime) {
        let result = self.cohort.result(now);
        match (self.trial.take(), result) {
            (Some(trial), Some(result)) => self.judge_trial(trial, &result),
            (Some(trial), None) if self.cohort.age(now) > MAX_TRIAL => self.revert(&trial),
            (None, Some(result)) => self.follow(result),
            (trial, None) => self.trial = trial,
        }
    }

    fn judge_trial(&mut self, trial: TrialCut, result: &CohortResult) {
        let full_effect = (trial.limit_before / self.limit).ln();
        let is_faster = fall(trial.before.log_ratio, result.log_ratio)
            .is_some_and(|fall| fall > CONFIRM_EFFECT * full_effect);
        let fails_less = trial.before.failure_share > FAILURE_RISE
            && result.failure_share < trial.before.failure_share * FAILURE_FALL;
        if !is_faster && !fails_less {
            self.revert(&trial);
        } else if trial.rounds_left > 1 {
            self.cohort.restart(TRIAL_SIZE);
            self.trial = Some(TrialCut {
                rounds_left: trial.rounds_left - 1,
                ..trial
            });
        } else {
            self.cohort.restart(COHORT_SIZE);
        }
    }

    /// Undoes a cut without effect and accepts the measurement before it as the new baseline.
    fn revert(&mut self, trial: &TrialCut) {
        self.limit = trial.limit_before;
        self.baseline = Some(trial.before);
        self.cohort.restart(COHORT_SIZE);
    }

    fn follow(&mut self, result: CohortResult) {
        self.cohort.restart(COHORT_SIZE);
        let baseline = *self.baseline.get_or_insert(result);
        let is_slower =
            fall(result.log_ratio, baseline.log_ratio).is_some_and(|rise| rise > TOLERANCE.ln());
        let has_risen = is_slower || result.failure_share > baseline.failure_share + FAILURE_RISE;
        let is_busy = result.busy_share > BUSY_SHARE;
        if has_risen && is_busy && result.duration <= MAX_TRIAL {
            self.begin_trial(result);
            return;
        }
        self.baseline = Some(CohortResult {
            log_ratio: match (baseline.log_ratio, result.log_ratio) {
                (Some(baseline), Some(value)) => Some(follow_value(baseline, value)),
                (baseline, value) => baseline.or(value),
            },
            failure_share: follow_value(baseline.failure_share, result.failure_share),
            ..result
        });
        if is_busy && !has_risen {
            let grown = self.limit + (self.limit * GROWTH).max(1.0);
            self.limit = grown.min(f64::from(self.slots));
        }
    }

    fn begin_trial(&mut self, before: CohortResult) {
        let floor = f64::from(self.slots.div_ceil(FLOOR_DIVISOR));
        let cut = (self.limit * CUT).max(floor);
        if cut >= self.limit {
            return;
        }
        self.trial = Some(TrialCut {
            limit_before: self.limit,
            before,
            rounds_left: TRIAL_ROUNDS,
        });
        self.limit = cut;
        self.cohort.restart(TRIAL_SIZE);
    }
}

fn fall(before: Option<f64>, after: Option<f64>) -> Option<f64> {
    Some(before? - after?)
}

fn follow_value(baseline: f64, value: f64) -> f64 {
    let weight = if value < baseline {
        FALL_WEIGHT
    } else {
        RISE_WEIGHT
    };
    baseline + (value - baseline) * weight
}
