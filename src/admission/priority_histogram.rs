//! Histogram of the rate of offered work by priority.

use crate::types::RequestPriority;

const BIN_COUNT: usize = 64;
const BIN_WIDTH: u32 = 65_536 / BIN_COUNT as u32;
/// Weight of the newest window in the moving average of a rate. It alone applies at and above the admission level, where all
/// demand is visible.
const RATE_WEIGHT: f64 = 0.3;
/// Decay factor per window of bins below the admission level. Callers that know the level do not send this work, so a low
/// count does not indicate low demand, and the last known rate decays only slowly.
const BELOW_LEVEL_DECAY: f64 = 0.99;
/// Decay factor of the same bins while the target has free capacity. The work below the level is then gone, or can be
/// admitted again.
const BELOW_LEVEL_DECAY_WITH_ROOM: f64 = 0.6;

/// Smoothed rate of offered work in each bin of the priority range.
#[derive(Debug)]
pub(super) struct PriorityHistogram {
    counts: [u32; BIN_COUNT],
    rates: [f64; BIN_COUNT],
}

impl Default for PriorityHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BIN_COUNT],
            rates: [0.0; BIN_COUNT],
        }
    }
}

impl PriorityHistogram {
    pub(super) fn add(&mut self, priority: RequestPriority) {
        let bin = u32::from(priority.as_raw()) / BIN_WIDTH;
        self.counts[bin as usize] += 1;
    }

    /// Updates the rates with the counts of a window of `window_s` seconds.
    pub(super) fn end_window(&mut self, window_s: f64, level: RequestPriority, has_room: bool) {
        let decay = if has_room {
            BELOW_LEVEL_DECAY_WITH_ROOM
        } else {
            BELOW_LEVEL_DECAY
        };
        let level_bin = (u32::from(level.as_raw()) / BIN_WIDTH) as usize;
        for (bin, (count, rate)) in self.counts.iter_mut().zip(&mut self.rates).enumerate() {
            let measured = f64::from(*count) / window_s;
            let smoothed = *rate + (measured - *rate) * RATE_WEIGHT;
            *rate = if bin < level_bin {
                smoothed.max(*rate * decay)
            } else {
                smoothed
            };
            *count = 0;
        }
    }

    /// Returns the lowest level at which the offered work of that priority or higher does not exceed `rate`.
    pub(super) fn level_for(&self, rate: f64) -> RequestPriority {
        let mut left = rate;
        for bin in (0..BIN_COUNT).rev() {
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
