//! Process clock and wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::types::TickTime;

/// Time since the process started, including time for which its VM was suspended.
///
/// `Instant` does not advance while a VM is suspended, so leases and deadlines that expired meanwhile would look valid.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TickClock {
    start: Duration,
}

impl TickClock {
    pub(crate) fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    pub(crate) fn now(&self) -> TickTime {
        TickTime::from_start(time_since_boot().saturating_sub(self.start))
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    Duration::from(time.expect("Linux always has a monotonic clock"))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
