//! Time values that are passed to the decision logic.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the process started, including time for which its VM was suspended. Decision logic receives it as an
/// argument instead of reading a clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TickTime(Duration);

impl TickTime {
    /// Creates a time from the duration since the process started.
    pub const fn from_start(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Creates a time from the milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the duration since the process started.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Sub<Duration> for TickTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for TickTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub for TickTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_since(earlier)
    }
}
