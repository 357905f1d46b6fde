//! Feedback controller of the admission level.

use std::time::Duration;

use crate::types::{RequestPriority, TickTime};

use super::priority_histogram::PriorityHistogram;

/// Weight of the newest window in the moving average of the capacity.
const CAPACITY_WEIGHT: f64 = 0.3;
/// Proportional gain: relative change of the admitted rate when the wait is off its bound by as much as the bound.
const WAIT_GAIN: f64 = 0.1;
/// Largest relative reduction of the admitted rate below the capacity, used to drain a backlog.
const MAX_DRAIN_FRACTION: f64 = 0.3;
/// Utilisation below which a target is considered to have ample free capacity.
const IDLE_UTILISATION: f64 = 0.5;

/// Utilisation from which the level falls only in small steps. Nearly all slots are then in use, and a large step caused by
/// the noise of one window would immediately push the wait over its bound.
const BUSY_UTILISATION: f64 = 0.9;
/// Largest decrease of the level per window at or above `BUSY_UTILISATION`, as a raw priority.
const MAX_BUSY_STEP: u16 = 1500;

#[derive(Debug, Default)]
struct WindowSums {
    wait_ratio: f64,
    utilisation: f64,
    samples: u32,
    finished: u32,
}

/// Admission level and the measurements that adjust it.
#[derive(Debug)]
pub(super) struct LevelControl {
    level: RequestPriority,
    histogram: PriorityHistogram,
    capacity: f64,
    window: WindowSums,
    window_start: TickTime,
}

impl LevelControl {
    pub(super) fn new() -> Self {
        Self {
            level: RequestPriority::from_raw(0),
            histogram: PriorityHistogram::default(),
            capacity: 0.0,
            window: WindowSums::default(),
            window_start: TickTime::default(),
        }
    }

    pub(super) fn get(&self) -> RequestPriority {
        self.level
    }

    pub(super) fn record_offer(&mut self, priority: RequestPriority) {
        self.histogram.add(priority);
    }

    pub(super) fn record_finish(&mut self) {
        self.window.finished += 1;
    }

    /// Adds a sample of the ratio of the queue wait to its bound, and of the share of slots in use.
    pub(super) fn sample(&mut self, wait_ratio: f64, utilisation: f64) {
        self.window.wait_ratio += wait_ratio;
        self.window.utilisation += utilisation;
        self.window.samples += 1;
    }

    /// Adjusts the level if a window has ended, and limits it to `cap`.
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
        let samples = f64::from(window.samples);
        let utilisation = window.utilisation / samples;
        self.update_capacity(f64::from(window.finished) / window_s, utilisation);
        let has_room = utilisation < IDLE_UTILISATION;
        self.histogram.end_window(window_s, self.level, has_room);
        self.adjust_level(window.wait_ratio / samples, utilisation);
    }

    /// Updates the capacity with the rate of finished work, extrapolated to full utilisation. A window of low utilisation
    /// can raise the estimate but not lower it.
    fn update_capacity(&mut self, finished: f64, utilisation: f64) {
        let measured = finished / utilisation.clamp(IDLE_UTILISATION, 1.0);
        if utilisation >= IDLE_UTILISATION || measured > self.capacity {
            self.capacity += (measured - self.capacity) * CAPACITY_WEIGHT;
        }
    }

    /// Raises the level while the wait exceeds its bound and lowers it otherwise. The new level is the one at which the
    /// histogram predicts an admitted rate equal to the capacity, corrected in proportion to how far the wait is from its
    /// bound.
    fn adjust_level(&mut self, wait_ratio: f64, utilisation: f64) {
        let correction = (WAIT_GAIN * (1.0 - wait_ratio)).max(-MAX_DRAIN_FRACTION);
        let wanted = self.capacity * (1.0 + correction);
        let level = self.histogram.level_for(wanted);
        self.level = if wait_ratio > 1.0 {
            self.level.max(level)
        } else if utilisation < BUSY_UTILISATION {
            self.level.min(level)
        } else {
            let lowest = self.level.as_raw().saturating_sub(MAX_BUSY_STEP);
            self.level.min(level.max(RequestPriority::from_raw(lowest)))
        };
    }
}
