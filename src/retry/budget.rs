//! Retry budget of one hop.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::TickTime;

use super::settings::RetrySettings;

/// Time resolution of the sliding window.
const BUCKET_WIDTH: Duration = Duration::from_millis(200);
/// Number of urgency ranks that are counted separately; the last one includes all less urgent ranks.
const RANK_COUNT: usize = 3;
/// Period over which recent demand of more urgent requests is extrapolated. A shorter one would mistake single failures for
/// an overload; a longer one would detect an overload only after the budget is spent.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Fraction of the budget that less urgent requests may spend within `DEMAND_PERIOD`, so that the start of an overload does
/// not use up retries that more urgent requests will need.
const PACED_FRACTION: f64 = 0.1;

/// Fraction of the budget that retries of refused requests of the second rank may use.
const SECOND_RANK_FRACTION: f64 = 0.8;
/// Fraction of the budget that retries of refused requests of lower ranks may use.
const LOWER_RANK_FRACTION: f64 = 0.4;
/// Fraction of the budget that retries of requests that may have run can use, regardless of rank. Such a retry
/// also repeats the nested calls, which use up the budgets of the called services and cannot be refused there.
const RERUN_FRACTION: f64 = 0.4;

/// Reason for sending a request to another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The target refused the request without running it.
    Refused,
    /// The target ran the request and failed, or may have run it.
    MayHaveRun,
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: TickTime,
    first: u32,
    /// Requests that are repeats because their parent request was retried at another hop.
    inherited: u32,
    /// Granted retries by rank.
    retries: [u32; RANK_COUNT],
    /// Requested retries by rank, whether granted or not.
    requested: [u32; RANK_COUNT],
}

impl CountBucket {
    fn spent(&self) -> u32 {
        self.inherited + self.retries.iter().sum::<u32>()
    }
}

/// Bounds the ratio of retries to first attempts over a sliding window.
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

    /// Changes the settings and keeps the counts.
    pub const fn configure(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Records a first attempt.
    pub fn record_first(&mut self, now: TickTime) {
        let bucket = self.current_bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Records a request that is a repeat because its parent request was retried at an upstream hop. It uses up the budget,
    /// but is never refused here.
    pub fn record_upstream_retry(&mut self, now: TickTime) {
        let bucket = self.current_bucket(now);
        bucket.inherited = bucket.inherited.saturating_add(1);
    }

    /// Records a retry of the most urgent rank and returns true if it is within the budget.
    pub fn try_retry(&mut self, now: TickTime) -> bool {
        self.try_retry_within(now, 0, 1.0)
    }

    /// Records a retry and returns true if it is within the fraction of the budget for its cause and rank. Less urgent
    /// requests get a smaller fraction, so that some budget is left when an urgent request needs it.
    pub fn try_retry_for(&mut self, now: TickTime, rank: u32, cause: RetryCause) -> bool {
        let fraction = match (cause, rank) {
            (RetryCause::MayHaveRun, _) => RERUN_FRACTION,
            (RetryCause::Refused, 0) => 1.0,
            (RetryCause::Refused, 1) => SECOND_RANK_FRACTION,
            (RetryCause::Refused, _) => LOWER_RANK_FRACTION,
        };
        self.try_retry_within(now, rank, fraction)
    }

    /// Records a retry and returns true if it is within the given fraction of the budget and leaves enough for the
    /// expected retries of more urgent requests. Rank 0 is the most urgent. A call chain succeeds only if each of its calls
    /// does, so retries that are spread over all chains while a target refuses requests would complete none of them.
    pub fn try_retry_within(&mut self, now: TickTime, rank: u32, fraction: f64) -> bool {
        self.expire(now);
        let rank = (rank as usize).min(RANK_COUNT - 1);
        let allowed = self.allowed(now);
        let is_allowed = f64::from(self.spent(now) + 1) <= allowed * fraction
            && self.projected_retries(now, rank) + 1.0 <= allowed
            && self.is_paced(now, rank, allowed);
        let bucket = self.current_bucket(now);
        bucket.requested[rank] = bucket.requested[rank].saturating_add(1);
        if is_allowed {
            bucket.retries[rank] = bucket.retries[rank].saturating_add(1);
        }
        is_allowed
    }

    fn allowed(&self, now: TickTime) -> f64 {
        let minimum = self.settings.min_retries_per_s * self.settings.window.as_secs_f64();
        self.settings.retry_ratio * f64::from(self.first_attempts(now)) + minimum
    }

    fn first_attempts(&self, now: TickTime) -> u32 {
        let window = self.settings.window;
        let current = self.first_attempts_between(now, Duration::ZERO, window);
        if !self.settings.counts_earlier_windows {
            return current;
        }
        let half = self.first_attempts_between(now, window / 2, window * 3 / 2);
        let earlier = self.first_attempts_between(now, window, window * 2);
        current.max(half).max(earlier)
    }

    /// Counts the first attempts with an age of at least `from` and less than `until`.
    fn first_attempts_between(&self, now: TickTime, from: Duration, until: Duration) -> u32 {
        let in_range = self.buckets.iter().filter(|bucket| {
            let age = now - bucket.start;
            age >= from && age < until
        });
        in_range.map(|bucket| bucket.first).sum()
    }

    fn recent_buckets(&self, now: TickTime, span: Duration) -> impl Iterator<Item = &CountBucket> {
        let buckets = self.buckets.iter().rev();
        buckets.take_while(move |bucket| now - bucket.start < span)
    }

    fn spent(&self, now: TickTime) -> u32 {
        self.recent_buckets(now, self.settings.window)
            .map(CountBucket::spent)
            .sum()
    }

    /// Returns the number of retries in a full window, assuming that more urgent ranks keep requesting retries at their
    /// current rate.
    fn projected_retries(&self, now: TickTime, rank: usize) -> f64 {
        let requested = self.recent_buckets(now, DEMAND_PERIOD);
        let requested: u32 = requested
            .map(|bucket| bucket.requested[..rank].iter().sum::<u32>())
            .sum();
        let expected =
            f64::from(requested) * self.settings.window.as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
        let urgent: u32 = self
            .recent_buckets(now, self.settings.window)
            .map(|bucket| bucket.retries[..rank].iter().sum::<u32>())
            .sum();
        f64::from(self.spent(now) - urgent) + expected.max(f64::from(urgent))
    }

    /// Returns whether the recent retries of this rank and of less urgent ones are within their pace limit. The most urgent
    /// rank has no such limit.
    fn is_paced(&self, now: TickTime, rank: usize, allowed: f64) -> bool {
        if rank == 0 {
            return true;
        }
        let spent = self.recent_buckets(now, DEMAND_PERIOD);
        let spent: u32 = spent
            .map(|bucket| bucket.retries[rank..].iter().sum::<u32>())
            .sum();
        f64::from(spent) < (allowed * PACED_FRACTION).max(1.0)
    }

    fn expire(&mut self, now: TickTime) {
        let retention = if self.settings.counts_earlier_windows {
            self.settings.window * 2
        } else {
            self.settings.window
        };
        while let Some(oldest) = self.buckets.front()
            && now - oldest.start >= retention
        {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: TickTime) -> &mut CountBucket {
        self.expire(now);
        let is_current = self
            .buckets
            .back()
            .is_some_and(|last| now - last.start < BUCKET_WIDTH);
        if !is_current {
            self.buckets.push_back(CountBucket {
                start: now,
                first: 0,
                inherited: 0,
                retries: [0; RANK_COUNT],
                requested: [0; RANK_COUNT],
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
