//! Settings of admission.

use std::time::Duration;

const DEFAULT_QUEUE_LIMIT: usize = 256;
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(100);
const DEFAULT_WAIT_BOUND: Duration = Duration::from_millis(20);
const DEFAULT_LEVEL_PERIOD: Duration = Duration::from_millis(100);

/// Settings of [`super::AdmissionControl`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Work that may wait for a slot.
    pub queue_limit: usize,
    /// Expected wait above which the queue counts as full.
    pub max_wait: Duration,
    /// Queue wait above which the admission level rises.
    pub wait_bound: Duration,
    /// Time between changes of the admission level.
    pub level_period: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_limit: DEFAULT_QUEUE_LIMIT,
            max_wait: DEFAULT_MAX_WAIT,
            wait_bound: DEFAULT_WAIT_BOUND,
            level_period: DEFAULT_LEVEL_PERIOD,
        }
    }
}
