//! Bound on the retries of one hop.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::TickTime;

use super::settings::RetrySettings;

/// Resolution of the window.
const BUCKET: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: TickTime,
    first: u32,
    retries: u32,
}

/// Sliding count of first attempts and retries, which bounds the share of retries.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    buckets: VecDeque<CountBucket>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the settings; what was counted is kept.
    pub const fn configure(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: TickTime) {
        let bucket = self.current_bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Counts a request that is a repeat because the request that caused it is one. It uses the budget up, but it was
    /// decided elsewhere.
    pub fn record_inherited(&mut self, now: TickTime) {
        let bucket = self.current_bucket(now);
        bucket.retries = bucket.retries.saturating_add(1);
    }

    /// Counts a retry and returns true if it stays within the budget.
    pub fn try_retry(&mut self, now: TickTime) -> bool {
        self.try_retry_within(now, 1.0)
    }

    /// Counts a retry and returns true if it stays within a part of the budget.
    pub fn try_retry_within(&mut self, now: TickTime, part: f64) -> bool {
        self.expire(now);
        let first: u64 = self
            .buckets
            .iter()
            .map(|bucket| u64::from(bucket.first))
            .sum();
        let retries: u64 = self
            .buckets
            .iter()
            .map(|bucket| u64::from(bucket.retries))
            .sum();
        let minimum = self.settings.min_retries_per_s * self.settings.window.as_secs_f64();
        let allowed = self.settings.retry_ratio * first as f64 + minimum;
        if (retries + 1) as f64 > allowed * part {
            return false;
        }
        let bucket = self.current_bucket(now);
        bucket.retries = bucket.retries.saturating_add(1);
        true
    }

    fn expire(&mut self, now: TickTime) {
        while let Some(oldest) = self.buckets.front()
            && now - oldest.start >= self.settings.window
        {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: TickTime) -> &mut CountBucket {
        self.expire(now);
        let is_current = self
            .buckets
            .back()
            .is_some_and(|last| now - last.start < BUCKET);
        if !is_current {
            self.buckets.push_back(CountBucket {
                start: now,
                first: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
