//! Detection of spans in which the process did not run.

use std::time::Duration;

use crate::types::TickTime;

/// Delay of a tick from which the process counts as paused; a busy VM delays ticks by less.
const LEAST_PAUSE: Duration = Duration::from_millis(500);
/// What had arrived during a pause is read within this time after it.
const CATCH_UP: Duration = Duration::from_millis(100);

/// Detects from regular ticks that the process was paused or its VM suspended.
///
/// Time limits arrive as durations. A message that lay unread during a pause has used up some of its own, so reading it
/// as if it were new would hand work over that nobody waits for any more.
#[derive(Debug, Default)]
pub struct PauseDetector {
    ticked_at: TickTime,
    resumed_at: TickTime,
    pause: Duration,
}

impl PauseDetector {
    /// Notes that the process runs; to be called much more often than the least pause.
    pub fn tick(&mut self, now: TickTime) {
        let gap = now - self.ticked_at;
        if gap >= LEAST_PAUSE {
            log::warn!("event=paused span_ms={}", gap.as_millis());
            self.pause = gap;
            self.resumed_at = now;
        }
        self.ticked_at = now;
    }

    /// Returns the longest time for which a message that is read now may have lain unread.
    pub fn unread_for(&self, now: TickTime) -> Duration {
        let gap = now - self.ticked_at;
        if gap >= LEAST_PAUSE {
            return gap;
        }
        if now - self.resumed_at < CATCH_UP {
            self.pause
        } else {
            Duration::ZERO
        }
    }
}
