//! Clocks of the replica process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::types::TickTime;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub(super) struct TickClock {
    start: Instant,
}

impl TickClock {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> TickTime {
        TickTime::from_start(self.start.elapsed())
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
