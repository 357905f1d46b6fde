//! Detection of pauses during which the process did not run.

use std::time::Duration;

use crate::types::TickTime;

/// Shortest gap between ticks that counts as a pause. A busy VM delays ticks by less.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after a pause within which all messages that arrived during it are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Detects from gaps between regular ticks that the process was paused or its VM suspended.
///
/// Time limits are transmitted as durations. A message that was unread during a pause has used up part of its time limit.
/// Treating it as new would hand over requests that their senders have already abandoned.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick_at: TickTime,
    resumed_at: TickTime,
    pause: Duration,
    longest_gap: Duration,
}

impl PauseDetector {
    /// Records that the process is running. Must be called much more often than the shortest pause to detect.
    pub fn tick(&mut self, now: TickTime) {
        let gap = now - self.last_tick_at;
        self.longest_gap = self.longest_gap.max(gap);
        if gap >= MIN_PAUSE {
            log::warn!("event=paused span_ms={}", gap.as_millis());
            self.pause = gap;
            self.resumed_at = now;
        }
        self.last_tick_at = now;
    }

    /// Returns the longest gap between ticks since the last call, up to now.
    pub fn take_longest_gap(&mut self, now: TickTime) -> Duration {
        std::mem::take(&mut self.longest_gap).max(now - self.last_tick_at)
    }

    /// Returns the longest time for which a message that is read now may have been unread.
    pub fn max_unread_time(&self, now: TickTime) -> Duration {
        let gap = now - self.last_tick_at;
        if gap >= MIN_PAUSE {
            return gap;
        }
        if now - self.resumed_at < CATCH_UP_TIME {
            self.pause
        } else {
            Duration::ZERO
        }
    }
}
