//! Demand and granted shares of one caller at one node.

use std::time::Duration;

use crate::types::TickTime;

use super::super::SHARE_LEASE;

/// Factor by which a lease may exceed the reported demand, so that growing demand is not cut off.
const DEMAND_HEADROOM: f64 = 1.25;
/// Half-life of the moving average of demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// Demand that changes by more than this factor plus `DEMAND_NOISE_PER_S` replaces the average at once.
/// Smaller changes may be random.
const DEMAND_JUMP_FACTOR: f64 = 1.5;
const DEMAND_NOISE_PER_S: f64 = 4.0;
/// A lease keeps its rate while the target rate is at least this part of it. The larger of two leases
/// counts until it expires, so a lease that followed random changes would waste the difference.
const LEASE_KEEP_RATIO: f64 = 0.7;
/// Offered rate from which the first report already yields a lease.
const IMMEDIATE_LEASE_PER_S: u32 = 5;
/// Consecutive reports of demand after which a slow caller gets a lease. A single request is served
/// by a token batch, because a lease would tie up its rate for three seconds.
const MIN_REPORTS_FOR_LEASE: u32 = 4;

#[derive(Debug, Default)]
pub(super) struct NodeAccount {
    demand_per_s: f64,
    consecutive_reports: u32,
    reported_at: TickTime,
    // The node holds one of these leases. Which one is not known, because replies may be lost or reordered.
    leases: Vec<GrantedLease>,
    batches: Vec<GrantedBatch>,
}

#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    rate_per_s: u32,
    capacity: u32,
    expires_at: TickTime,
}

#[derive(Debug, Clone, Copy)]
struct GrantedBatch {
    tokens: u32,
    expires_at: TickTime,
}

/// Sums over all nodes of a caller's account.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct AccountTotals {
    pub(super) rate_per_s: u64,
    pub(super) capacity: u64,
    pub(super) batch_tokens: u64,
    // Thousandths of a request per second, as integers so that sums and differences are exact.
    pub(super) demand_milli: u64,
}

impl NodeAccount {
    pub(super) fn is_active(&self, now: TickTime) -> bool {
        let is_recent = now.saturating_since(self.reported_at) < SHARE_LEASE;
        is_recent || !self.leases.is_empty() || !self.batches.is_empty()
    }

    pub(super) fn drop_expired(&mut self, now: TickTime) {
        self.leases.retain(|lease| lease.expires_at > now);
        self.batches.retain(|batch| batch.expires_at > now);
        if now.saturating_since(self.reported_at) >= SHARE_LEASE {
            self.demand_per_s = 0.0;
            self.consecutive_reports = 0;
        }
    }

    pub(super) fn record_demand(&mut self, now: TickTime, offered_per_s: u32) {
        let offered = f64::from(offered_per_s);
        let age = now.saturating_since(self.reported_at).as_secs_f64();
        let decay = (-age / DEMAND_HALF_LIFE.as_secs_f64()).exp2();
        let average = offered + (self.demand_per_s - offered) * decay;
        let (low, high) = (
            offered.min(self.demand_per_s),
            offered.max(self.demand_per_s),
        );
        let is_jump = high > low * DEMAND_JUMP_FACTOR + DEMAND_NOISE_PER_S;
        self.demand_per_s = if is_jump { offered } else { average };
        // A node without requests gets no renewal. The lease that it holds outlasts a short pause.
        self.consecutive_reports = if offered_per_s == 0 {
            self.demand_per_s = 0.0;
            0
        } else {
            self.consecutive_reports + 1
        };
        if offered_per_s >= IMMEDIATE_LEASE_PER_S {
            self.consecutive_reports = self.consecutive_reports.max(MIN_REPORTS_FOR_LEASE);
        }
        self.reported_at = now;
    }

    pub(super) fn is_sustained(&self) -> bool {
        self.consecutive_reports >= MIN_REPORTS_FOR_LEASE
    }

    /// Returns the demand with headroom, reduced in proportion when the total demand exceeds the limit.
    pub(super) fn target_rate(&self, total_demand_milli: u64, rate_per_s: u32) -> u32 {
        let rate = f64::from(rate_per_s);
        let demand_with_headroom = self.demand_per_s * DEMAND_HEADROOM;
        let total_with_headroom = total_demand_milli as f64 / 1e3 * DEMAND_HEADROOM;
        if total_with_headroom <= rate {
            return demand_with_headroom.ceil().min(rate) as u32;
        }
        (rate * demand_with_headroom / total_with_headroom) as u32
    }

    /// Returns the leased rate if the target is only slightly lower, otherwise the target.
    pub(super) fn rate_with_hysteresis(&self, now: TickTime, target: u32) -> u32 {
        let leased = self.leased_rate(now);
        let is_near = target < leased && f64::from(target) >= f64::from(leased) * LEASE_KEEP_RATIO;
        if is_near { leased } else { target }
    }

    /// Returns the number of offered requests that neither a lease nor a token batch covers.
    pub(super) fn uncovered_requests(&self, offered: u32, covered: u32) -> u32 {
        let batch_tokens: u32 = self.batches.iter().map(|batch| batch.tokens).sum();
        offered.saturating_sub(covered).saturating_sub(batch_tokens)
    }

    pub(super) fn push_lease(&mut self, now: TickTime, rate_per_s: u32, capacity: u32) {
        self.leases
            .retain(|lease| lease.rate_per_s > rate_per_s || lease.capacity > capacity);
        self.leases.push(GrantedLease {
            rate_per_s,
            capacity,
            expires_at: now + SHARE_LEASE,
        });
    }

    pub(super) fn push_batch(&mut self, expires_at: TickTime, tokens: u32) {
        self.batches.push(GrantedBatch { tokens, expires_at });
    }

    pub(super) fn leased_rate(&self, now: TickTime) -> u32 {
        let leases = self.leases.iter().filter(|lease| lease.expires_at > now);
        leases.map(|lease| lease.rate_per_s).max().unwrap_or(0)
    }

    pub(super) fn leased_capacity(&self, now: TickTime) -> u32 {
        let leases = self.leases.iter().filter(|lease| lease.expires_at > now);
        leases.map(|lease| lease.capacity).max().unwrap_or(0)
    }

    pub(super) fn totals(&self) -> AccountTotals {
        let rates = self.leases.iter().map(|lease| lease.rate_per_s);
        let capacities = self.leases.iter().map(|lease| lease.capacity);
        let batches = self.batches.iter();
        AccountTotals {
            rate_per_s: rates.max().unwrap_or(0).into(),
            capacity: capacities.max().unwrap_or(0).into(),
            batch_tokens: batches.map(|batch| u64::from(batch.tokens)).sum(),
            demand_milli: (self.demand_per_s * 1e3) as u64,
        }
    }
}

impl AccountTotals {
    pub(super) fn add(&mut self, node: Self) {
        self.rate_per_s += node.rate_per_s;
        self.capacity += node.capacity;
        self.batch_tokens += node.batch_tokens;
        self.demand_milli += node.demand_milli;
    }

    pub(super) fn subtract(&mut self, node: Self) {
        self.rate_per_s -= node.rate_per_s;
        self.capacity -= node.capacity;
        self.batch_tokens -= node.batch_tokens;
        self.demand_milli -= node.demand_milli;
    }
}
