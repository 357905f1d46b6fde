//! Settings of admission.

use std::time::Duration;

const DEFAULT_QUEUE_LIMIT: usize = 256;
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(100);
const DEFAULT_WAIT_BOUND: Duration = Duration::from_millis(20);
const DEFAULT_WAIT_FACTOR: f64 = 0.5;
const DEFAULT_MAX_WAIT_FACTOR: f64 = 1.0;
const DEFAULT_LEVEL_PERIOD: Duration = Duration::from_millis(100);

/// Settings of [`super::AdmissionControl`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of pieces of work that may wait for a slot.
    pub queue_limit: usize,
    /// Expected wait above which the queue counts as full.
    pub max_wait: Duration,
    /// Multiple of the service time that replaces `max_wait` if it is longer.
    pub max_wait_factor: f64,
    /// Queue wait above which the admission level rises.
    pub wait_bound: Duration,
    /// Multiple of the service time that replaces `wait_bound` if it is longer. The number of arrivals during one service
    /// time varies by more than a few milliseconds of wait, so a shorter queue would leave slots of a slow target idle
    /// under overload.
    pub wait_factor: f64,
    /// Time between changes of the admission level.
    pub level_period: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_limit: DEFAULT_QUEUE_LIMIT,
            max_wait: DEFAULT_MAX_WAIT,
            max_wait_factor: DEFAULT_MAX_WAIT_FACTOR,
            wait_bound: DEFAULT_WAIT_BOUND,
            wait_factor: DEFAULT_WAIT_FACTOR,
            level_period: DEFAULT_LEVEL_PERIOD,
        }
    }
}
