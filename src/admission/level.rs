//! Controller of the admission level.

use std::time::Duration;

use crate::types::{RequestPriority, TickTime};

use super::priority_histogram::PriorityHistogram;

/// Weight of the newest window in the capacity.
const RATE_WEIGHT: f64 = 0.3;
/// Change of the admitted rate for a wait that differs from its bound by the bound itself.
const WAIT_GAIN: f64 = 0.1;
/// Largest reduction below the capacity of the target, to drain a backlog.
const MAX_DRAIN: f64 = 0.3;
/// Utilisation below which a target has room for much more work than it gets.
const IDLE_UTILISATION: f64 = 0.5;

/// Utilisation above which the level falls only in small steps. The slots are then nearly all in use, and a large
/// step on the noise of one window would overshoot the bound at once.
const BUSY_UTILISATION: f64 = 0.9;
const MAX_BUSY_STEP: u16 = 1500;

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
        let samples = f64::from(window.samples);
        let utilisation = window.utilisation / samples;
        self.update_capacity(f64::from(window.finished) / window_s, utilisation);
        let has_room = utilisation < IDLE_UTILISATION;
        self.histogram.end_window(window_s, self.level, has_room);
        self.move_level(window.wait_ratio / samples, utilisation);
    }

    /// Scales the rate of finished work to full use of the slots. A window with few busy slots can show a higher
    /// capacity than known, but not a lower one.
    fn update_capacity(&mut self, finished: f64, utilisation: f64) {
        let seen = finished / utilisation.clamp(IDLE_UTILISATION, 1.0);
        if utilisation >= IDLE_UTILISATION || seen > self.capacity {
            self.capacity += (seen - self.capacity) * RATE_WEIGHT;
        }
    }

    /// Raises the level while the wait exceeds its bound and lowers it otherwise, to where the histogram promises as
    /// much work as the target can carry, less or more by the distance of the wait from its bound.
    fn move_level(&mut self, wait_ratio: f64, utilisation: f64) {
        let correction = (WAIT_GAIN * (1.0 - wait_ratio)).max(-MAX_DRAIN);
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
