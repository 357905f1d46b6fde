//! Adaptive concurrency limit below the announced slots.
//!
//! A rise of the service time over its long-term mean has two possible causes. If the target shares a saturated
//! resource among its requests, fewer requests at a time are each faster and nothing is lost. If each request is
//! slower on its own, fewer requests at a time only lose throughput. The limit tells them apart by a trial cut: the
//! cut stays only if the service time falls with it.

use super::work::WorkResult;

/// Service time over its long-term mean that starts a trial cut.
const TOLERANCE: f64 = 1.5;
/// Factor of a trial cut.
const CUT: f64 = 0.7;
/// Ratio of service times after and before a cut that confirms it, halfway between no effect and full effect.
const CONFIRM: f64 = 0.85;
/// Ratio below which the long-term mean follows at once, because the target has become faster.
const FASTER: f64 = 0.8;
/// Samples in one evaluation. Fewer let the noise of exponential service times confirm cuts by chance.
const MIN_SAMPLES: u32 = 96;
/// Share of failures in an evaluation above which the limit is cut.
const FAILURE_RATIO: f64 = 0.5;
/// The limit stays above this part of the slots, so that a wrong estimate cannot stop the target.
const FLOOR_DIVISOR: u32 = 8;
/// Growth of the limit for each evaluation in which it was reached.
const GROWTH: f64 = 0.1;
/// Samples with a larger ratio count as this much, so that single outliers do not decide.
const MAX_RATIO: f64 = 8.0;

/// Change that an evaluation makes to the long-term mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum BaselineChange {
    Keep,
    Scale(f64),
}

#[derive(Debug, Clone, Copy)]
struct TrialCut {
    limit_before: f64,
    ratio_before: f64,
}

/// Concurrency limit that follows measured service times and failures.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    trial: Option<TrialCut>,
    generation: u32,
    ratio_sum: f64,
    samples: u32,
    failures: u32,
    was_reached: bool,
}

impl ConcurrencyLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            trial: None,
            generation: 0,
            ratio_sum: 0.0,
            samples: 0,
            failures: 0,
            was_reached: false,
        }
    }

    pub(super) fn get(&self) -> u32 {
        (self.limit as u32).clamp(self.slots.min(1), self.slots)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let share = self.limit / f64::from(self.slots.max(1));
        let share = if self.slots == 0 { 1.0 } else { share };
        self.slots = slots;
        self.limit = f64::from(slots) * share;
        self.trial = None;
        self.restart();
    }

    /// Returns the number of the current limit; work carries it, so that only work started under it is measured.
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    pub(super) fn note_reached(&mut self) {
        self.was_reached = true;
    }

    /// Adds finished work with its ratio to the long-term mean.
    pub(super) fn record(&mut self, generation: u32, ratio: f64, result: WorkResult) {
        if generation != self.generation {
            return;
        }
        match result {
            WorkResult::Success => {
                self.samples += 1;
                self.ratio_sum += ratio.min(MAX_RATIO);
            }
            WorkResult::Failure => self.failures += 1,
            WorkResult::NotStarted => {}
        }
    }

    /// Adapts the limit once enough work has finished under it.
    pub(super) fn evaluate(&mut self) -> BaselineChange {
        let total = self.samples + self.failures;
        if total < MIN_SAMPLES {
            return BaselineChange::Keep;
        }
        if f64::from(self.failures) > FAILURE_RATIO * f64::from(total) {
            self.trial = None;
            self.change_limit(self.limit * CUT);
            return BaselineChange::Keep;
        }
        let ratio = self.ratio_sum / f64::from(self.samples.max(1));
        match self.trial.take() {
            Some(trial) => self.end_trial(trial, ratio),
            None => self.follow(ratio),
        }
    }

    fn end_trial(&mut self, trial: TrialCut, ratio: f64) -> BaselineChange {
        if ratio < trial.ratio_before * CONFIRM {
            self.restart();
            return BaselineChange::Keep;
        }
        self.change_limit(trial.limit_before);
        BaselineChange::Scale(ratio)
    }

    fn follow(&mut self, ratio: f64) -> BaselineChange {
        if ratio > TOLERANCE && self.was_reached && self.limit > self.floor() {
            self.trial = Some(TrialCut {
                limit_before: self.limit,
                ratio_before: ratio,
            });
            self.change_limit(self.limit * CUT);
            return BaselineChange::Keep;
        }
        if self.was_reached && ratio <= TOLERANCE {
            self.change_limit(self.limit + (self.limit * GROWTH).max(1.0));
        } else {
            self.restart();
        }
        if ratio < FASTER {
            return BaselineChange::Scale(ratio);
        }
        BaselineChange::Keep
    }

    fn floor(&self) -> f64 {
        f64::from(self.slots.div_ceil(FLOOR_DIVISOR))
    }

    fn change_limit(&mut self, limit: f64) {
        let before = self.get();
        self.limit = limit.clamp(self.floor(), f64::from(self.slots));
        if self.get() != before {
            self.generation = self.generation.wrapping_add(1);
        }
        self.restart();
    }

    fn restart(&mut self) {
        self.ratio_sum = 0.0;
        self.samples = 0;
        self.failures = 0;
        self.was_reached = false;
    }
}
