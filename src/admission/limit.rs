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
/// Longest round of a trial, and longest cohort before one. A target that finishes too little work in this time
/// cannot be measured while its state lasts, and keeps its limit.
const MAX_TRIAL: Duration = Duration::from_secs(5);
/// Factor of a trial cut. A smaller cut cannot be told from the noise of a cohort.
const CUT: f64 = 0.7;
/// Factor of a trial cut because of failures, and of each further one. It is close to 1 because failures stop at
/// once below the number that the target bears, and a lower limit only loses throughput.
const FAILURE_CUT: f64 = 0.85;
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

#[derive(Debug, Clone, Copy)]
struct TrialCut {
    limit_before: f64,
    before: CohortResult,
    rounds_left: u32,
    is_about_failures: bool,
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

    /// Scales the limit to a new number of slots. A repeated announcement of the same number changes nothing.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        let limit = self
            .trial
            .take()
            .map_or(self.limit, |trial| trial.limit_before);
        let share = if self.slots == 0 {
            1.0
        } else {
            limit / f64::from(self.slots)
        };
        self.slots = slots;
        self.limit = f64::from(slots) * share;
        self.cohort.restart(COHORT_SIZE);
    }

    /// Counts started work, given the number in flight with it, and returns the number of its cohort, if it belongs
    /// to one.
    pub(super) fn start(&mut self, now: TickTime, in_flight: usize) -> Option<u32> {
        let is_at_limit = in_flight >= self.get() as usize;
        self.cohort.start(now, in_flight, is_at_limit)
    }

    /// Adds finished work with the logarithm of its service time over the long-term mean.
    pub(super) fn finish(&mut self, cohort: u32, log_ratio: Option<f64>, result: WorkResult) {
        self.cohort.finish(cohort, log_ratio, result);
    }

    /// Returns the number of the cohort that the next evaluation decides on, if there is one.
    pub(super) fn ready_cohort(&self) -> Option<u32> {
        self.cohort.ready()
    }

    /// Counts work of the cohort that still runs.
    pub(super) fn add_unfinished(&mut self, log_ratio: f64) {
        self.cohort.add_unfinished(log_ratio);
    }

    /// Adapts the limit once a cohort has finished under it.
    pub(super) fn evaluate(&mut self, now: TickTime) {
        let result = self.cohort.result(now);
        match (self.trial.take(), result) {
            (Some(trial), Some(result)) => self.judge_trial(trial, &result),
            (Some(trial), None) if self.cohort.age(now) > MAX_TRIAL => {
                self.revert(&trial, trial.before);
            }
            (None, Some(result)) => self.follow(result),
            (trial, None) => self.trial = trial,
        }
    }

    fn judge_trial(&mut self, trial: TrialCut, result: &CohortResult) {
        let full_effect = (trial.limit_before / self.limit).ln();
        let is_faster = fall(trial.before.log_ratio, result.log_ratio)
            .is_some_and(|fall| fall > CONFIRM_EFFECT * full_effect);
        let fails_less = trial.is_about_failures
            && result.failure_share < trial.before.failure_share * FAILURE_FALL;
        let is_last_round = trial.rounds_left <= 1;
        if !is_faster && !fails_less {
            self.continue_or_revert(trial, result);
        } else if is_last_round {
            self.cohort.restart(COHORT_SIZE);
        } else {
            self.cohort.restart(TRIAL_SIZE);
            self.trial = Some(TrialCut {
                rounds_left: trial.rounds_left - 1,
                ..trial
            });
        }
    }

    /// Cuts on if the trial is about failures: a target that fails all requests above a number of its own goes on
    /// failing until the limit is below that number.
    fn continue_or_revert(&mut self, trial: TrialCut, result: &CohortResult) {
        let floor = self.floor();
        if !trial.is_about_failures || self.limit <= floor {
            // The measurement before the cut may still contain work from before the slowdown.
            self.revert(&trial, trial.before.slower_of(result));
            return;
        }
        self.limit = (self.limit * FAILURE_CUT).max(floor);
        self.cohort.restart(TRIAL_SIZE);
        self.trial = Some(TrialCut {
            rounds_left: TRIAL_ROUNDS,
            ..trial
        });
    }

    fn floor(&self) -> f64 {
        f64::from(self.slots.div_ceil(FLOOR_DIVISOR))
    }

    /// Undoes a cut without effect.
    fn revert(&mut self, trial: &TrialCut, baseline: CohortResult) {
        self.limit = trial.limit_before;
        self.baseline = Some(baseline);
        self.cohort.restart(COHORT_SIZE);
    }

    fn follow(&mut self, result: CohortResult) {
        self.cohort.restart(COHORT_SIZE);
        let baseline = *self.baseline.get_or_insert(result);
        let is_slower =
            fall(result.log_ratio, baseline.log_ratio).is_some_and(|rise| rise > TOLERANCE.ln());
        let fails_more = result.failure_share > baseline.failure_share + FAILURE_RISE;
        let is_busy = result.busy_share > BUSY_SHARE;
        let has_begun = if fails_more {
            // Quick failures free their slots, so the limit may be far above the number that the target bears.
            let in_flight = result.in_flight.min(self.limit);
            self.begin_trial(result, in_flight * FAILURE_CUT, true)
        } else if is_slower && is_busy && result.duration <= MAX_TRIAL {
            self.begin_trial(result, self.limit * CUT, false)
        } else {
            false
        };
        if has_begun {
            return;
        }
        self.baseline = Some(baseline.followed_by(&result));
        if is_busy && !is_slower && !fails_more {
            let grown = self.limit + (self.limit * GROWTH).max(1.0);
            self.limit = grown.min(f64::from(self.slots));
        }
    }

    /// Begins a trial cut unless the limit is too low for one already.
    fn begin_trial(&mut self, before: CohortResult, limit: f64, is_about_failures: bool) -> bool {
        let limit = limit.max(self.floor());
        if limit >= self.limit {
            return false;
        }
        self.trial = Some(TrialCut {
            limit_before: self.limit,
            before,
            rounds_left: TRIAL_ROUNDS,
            is_about_failures,
        });
        self.limit = limit;
        self.cohort.restart(TRIAL_SIZE);
        true
    }
}

fn fall(before: Option<f64>, after: Option<f64>) -> Option<f64> {
    Some(before? - after?)
}
