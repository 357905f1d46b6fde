//! Rate of offered work by priority.

use crate::types::RequestPriority;

const BINS: usize = 64;
const BIN_WIDTH: u32 = 65_536 / BINS as u32;
/// Weight of the newest window where all demand is visible.
const VISIBLE_WEIGHT: f64 = 0.3;
/// Factor per window for bins below the level. Callers that have learnt the level hold this work back, so a low count
/// there does not show a low demand, and the last known rate fades only slowly.
const HIDDEN_FADE: f64 = 0.99;
/// The same factor while the target has room: the work below the level is then gone, or may come back.
const HIDDEN_FADE_WITH_ROOM: f64 = 0.6;

/// Smoothed rate of offers in each part of the priority range.
#[derive(Debug)]
pub(super) struct PriorityHistogram {
    counts: [u32; BINS],
    rates: [f64; BINS],
}

impl Default for PriorityHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BINS],
            rates: [0.0; BINS],
        }
    }
}

impl PriorityHistogram {
    pub(super) fn add(&mut self, priority: RequestPriority) {
        let bin = u32::from(priority.as_raw()) / BIN_WIDTH;
        self.counts[bin as usize] += 1;
    }

    /// Ends a window of the given length.
    pub(super) fn end_window(&mut self, window_s: f64, level: RequestPriority, has_room: bool) {
        let fade = if has_room {
            HIDDEN_FADE_WITH_ROOM
        } else {
            HIDDEN_FADE
        };
        let level_bin = (u32::from(level.as_raw()) / BIN_WIDTH) as usize;
        for (bin, (count, rate)) in self.counts.iter_mut().zip(&mut self.rates).enumerate() {
            let seen = f64::from(*count) / window_s;
            let blended = *rate + (seen - *rate) * VISIBLE_WEIGHT;
            *rate = if bin < level_bin {
                blended.max(*rate * fade)
            } else {
                blended
            };
            *count = 0;
        }
    }

    /// Returns the lowest level at or above which at most the given rate is offered.
    pub(super) fn level_for(&self, rate: f64) -> RequestPriority {
        let mut left = rate;
        for bin in (0..BINS).rev() {
            if self.rates[bin] > left {
                let end = (bin as u32 + 1) * BIN_WIDTH;
                let admitted = left.max(0.0) / self.rates[bin] * f64::from(BIN_WIDTH);
                let raw = end.saturating_sub(admitted as u32);
                return RequestPriority::from_raw(u16::try_from(raw).unwrap_or(u16::MAX));
            }
            left -= self.rates[bin];
        }
        RequestPriority::from_raw(0)
    }
}
