//! Latency and failure averages of one target.

use std::time::Duration;

use crate::types::TickTime;

use super::LoadReport;

/// Smoothing factor of the latency average for a sample above it.
const RISE_GAIN: f64 = 0.5;
/// Smoothing factor of the latency average for a sample below it.
const FALL_GAIN: f64 = 0.2;
/// Smoothing factor of the failure average.
const FAILURE_GAIN: f64 = 0.2;
/// Failure average at which the expected completion time stops growing.
const MAX_FAILURE: f64 = 0.95;
/// Minimum latency counted for a failed attempt, so that a target that fails quickly is not preferred as fast.
const MIN_FAILURE_LATENCY: Duration = Duration::from_millis(50);
/// Bound on a reported wait, as a multiple of the measured latency, because reports may be wrong.
const MAX_WAIT_FACTOR: f64 = 4.0;
/// Half-life of a reported wait; queues change faster than latencies.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Latency and failure rate measured at one target, and the queue waits that it reported.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetEstimate {
    // Seconds without the path cost, normalized so that the typical latency of every endpoint equals
    // `RoutingSettings::first_latency`; 0 before the first sample.
    latency_s: f64,
    failure: f64,
    measured_at: TickTime,
    // Kept separately, because calls of running requests wait less than new requests.
    nested_wait: ReportedWait,
    top_level_wait: ReportedWait,
}

#[derive(Debug, Clone, Copy, Default)]
struct ReportedWait {
    wait_s: f64,
    at: TickTime,
}

/// Latency and outcome of one finished attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptSample {
    pub(super) latency: Duration,
    pub(super) is_failure: bool,
}

impl TargetEstimate {
    /// Adds a sample to the averages. `scale` is `RoutingSettings::first_latency` divided by the typical latency of the
    /// endpoint.
    pub(super) fn add(
        &mut self,
        now: TickTime,
        half_life: Duration,
        sample: AttemptSample,
        scale: f64,
    ) {
        let latency_s = if sample.is_failure {
            sample.latency.max(MIN_FAILURE_LATENCY).as_secs_f64()
        } else {
            sample.latency.as_secs_f64()
        } * scale;
        let fade = decay(now - self.measured_at, half_life);
        // Rises are weighted more than falls, so that one slow answer reveals a stalled target. The weight of the
        // old average decays with its age.
        let is_rise = latency_s > self.latency_s;
        let gain = if is_rise { RISE_GAIN } else { FALL_GAIN };
        self.latency_s = if self.latency_s == 0.0 {
            latency_s
        } else {
            self.latency_s + gain.max(1.0 - fade) * (latency_s - self.latency_s)
        };
        let verdict = f64::from(u8::from(sample.is_failure));
        self.failure = self.failure * fade + FAILURE_GAIN * (verdict - self.failure * fade);
        self.measured_at = now;
    }

    pub(super) fn record_wait(&mut self, now: TickTime, report: &LoadReport, scale: f64) {
        let Some(wait) = report.queue_wait else {
            return;
        };
        let max_wait_s = self.latency_s / scale * MAX_WAIT_FACTOR;
        let reported = ReportedWait {
            wait_s: wait.as_secs_f64().min(max_wait_s),
            at: now,
        };
        if report.is_nested {
            self.nested_wait = reported;
        } else {
            self.top_level_wait = reported;
        }
    }

    /// Clears all measurements, for a target that starts again.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the expected service time of one request in seconds, without path cost.
    ///
    /// The measured latency decays towards the typical one, so that a target that was slow is tried again, and one that
    /// was fast while the others were slow is not preferred indefinitely. It does not decay past the typical latency,
    /// or unused targets would appear the fastest.
    pub(super) fn service_time(&self, now: TickTime, half_life: Duration, typical_s: f64) -> f64 {
        if self.latency_s == 0.0 {
            return typical_s;
        }
        let fade = decay(now - self.measured_at, half_life);
        let excess = self.latency_s - typical_s;
        let latency = self.latency_s - excess * (1.0 - fade);
        let failure = (self.failure * fade).min(MAX_FAILURE);
        latency / (1.0 - failure)
    }

    /// Returns the reported queue wait in seconds, bounded by `record_wait` and decayed by its age.
    pub(super) fn wait(&self, now: TickTime, is_nested: bool) -> f64 {
        let reported = if is_nested {
            self.nested_wait
        } else {
            self.top_level_wait
        };
        if reported.wait_s == 0.0 {
            return 0.0;
        }
        reported.wait_s * decay(now - reported.at, WAIT_HALF_LIFE)
    }
}

/// Returns the fraction of a value that remains after `span`.
pub(super) fn decay(span: Duration, half_life: Duration) -> f64 {
    (-span.as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON)).exp2()
}
