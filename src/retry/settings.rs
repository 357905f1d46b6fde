//! Settings of retries.

use std::time::Duration;

const DEFAULT_MAX_ATTEMPTS: u8 = 3;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_MIN_RETRIES_PER_S: f64 = 1.0;
/// A longer window would let a hop accumulate retries in quiet periods and send them all when its targets slow down.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);
const DEFAULT_BASE_BACKOFF: Duration = Duration::from_millis(5);
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Settings of [`super::RetryPolicy`] and [`super::RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of attempts of one call at one hop, including the first.
    pub max_attempts: u8,
    /// Allowed ratio of retries to first attempts within `window`.
    pub retry_ratio: f64,
    /// Additional retries allowed per second, so that a hop with little traffic can retry at all.
    pub min_retries_per_s: f64,
    /// Length of the sliding window in which first attempts and retries are counted.
    pub window: Duration,
    /// Whether the budget is computed from the largest number of first attempts among the current window and the windows
    /// that ended half a window and one window ago. Otherwise it would shrink when call chains fail early and make fewer
    /// calls, which is when retries are needed.
    pub counts_earlier_windows: bool,
    /// Mean backoff before the first retry; it doubles for each further retry.
    pub base_backoff: Duration,
    /// Upper bound on the mean backoff.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            retry_ratio: DEFAULT_RETRY_RATIO,
            min_retries_per_s: DEFAULT_MIN_RETRIES_PER_S,
            window: DEFAULT_WINDOW,
            counts_earlier_windows: false,
            base_backoff: DEFAULT_BASE_BACKOFF,
            max_backoff: DEFAULT_MAX_BACKOFF,
        }
    }
}
