//! How much of a target's limit on requests per second is served.

use std::time::Duration;

use crate::admission::RequestRate;
use crate::types::TickTime;

/// Interval of the reports while a limit is in force.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Requests counted against the limit since the last report.
#[derive(Debug)]
pub(super) struct LimitUsage {
    since: TickTime,
    counted_at: TickTime,
    allowed: f64,
    served: u32,
    refused: u32,
}

/// Use of a limit over one report interval.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsageReport {
    /// Limit in force at the end of the interval.
    pub(super) limit: Option<RequestRate>,
    pub(super) span: Duration,
    /// Number of requests that the limit allowed.
    pub(super) allowed: f64,
    pub(super) served: u32,
    /// Requests that were refused here. Other targets may have served them.
    pub(super) refused: u32,
}

impl LimitUsage {
    pub(super) fn new(now: TickTime) -> Self {
        Self {
            since: now,
            counted_at: now,
            allowed: 0.0,
            served: 0,
            refused: 0,
        }
    }

    pub(super) fn count_served(&mut self) {
        self.served += 1;
    }

    pub(super) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Counts the time under a limit. Must be called periodically and before each change of the limit.
    pub(super) fn advance(&mut self, now: TickTime, limit: Option<RequestRate>) {
        let per_s = limit.map_or(0.0, RequestRate::per_second);
        self.allowed += (now - self.counted_at).as_secs_f64() * per_s;
        self.counted_at = now;
    }

    pub(super) fn is_due(&self, now: TickTime) -> bool {
        now - self.since >= REPORT_INTERVAL
    }

    pub(super) fn report(&self, limit: Option<RequestRate>) -> UsageReport {
        UsageReport {
            limit,
            span: self.counted_at - self.since,
            allowed: self.allowed,
            served: self.served,
            refused: self.refused,
        }
    }
}

impl UsageReport {
    /// Returns the served share of what the limit allowed.
    pub(super) fn served_share(&self) -> f64 {
        if self.allowed > 0.0 {
            f64::from(self.served) / self.allowed
        } else {
            0.0
        }
    }
}
