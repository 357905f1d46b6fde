//! Controller of the admission level.

use std::time::Duration;

use crate::types::{RequestPriority, TickTime};

use super::priority_histogram::PriorityHistogram;

/// Weight of the newest window in the rate of finished work.
const RATE_WEIGHT: f64 = 0.3;
/// Change of the admitted rate for a wait that differs from its bound by the bound itself.
const WAIT_GAIN: f64 = 0.1;
/// Largest reduction below the capacity of the target, to drain a backlog.
const MAX_DRAIN: f64 = 0.3;
/// Largest factor by which free slots raise the estimate of capacity in one window.
const MAX_OPENING: f64 = 2.0;

#[derive(Debug, Default)]
struct WindowSums {
    wait_ratio: f64,
    utilisation: f64,
    samples: u32,
    finished: u32,
}

/// Admission level and the measurements that move it.
#[derive(Debug)]
pub(super) struct LevelControl {
    level: RequestPriority,
    histogram: PriorityHistogram,
    finish_rate: f64,
    window: WindowSums,
    window_start: TickTime,
}

impl LevelControl {
    pub(super) fn new() -> Self {
        Self {
            level: RequestPriority::from_raw(0),
            histogram: PriorityHistogram::default(),
            finish_rate: 0.0,
            window: WindowSums::default(),
            window_start: TickTime::default(),
        }
    }

    pub(super) fn get(&self) -> RequestPriority {
        self.level
    }

    pub(super) fn note_offer(&mut self, priority: RequestPriority) {
        self.histogram.add(priority);
    }

    pub(super) fn note_finish(&mut self) {
        self.window.finished += 1;
    }

    /// Adds a sample of the queue wait over its bound and of the share of slots in use.
    pub(super) fn sample(&mut self, wait_ratio: f64, utilisation: f64) {
        self.window.wait_ratio += wait_ratio;
        self.window.utilisation += utilisation;
        self.window.samples += 1;
    }

    /// Moves the level once a window has passed, and keeps it within the cap.
    pub(super) fn update(&mut self, now: TickTime, period: Duration, cap: RequestPriority) {
        self.end_window(now, period);
        self.level = self.level.min(cap);
    }

    fn end_window(&mut self, now: TickTime, period: Duration) {
        let elapsed = now - self.window_start;
        if elapsed < period || self.window.samples == 0 {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window_start = now;
        let window_s = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let finished = f64::from(window.finished) / window_s;
        self.finish_rate += (finished - self.finish_rate) * RATE_WEIGHT;
        self.histogram.end_window(window_s, self.level);
        let samples = f64::from(window.samples);
        self.move_level(window.wait_ratio / samples, window.utilisation / samples);
    }

    /// Raises the level while the wait exceeds its bound and lowers it otherwise, to where the histogram promises as
    /// much work as the target can carry, less or more by the distance of the wait from its bound.
    fn move_level(&mut self, wait_ratio: f64, utilisation: f64) {
        let busy = utilisation.clamp(1.0 / MAX_OPENING, 1.0);
        let correction = (WAIT_GAIN * (1.0 - wait_ratio)).max(-MAX_DRAIN);
        let wanted = self.finish_rate / busy * (1.0 + correction);
        let level = self.histogram.level_for(wanted);
        self.level = if wait_ratio > 1.0 {
            self.level.max(level)
        } else {
            self.level.min(level)
        };
    }
}
