//! Service times measured at the node.

use std::time::Duration;

use crate::types::{PriorityClass, TickTime};

/// Weight of a new sample in the short-term mean: about the last ten samples count, so that a target that slows down
/// is noticed within a fraction of its requests in flight.
const SHORT_WEIGHT: f64 = 0.1;
/// A class without samples loses half of its expected time in this time. Without this, a class whose deadline is
/// shorter than one slow period would be refused for ever, because refused work yields no samples.
const FADE_HALF_LIFE_S: f64 = 1.0;
/// Time constant of the long-term mean.
const LONG_TIME_S: f64 = 30.0;

#[derive(Debug, Clone, Copy, Default)]
struct ClassTimes {
    short_s: f64,
    long_s: f64,
    samples: u32,
    last_sample: TickTime,
}

/// Short-term and long-term means of service time for each class.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    classes: [ClassTimes; PriorityClass::ALL.len()],
    overall_s: f64,
    last_sample: TickTime,
}

impl ServiceTimes {
    /// Adds a sample and returns its ratio to the long-term mean of its class before the sample.
    pub(super) fn record(
        &mut self,
        now: TickTime,
        class: PriorityClass,
        service_time: Duration,
    ) -> f64 {
        let seconds = service_time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.overall_s = blend(self.overall_s, seconds, SHORT_WEIGHT);
        self.last_sample = now;
        let times = &mut self.classes[class.index()];
        times.short_s = blend(times.short_s, seconds, SHORT_WEIGHT);
        let ratio = if times.samples == 0 {
            1.0
        } else {
            seconds / times.long_s
        };
        times.samples = times.samples.saturating_add(1);
        let elapsed_s = (now - times.last_sample).as_secs_f64();
        let weight = (elapsed_s / LONG_TIME_S)
            .max(1.0 / f64::from(times.samples))
            .min(1.0);
        times.long_s = blend(times.long_s, seconds, weight);
        times.last_sample = now;
        ratio
    }

    /// Returns the expected service time of a class, zero if unknown.
    pub(super) fn expected(&self, now: TickTime, class: PriorityClass) -> Duration {
        let times = &self.classes[class.index()];
        Duration::from_secs_f64(faded(now, times.last_sample, times.short_s))
    }

    /// Returns the expected service time over all classes, zero if unknown.
    pub(super) fn expected_overall(&self, now: TickTime) -> Duration {
        Duration::from_secs_f64(faded(now, self.last_sample, self.overall_s))
    }

    /// Multiplies the long-term means, after a lasting change of the target's speed.
    pub(super) fn scale_long(&mut self, factor: f64) {
        for times in &mut self.classes {
            times.long_s *= factor;
        }
    }
}

fn blend(mean: f64, sample: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        return sample;
    }
    mean + (sample - mean) * weight
}

fn faded(now: TickTime, last_sample: TickTime, mean_s: f64) -> f64 {
    let idle_s = (now - last_sample).as_secs_f64();
    mean_s * 0.5_f64.powf((idle_s / FADE_HALF_LIFE_S).floor())
}
