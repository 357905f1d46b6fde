//! Measurement of work that started one after the other under one limit.

use super::work::WorkResult;

/// Work in one cohort. With service times that vary by their own mean, the mean of fewer is too uncertain to compare
/// two limits.
const COHORT_SIZE: u32 = 128;
/// Work of a cohort that must have finished. Waiting for the slowest of all would delay the result for long; leaving
/// out the same share each time keeps results comparable.
const NEEDED_FINISHED: u32 = 116;
/// Samples that make a mean of service times meaningful.
const MIN_SAMPLES: u32 = 32;

/// Means over one cohort.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CohortResult {
    /// Mean logarithm of service time over its long-term mean; outliers weigh less than in a plain mean.
    pub(super) log_ratio: f64,
    pub(super) failure_share: f64,
    /// Share of the work that took the last free slot.
    pub(super) busy_share: f64,
}

/// Collects one cohort after another.
///
/// Membership is decided at the start. Taking the first work to finish instead would prefer short work and make
/// every new limit look faster than the one before.
#[derive(Debug, Default)]
pub(super) struct StartCohort {
    number: u32,
    started: u32,
    busy_starts: u32,
    finished: u32,
    failures: u32,
    samples: u32,
    log_sum: f64,
}

impl StartCohort {
    pub(super) fn restart(&mut self) {
        *self = Self {
            number: self.number.wrapping_add(1),
            ..Self::default()
        };
    }

    pub(super) fn start(&mut self, is_at_limit: bool) -> Option<u32> {
        if self.started == COHORT_SIZE {
            return None;
        }
        self.started += 1;
        self.busy_starts += u32::from(is_at_limit);
        Some(self.number)
    }

    pub(super) fn finish(&mut self, number: u32, log_ratio: Option<f64>, result: WorkResult) {
        if number != self.number {
            return;
        }
        self.finished += 1;
        self.failures += u32::from(result == WorkResult::Failure);
        if let Some(log_ratio) = log_ratio {
            self.samples += 1;
            self.log_sum += log_ratio;
        }
    }

    /// Returns the means of a finished cohort and begins the next one.
    pub(super) fn take_result(&mut self) -> Option<CohortResult> {
        if self.finished < NEEDED_FINISHED {
            return None;
        }
        let log_ratio = if self.samples < MIN_SAMPLES {
            0.0
        } else {
            self.log_sum / f64::from(self.samples)
        };
        let result = CohortResult {
            log_ratio,
            failure_share: f64::from(self.failures) / f64::from(self.finished),
            busy_share: f64::from(self.busy_starts) / f64::from(self.started),
        };
        self.restart();
        Some(result)
    }
}
