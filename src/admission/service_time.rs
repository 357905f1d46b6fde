//! Service times measured at the node.

use std::time::Duration;

use crate::types::{PriorityClass, TickTime};

/// Weight of a new sample in the short-term mean. The mean covers about the last ten samples, so that a slowdown shows after
/// a fraction of the requests in flight.
const SHORT_TERM_WEIGHT: f64 = 0.1;
/// Time in which the expected service time of a class without new samples halves. Without this decay, one slow period could
/// raise it above the deadlines of the class, whose work would then be refused for ever, as refused work gives no samples.
const DECAY_HALF_LIFE_S: f64 = 1.0;
/// Time constant of the long-term mean, in seconds.
const LONG_TERM_TIME_CONSTANT_S: f64 = 120.0;
/// Number of first samples of a class that are averaged with equal weight in the long-term mean. With more, the mean of a
/// process that started recently would follow a slowdown while a trial cut looks for its cause.
const EQUAL_WEIGHT_SAMPLES: u32 = 50;
/// Lower bound on a sample, which keeps its logarithm finite.
const MIN_SAMPLE: Duration = Duration::from_micros(1);

#[derive(Debug, Clone, Copy, Default)]
struct ClassTimes {
    short_mean_s: f64,
    long_mean_log: f64,
    samples: u32,
    last_sample: TickTime,
}

impl ClassTimes {
    fn deviation(&self, sample_log: f64) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        sample_log - self.long_mean_log
    }

    /// Updates the long-term mean of logarithms and returns the difference of the sample from the previous mean.
    fn record_long(&mut self, sample_log: f64, elapsed_s: f64) -> f64 {
        let deviation = self.deviation(sample_log);
        self.samples = self.samples.saturating_add(1);
        let weight = if self.samples <= EQUAL_WEIGHT_SAMPLES {
            1.0 / f64::from(self.samples)
        } else {
            (elapsed_s / LONG_TERM_TIME_CONSTANT_S).min(1.0)
        };
        self.long_mean_log += (sample_log - self.long_mean_log) * weight;
        deviation
    }
}

/// Short-term and long-term means of service time for each class.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    classes: [ClassTimes; PriorityClass::ALL.len()],
    overall_mean_s: f64,
    last_sample: TickTime,
}

impl ServiceTimes {
    /// Adds a sample and returns the logarithm of its ratio to the long-term mean of its class before the sample.
    pub(super) fn record(
        &mut self,
        now: TickTime,
        class: PriorityClass,
        service_time: Duration,
    ) -> f64 {
        let seconds = service_time.max(MIN_SAMPLE).as_secs_f64();
        self.overall_mean_s = moving_average(self.overall_mean_s, seconds, SHORT_TERM_WEIGHT);
        self.last_sample = now;
        let times = &mut self.classes[class.index()];
        let elapsed_s = (now - times.last_sample).as_secs_f64();
        times.short_mean_s = moving_average(times.short_mean_s, seconds, SHORT_TERM_WEIGHT);
        times.last_sample = now;
        times.record_long(seconds.ln(), elapsed_s)
    }

    /// Returns the logarithm of the ratio of a service time to the long-term mean of its class.
    pub(super) fn log_ratio(&self, class: PriorityClass, service_time: Duration) -> f64 {
        let seconds = service_time.max(MIN_SAMPLE).as_secs_f64();
        self.classes[class.index()].deviation(seconds.ln())
    }

    /// Returns the expected service time of a class, zero if unknown.
    pub(super) fn expected(&self, now: TickTime, class: PriorityClass) -> Duration {
        let times = &self.classes[class.index()];
        Duration::from_secs_f64(decayed(now, times.last_sample, times.short_mean_s))
    }

    /// Returns the expected service time over all classes, zero if unknown.
    pub(super) fn expected_overall(&self, now: TickTime) -> Duration {
        Duration::from_secs_f64(decayed(now, self.last_sample, self.overall_mean_s))
    }
}

fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        return sample;
    }
    mean + (sample - mean) * weight
}

fn decayed(now: TickTime, last_sample: TickTime, mean_s: f64) -> f64 {
    let idle_s = (now - last_sample).as_secs_f64();
    mean_s * 0.5_f64.powf((idle_s / DECAY_HALF_LIFE_S).floor())
}
