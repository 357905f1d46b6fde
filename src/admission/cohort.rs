//! Measurement of consecutive pieces of work that start under the same concurrency limit.

use std::time::Duration;

use crate::types::TickTime;

use super::work::WorkResult;

/// Percentage of a cohort that must have finished before it is evaluated. Waiting for the slowest work would delay the
/// result considerably.
const MIN_FINISHED_PERCENT: u32 = 90;
/// Weight of a cohort in the baseline if its value is above the baseline.
const RISE_WEIGHT: f64 = 0.05;
/// Weight of a cohort in the baseline if its value is below the baseline. It is larger, so that the baseline quickly follows
/// a target that recovers or warms up.
const FALL_WEIGHT: f64 = 0.3;
/// Minimum number of samples for a meaningful mean of service times.
const MIN_SAMPLES: u32 = 32;

/// Result of one cohort.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CohortResult {
    /// Mean of the logarithm of service time divided by the long-term mean. The logarithm reduces the influence of
    /// outliers. `None` if there are too few valid service times.
    pub(super) log_ratio: Option<f64>,
    pub(super) failure_share: f64,
    /// Share of the work that took the last free slot when it started.
    pub(super) busy_share: f64,
    /// Mean number of requests in flight, measured just after each start.
    pub(super) in_flight: f64,
    /// Time from the first start until the evaluation.
    pub(super) duration: Duration,
}

impl CohortResult {
    /// Returns this result with the larger `log_ratio` of the two.
    pub(super) fn slower_of(&self, other: &Self) -> Self {
        let is_slower = other.log_ratio > self.log_ratio;
        Self {
            log_ratio: if is_slower {
                other.log_ratio
            } else {
                self.log_ratio
            },
            ..*self
        }
    }

    /// Returns this baseline updated with a newer result.
    pub(super) fn updated_with(&self, newer: &Self) -> Self {
        let log_ratio = match (self.log_ratio, newer.log_ratio) {
            (Some(old), Some(new)) => Some(update_average(old, new)),
            (old, new) => old.or(new),
        };
        Self {
            log_ratio,
            failure_share: update_average(self.failure_share, newer.failure_share),
            ..*newer
        }
    }
}

fn update_average(baseline: f64, value: f64) -> f64 {
    let weight = if value < baseline {
        FALL_WEIGHT
    } else {
        RISE_WEIGHT
    };
    baseline + (value - baseline) * weight
}

/// Collects measurements of one cohort at a time.
///
/// Work joins the cohort when it starts. Collecting the first work to finish instead would favour short work and make
/// every new limit look faster than the previous one.
#[derive(Debug)]
pub(super) struct StartCohort {
    size: u32,
    number: u32,
    first_start: TickTime,
    started: u32,
    busy_starts: u32,
    in_flight_sum: u64,
    finished: u32,
    failures: u32,
    samples: u32,
    log_sum: f64,
}

impl StartCohort {
    pub(super) const fn new(size: u32) -> Self {
        Self {
            size,
            number: 0,
            first_start: TickTime::from_millis(0),
            started: 0,
            busy_starts: 0,
            in_flight_sum: 0,
            finished: 0,
            failures: 0,
            samples: 0,
            log_sum: 0.0,
        }
    }

    /// Discards the current cohort and begins one of the given size.
    pub(super) fn restart(&mut self, size: u32) {
        *self = Self {
            number: self.number.wrapping_add(1),
            ..Self::new(size)
        };
    }

    pub(super) fn start(
        &mut self,
        now: TickTime,
        in_flight: usize,
        is_at_limit: bool,
    ) -> Option<u32> {
        if self.started == self.size {
            return None;
        }
        if self.started == 0 {
            self.first_start = now;
        }
        self.started += 1;
        self.in_flight_sum += in_flight as u64;
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

    /// Returns the number of the cohort if enough of its work has finished for an evaluation.
    pub(super) fn ready(&self) -> Option<u32> {
        (self.finished * 100 >= self.size * MIN_FINISHED_PERCENT).then_some(self.number)
    }

    /// Adds a sample for running work, based on its age. Leaving running work out would bias the result towards short
    /// service times, and more so the smaller the cohort is.
    pub(super) fn add_unfinished(&mut self, log_ratio: f64) {
        self.samples += 1;
        self.log_sum += log_ratio;
    }

    /// Returns the result of the cohort if it is ready.
    pub(super) fn result(&self, now: TickTime) -> Option<CohortResult> {
        self.ready()?;
        let log_ratio =
            (self.samples >= MIN_SAMPLES).then(|| self.log_sum / f64::from(self.samples));
        Some(CohortResult {
            log_ratio,
            failure_share: f64::from(self.failures) / f64::from(self.finished),
            busy_share: f64::from(self.busy_starts) / f64::from(self.started),
            in_flight: self.in_flight_sum as f64 / f64::from(self.started),
            duration: now - self.first_start,
        })
    }

    /// Returns the time since the first start of the cohort.
    pub(super) fn age(&self, now: TickTime) -> Duration {
        if self.started == 0 {
            return Duration::ZERO;
        }
        now - self.first_start
    }
}
