//! Latency and failure averages of one target.

use std::time::Duration;

use crate::types::TickTime;

use super::LoadReport;

/// Weight of a new sample above the latency average.
const RISE_GAIN: f64 = 0.5;
/// Weight of a new sample below the latency average.
const FALL_GAIN: f64 = 0.2;
/// Weight of a new verdict in the failure average.
const FAILURE_GAIN: f64 = 0.2;
/// Failure average at which the expected completion time stops growing.
const MAX_FAILURE: f64 = 0.95;
/// Latency of a failed attempt, so that a target that fails fast does not look fast.
const MIN_FAILURE_LATENCY: Duration = Duration::from_millis(50);
/// Bound on the reported wait, as a multiple of the measured latency: reports may mislead.
const MAX_WAIT_FACTOR: f64 = 4.0;
/// Half-life of a reported wait; queues change faster than latencies.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(1);

/// What this node measured at one target, and what the target reported.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetEstimate {
    // Seconds without the path cost, scaled so that a typical latency of any endpoint counts as the first latency; 0
    // before the first sample.
    latency_s: f64,
    failure: f64,
    measured_at: TickTime,
    // Calls of running requests wait less than others.
    nested_wait: ReportedWait,
    outer_wait: ReportedWait,
}

#[derive(Debug, Clone, Copy, Default)]
struct ReportedWait {
    wait_s: f64,
    at: TickTime,
}

/// One ended attempt as the estimate sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptSample {
    pub(super) latency: Duration,
    pub(super) is_failure: bool,
}

impl TargetEstimate {
    /// Takes a sample over; `scale` is the first latency over the typical one of the endpoint.
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
        // A rise counts more than a fall, so that a stalled target is noticed by one answer; the
        // older the average is, the less it counts.
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

    pub(super) fn note_wait(&mut self, now: TickTime, report: &LoadReport, scale: f64) {
        let Some(wait) = report.queue_wait else {
            return;
        };
        let believed = self.latency_s / scale * MAX_WAIT_FACTOR;
        let reported = ReportedWait {
            wait_s: wait.as_secs_f64().min(believed),
            at: now,
        };
        if report.is_nested {
            self.nested_wait = reported;
        } else {
            self.outer_wait = reported;
        }
    }

    /// Forgets the measurements, for a target that starts anew.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the expected time of one request in seconds, without path cost.
    ///
    /// A latency fades towards the typical one, so that a target that was slow is tried again, and one that was fast
    /// while the others were slow does not look fast for good. It does not fade further, or unused targets would look
    /// the fastest.
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

    /// Returns the reported wait in seconds as far as it is believed.
    pub(super) fn wait(&self, now: TickTime, is_nested: bool) -> f64 {
        let reported = if is_nested {
            self.nested_wait
        } else {
            self.outer_wait
        };
        if reported.wait_s == 0.0 {
            return 0.0;
        }
        reported.wait_s * decay(now - reported.at, WAIT_HALF_LIFE)
    }
}

/// Returns the part of a value that is left after a span.
pub(super) fn decay(span: Duration, half_life: Duration) -> f64 {
    (-span.as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON)).exp2()
}
