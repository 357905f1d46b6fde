//! Adaptive concurrency limit below the announced slots.
//!
//! The service time can rise above its long-term mean for two reasons. If concurrent requests share a saturated
//! resource, a lower limit makes each of them faster and costs no throughput. If each request has become slower
//! regardless of concurrency, a lower limit only costs throughput. A trial cut distinguishes the two cases: the limit is
//! reduced, and the reduction is kept only if the service time or the share of failures falls with it.

use std::time::Duration;

use crate::types::TickTime;

use super::cohort::{CohortResult, StartCohort};
use super::work::WorkResult;

/// Number of samples in a cohort between trials. If the standard deviation of service times is as large as their mean, the
/// mean of fewer samples is too uncertain to compare two limits.
const COHORT_SIZE: u32 = 128;
/// Number of samples in one round of a trial. It is small because an unnecessary trial loses throughput.
const TRIAL_COHORT_SIZE: u32 = 48;
/// Number of consecutive rounds that must confirm a cut, so that it is rarely kept by chance.
const TRIAL_ROUNDS: u32 = 2;
/// Maximum duration of a trial round, and of the cohort that precedes a trial. A target that finishes too little work in
/// this time may change state during the measurement, so its limit stays.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(5);
/// Factor by which a trial reduces the limit. The effect of a smaller cut is lost in the noise of a cohort.
const TRIAL_CUT_FACTOR: f64 = 0.7;
/// Factor by which each cut of a failure trial reduces the limit. It is close to 1 because failures stop as soon as the
/// limit is below the concurrency that the target can handle, and a lower limit only loses throughput.
const FAILURE_CUT_FACTOR: f64 = 0.85;
/// Ratio of the service time to the baseline above which a trial starts.
const SLOWDOWN_THRESHOLD: f64 = 1.5;
/// Fraction of the full effect of a cut that the service time must show to confirm it. The full effect is a service time
/// proportional to the limit.
const MIN_EFFECT_FRACTION: f64 = 0.7;
/// Increase of the failure share, in absolute terms, above which a failure trial starts.
const FAILURE_RISE: f64 = 0.3;
/// Factor of the failure share before the trial, below which a cut is confirmed.
const FAILURE_FALL_FACTOR: f64 = 0.75;
/// Share of starts at the limit above which a change of the limit has a measurable effect.
const MIN_BUSY_SHARE: f64 = 0.5;
/// Divisor of the slots that gives the lowest limit, so that a wrong estimate cannot stop the target.
const MIN_LIMIT_DIVISOR: u32 = 8;
/// Relative growth of the limit after each busy cohort without a slowdown or a rise in failures.
const GROWTH_FRACTION: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct TrialCut {
    limit_before: f64,
    before: CohortResult,
    rounds_left: u32,
    is_failure_trial: bool,
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

    /// Scales the limit to a new number of slots and ends any trial. Does nothing if the number is unchanged.
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

    /// Records the start of work and returns the number of the cohort that it belongs to, if any. `in_flight` includes
    /// the new work.
    pub(super) fn start(&mut self, now: TickTime, in_flight: usize) -> Option<u32> {
        let is_at_limit = in_flight >= self.get() as usize;
        self.cohort.start(now, in_flight, is_at_limit)
    }

    /// Records finished work. `log_ratio` is the logarithm of its service time divided by the long-term mean.
    pub(super) fn finish(&mut self, cohort: u32, log_ratio: Option<f64>, result: WorkResult) {
        self.cohort.finish(cohort, log_ratio, result);
    }

    /// Returns the number of the current cohort if it is ready for evaluation.
    pub(super) fn ready_cohort(&self) -> Option<u32> {
        self.cohort.ready()
    }

    /// Adds a sample for work of the cohort that is still running.
    pub(super) fn add_unfinished(&mut self, log_ratio: f64) {
        self.cohort.add_unfinished(log_ratio);
    }

    /// Adapts the limit if the current cohort is ready, or reverts a trial that takes too long.
    pub(super) fn evaluate(&mut self, now: TickTime) {
        let result = self.cohort.result(now);
        match (self.trial.take(), result) {
            (Some(trial), Some(result)) => self.evaluate_trial(trial, &result),
            (Some(trial), None) if self.cohort.age(now) > MAX_TRIAL_DURATION => {
                self.revert(&trial, trial.before);
            }
            (None, Some(result)) => self.evaluate_cohort(result),
            (trial, None) => self.trial = trial,
        }
    }

    fn evaluate_trial(&mut self, trial: TrialCut, result: &CohortResult) {
        let full_effect = (trial.limit_before / self.limit).ln();
        let is_faster = log_ratio_decrease(trial.before.log_ratio, result.log_ratio)
            .is_some_and(|fall| fall > MIN_EFFECT_FRACTION * full_effect);
        let fails_less = trial.is_failure_trial
            && result.failure_share < trial.before.failure_share * FAILURE_FALL_FACTOR;
        let is_last_round = trial.rounds_left <= 1;
        if !is_faster && !fails_less {
            self.cut_again_or_revert(trial, result);
        } else if is_last_round {
            self.cohort.restart(COHORT_SIZE);
        } else {
            self.cohort.restart(TRIAL_COHORT_SIZE);
            self.trial = Some(TrialCut {
                rounds_left: trial.rounds_left - 1,
                ..trial
            });
        }
    }

    /// Cuts the limit again in a failure trial, and reverts the cut in any other trial. A target that fails all requests
    /// above some concurrency of its own continues to fail until the limit is below that concurrency.
    fn cut_again_or_revert(&mut self, trial: TrialCut, result: &CohortResult) {
        let floor = self.min_limit();
        if !trial.is_failure_trial || self.limit <= floor {
            // The result before the cut may include work from before the slowdown, so the slower one is the baseline.
            self.revert(&trial, trial.before.slower_of(result));
            return;
        }
        self.limit = (self.limit * FAILURE_CUT_FACTOR).max(floor);
        self.cohort.restart(TRIAL_COHORT_SIZE);
        self.trial = Some(TrialCut {
            rounds_left: TRIAL_ROUNDS,
            ..trial
        });
    }

    fn min_limit(&self) -> f64 {
        f64::from(self.slots.div_ceil(MIN_LIMIT_DIVISOR))
    }

    /// Restores the limit from before a trial and replaces the baseline.
    fn revert(&mut self, trial: &TrialCut, baseline: CohortResult) {
        self.limit = trial.limit_before;
        self.baseline = Some(baseline);
        self.cohort.restart(COHORT_SIZE);
    }

    fn evaluate_cohort(&mut self, result: CohortResult) {
        self.cohort.restart(COHORT_SIZE);
        let baseline = *self.baseline.get_or_insert(result);
        let is_slower = log_ratio_decrease(result.log_ratio, baseline.log_ratio)
            .is_some_and(|rise| rise > SLOWDOWN_THRESHOLD.ln());
        let fails_more = result.failure_share > baseline.failure_share + FAILURE_RISE;
        let is_busy = result.busy_share > MIN_BUSY_SHARE;
        let has_trial_begun = if fails_more {
            // Fast failures free their slots early, so the limit may be far above the concurrency that the target can
            // handle. The measured concurrency is used instead.
            let in_flight = result.in_flight.min(self.limit);
            self.begin_trial(result, in_flight * FAILURE_CUT_FACTOR, true)
        } else if is_slower && is_busy && result.duration <= MAX_TRIAL_DURATION {
            self.begin_trial(result, self.limit * TRIAL_CUT_FACTOR, false)
        } else {
            false
        };
        if has_trial_begun {
            return;
        }
        self.baseline = Some(baseline.updated_with(&result));
        if is_busy && !is_slower && !fails_more {
            let grown = self.limit + (self.limit * GROWTH_FRACTION).max(1.0);
            self.limit = grown.min(f64::from(self.slots));
        }
    }

    /// Starts a trial with the given limit, or returns false if the limit is already at its minimum.
    fn begin_trial(&mut self, before: CohortResult, limit: f64, is_failure_trial: bool) -> bool {
        let limit = limit.max(self.min_limit());
        if limit >= self.limit {
            return false;
        }
        self.trial = Some(TrialCut {
            limit_before: self.limit,
            before,
            rounds_left: TRIAL_ROUNDS,
            is_failure_trial,
        });
        self.limit = limit;
        self.cohort.restart(TRIAL_COHORT_SIZE);
        true
    }
}

fn log_ratio_decrease(before: Option<f64>, after: Option<f64>) -> Option<f64> {
    Some(before? - after?)
}
