//! Bound on the retries of one hop.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::TickTime;

use super::settings::RetrySettings;

/// Resolution of the window.
const BUCKET: Duration = Duration::from_millis(200);
/// Ranks that are told apart; the last one stands for all less urgent ones too.
const RANKS: usize = 3;
/// Time from which the demand of more urgent requests is foreseen. A shorter one would take single failures for an
/// overload, a longer one would notice it after the budget is spent.
const DEMAND_SPAN: Duration = Duration::from_secs(1);
/// Part of the budget that less urgent requests may spend within that time, so that the begin of an overload does not
/// cost what more urgent ones will need.
const PACED_PART: f64 = 0.1;

/// Parts of the budget that retries of refused requests of the second and of lower ranks may use.
const SECOND_BUDGET_PART: f64 = 0.8;
const LAST_BUDGET_PART: f64 = 0.4;
/// Part of the budget that repeats of requests that ran may use, whatever their rank. They repeat their calls too, which
/// counts at the services that are called and cannot be refused there.
const RERUN_PART: f64 = 0.4;

/// Why a request is sent to another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The target refused it without running it.
    Refused,
    /// The target ran it and failed, or may have run it.
    MayHaveRun,
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: TickTime,
    first: u32,
    /// Retries that were decided elsewhere.
    inherited: u32,
    /// Retries by rank.
    retries: [u32; RANKS],
    /// Retries that were asked for, by rank.
    asked: [u32; RANKS],
}

impl CountBucket {
    fn spent(&self) -> u32 {
        self.inherited + self.retries.iter().sum::<u32>()
    }
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
        bucket.inherited = bucket.inherited.saturating_add(1);
    }

    /// Counts a retry and returns true if it stays within the budget.
    pub fn try_retry(&mut self, now: TickTime) -> bool {
        self.try_retry_within(now, 0, 1.0)
    }

    /// Counts a retry for a cause and returns true if it stays within the part of the budget for such retries. Less urgent
    /// requests may use less of it, so that it is not spent when an urgent one needs it.
    pub fn try_retry_for(&mut self, now: TickTime, rank: u32, cause: RetryCause) -> bool {
        let part = match (cause, rank) {
            (RetryCause::MayHaveRun, _) => RERUN_PART,
            (RetryCause::Refused, 0) => 1.0,
            (RetryCause::Refused, 1) => SECOND_BUDGET_PART,
            (RetryCause::Refused, _) => LAST_BUDGET_PART,
        };
        self.try_retry_within(now, rank, part)
    }

    /// Counts a retry of a request of a rank, 0 being the most urgent, and returns true if it stays within a part of the
    /// budget and leaves what more urgent requests are expected to ask for. While a target turns requests away, a chain
    /// of calls only succeeds if each of its calls does; retries spread over all chains would complete none.
    pub fn try_retry_within(&mut self, now: TickTime, rank: u32, part: f64) -> bool {
        self.expire(now);
        let rank = (rank as usize).min(RANKS - 1);
        let allowed = self.allowed(now);
        let is_allowed = f64::from(self.spent(now) + 1) <= allowed * part
            && self.foreseen(now, rank) + 1.0 <= allowed
            && self.is_paced(now, rank, allowed);
        let bucket = self.current_bucket(now);
        bucket.asked[rank] = bucket.asked[rank].saturating_add(1);
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
        let current = self.first_between(now, Duration::ZERO, window);
        if !self.settings.counts_earlier_windows {
            return current;
        }
        let half = self.first_between(now, window / 2, window * 3 / 2);
        let earlier = self.first_between(now, window, window * 2);
        current.max(half).max(earlier)
    }

    /// Counts first attempts of an age between two bounds.
    fn first_between(&self, now: TickTime, from: Duration, until: Duration) -> u32 {
        let aged = self.buckets.iter().filter(|bucket| {
            let age = now - bucket.start;
            age >= from && age < until
        });
        aged.map(|bucket| bucket.first).sum()
    }

    fn recent(&self, now: TickTime, span: Duration) -> impl Iterator<Item = &CountBucket> {
        let buckets = self.buckets.iter().rev();
        buckets.take_while(move |bucket| now - bucket.start < span)
    }

    fn spent(&self, now: TickTime) -> u32 {
        self.recent(now, self.settings.window)
            .map(CountBucket::spent)
            .sum()
    }

    /// Returns the retries of a window if more urgent ranks go on asking as they do now.
    fn foreseen(&self, now: TickTime, rank: usize) -> f64 {
        let asked = self.recent(now, DEMAND_SPAN);
        let asked: u32 = asked
            .map(|bucket| bucket.asked[..rank].iter().sum::<u32>())
            .sum();
        let expected =
            f64::from(asked) * self.settings.window.as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        let urgent: u32 = self
            .recent(now, self.settings.window)
            .map(|bucket| bucket.retries[..rank].iter().sum::<u32>())
            .sum();
        f64::from(self.spent(now) - urgent) + expected.max(f64::from(urgent))
    }

    /// Returns whether a rank and those below it spend slowly enough; the most urgent one need not.
    fn is_paced(&self, now: TickTime, rank: usize, allowed: f64) -> bool {
        if rank == 0 {
            return true;
        }
        let spent = self.recent(now, DEMAND_SPAN);
        let spent: u32 = spent
            .map(|bucket| bucket.retries[rank..].iter().sum::<u32>())
            .sum();
        f64::from(spent) < (allowed * PACED_PART).max(1.0)
    }

    fn expire(&mut self, now: TickTime) {
        let memory = if self.settings.counts_earlier_windows {
            self.settings.window * 2
        } else {
            self.settings.window
        };
        while let Some(oldest) = self.buckets.front()
            && now - oldest.start >= memory
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
                inherited: 0,
                retries: [0; RANKS],
                asked: [0; RANKS],
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
