//! Limit on the call chains that are worth starting, learnt from the calls that were refused further down.
//!
//! A chain succeeds only if all its calls do, and every overloaded target prefers the same chains. The chains that a
//! service refuses are therefore those beyond some position in that order, and it is better to refuse them before their
//! first hop than after part of their work has run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::types::{ChainRank, TickTime};

/// Interval at which the limit is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Speed at which the limit falls if all calls are refused, in classes of urgency per second.
const FALL_PER_S: f64 = 8.0;
/// Speed at which the limit begins to rise, in classes of urgency per second. It doubles with each interval in which fewer
/// calls are refused than [`QUIET_FRACTION`], so that the limit ends within a second after a shortage. In the half second
/// that most chains take to reach the service that refuses them, it still rises by less than a third of a class.
const RISE_PER_S: f64 = 0.1;
/// Largest speed at which the limit rises.
const MAX_RISE_PER_S: f64 = 20.0;
/// Fraction of refused calls that counts as none.
const QUIET_FRACTION: f64 = 0.01;
/// Calls that are added to those of an interval, so that a single refused call among few does not move the limit far.
const PRIOR_CALLS: f64 = 5.0;
/// Classes of urgency by which a reported limit rises in the first second without a newer report. It rises with the square of
/// its age: a recent report holds, an old one ends.
const REPORT_RISE: f64 = 2.0;
/// Parts into which a class of urgency is divided when a position is sent to another node.
const PARTS_PER_CLASS: f64 = 10_000.0;

/// Position of a call chain among all chains; the smallest is preferred. The integer part is the urgency.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ChainPosition(f64);

impl ChainPosition {
    /// Returns the position of a chain with the given urgency and rank.
    pub fn new(urgency: u32, rank: ChainRank) -> Self {
        Self(f64::from(urgency) + rank.as_fraction())
    }

    /// Returns the more restrictive of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the position as an integer for a message to another node.
    pub fn to_parts(self) -> u64 {
        (self.0 * PARTS_PER_CLASS) as u64
    }

    /// Restores a position from a message of another node.
    pub fn from_parts(parts: u64) -> Self {
        Self(parts as f64 / PARTS_PER_CLASS)
    }

    fn class(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for ChainPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

/// Calls of one class of urgency within an interval.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    calls: u32,
    refused: u32,
}

/// Limit that a node learns from the outcomes of the calls that its target makes to one service.
///
/// It follows the calls of the least urgent class that the limit admits. Where only more urgent calls are refused, the
/// order of the chains is not the cause, and refusing others would not help them.
#[derive(Debug)]
pub struct ChainLimit {
    /// Chains beyond this position are refused; `None` if there is no limit.
    limit: Option<f64>,
    /// Position up to which the limit rises before it is removed.
    ceiling: f64,
    adjusted_at: TickTime,
    rise_per_s: f64,
    /// Calls since the last adjustment that the limit admits, by class of urgency.
    counts: BTreeMap<u32, CallCounts>,
}

impl ChainLimit {
    /// Creates a limit that is not in force.
    pub fn new(now: TickTime) -> Self {
        Self {
            limit: None,
            ceiling: 0.0,
            adjusted_at: now,
            rise_per_s: RISE_PER_S,
            counts: BTreeMap::new(),
        }
    }

    /// Counts a call that was answered or failed, or that no target of the service took. Calls beyond the limit belong to
    /// chains that were started before the limit fell, so they do not move it.
    pub fn record(&mut self, now: TickTime, position: ChainPosition, is_refused: bool) {
        self.adjust(now);
        if self.limit.is_some_and(|limit| position.0 > limit) {
            return;
        }
        let counts = self.counts.entry(position.class()).or_default();
        counts.calls += 1;
        counts.refused += u32::from(is_refused);
    }

    /// Returns the limit in force.
    pub fn current(&mut self, now: TickTime) -> Option<ChainPosition> {
        self.adjust(now);
        self.limit.map(ChainPosition)
    }

    fn adjust(&mut self, now: TickTime) {
        let elapsed = now.saturating_since(self.adjusted_at);
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let mut refused_fraction = 0.0;
        if let Some((class, counts)) = self.counts.pop_last() {
            refused_fraction = f64::from(counts.refused) / (f64::from(counts.calls) + PRIOR_CALLS);
            self.ceiling = self.ceiling.max(f64::from(class) + 1.0);
        }
        self.counts.clear();
        self.rise_per_s = if refused_fraction < QUIET_FRACTION {
            (self.rise_per_s * 2.0).min(MAX_RISE_PER_S)
        } else {
            RISE_PER_S
        };
        let change = (self.rise_per_s - FALL_PER_S * refused_fraction) * elapsed.as_secs_f64();
        let adjusted = (self.limit.unwrap_or(self.ceiling) + change).max(0.0);
        if adjusted < self.ceiling {
            self.limit = Some(adjusted);
        } else {
            self.limit = None;
            self.ceiling = 0.0;
        }
    }
}

/// Limit that another node reported with an answer. It rises with its age, so that it ends if no newer one arrives.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLimit {
    limit: ChainPosition,
    reported_at: TickTime,
}

impl ReportedLimit {
    /// Records a limit that was just reported.
    pub fn new(now: TickTime, limit: ChainPosition) -> Self {
        Self {
            limit,
            reported_at: now,
        }
    }

    /// Returns the age of the report.
    pub fn age(&self, now: TickTime) -> Duration {
        now.saturating_since(self.reported_at)
    }

    /// Returns the limit as it was reported.
    pub fn position(&self) -> ChainPosition {
        self.limit
    }

    /// Returns whether a chain at a position is likely to complete.
    pub fn admits(&self, now: TickTime, position: ChainPosition) -> bool {
        position.0 <= self.limit.0 + REPORT_RISE * self.age(now).as_secs_f64().powi(2)
    }
}
