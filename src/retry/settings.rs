//! Settings of retries.

use std::time::Duration;

const DEFAULT_MAX_ATTEMPTS: u8 = 3;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_MIN_RETRIES_PER_S: f64 = 1.0;
/// A longer time would let a hop save up retries in quiet times and send them all when its targets become slow.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);
const DEFAULT_BASE_BACKOFF: Duration = Duration::from_millis(5);
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Settings of [`super::RetryPolicy`] and [`super::RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Attempts of one call at one hop, including the first.
    pub max_attempts: u8,
    /// Retries per recent first attempt.
    pub retry_ratio: f64,
    /// Retries per second that are allowed in addition, so that a hop with little traffic can retry at all.
    pub min_retries_per_s: f64,
    /// Time over which first attempts and retries are compared.
    pub window: Duration,
    /// Whether the requests of the window before, or of half a window before, count if there were more of them. Chains that
    /// break off early make fewer calls just when retries are needed.
    pub counts_earlier_windows: bool,
    /// Mean time before the first retry; it doubles for each further one.
    pub base_backoff: Duration,
    /// Largest mean time before a retry.
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
