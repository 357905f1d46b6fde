//! Node side of the shares.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plans::{CallerEntry, PlanEntry};
use crate::types::{CallerName, TickTime};

use super::{RateDemand, RateShare, SHARE_LEASE, TOKEN, accrued, lease_capacity};

/// Regular time between heartbeats, after which a caller without tokens may try again.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Longest life of a lease that is only confirmed. A chain of new leaders must not keep a lease
/// from before an edit that lowered the limit.
const CONFIRMED_LEASE: Duration = SHARE_LEASE.saturating_mul(2);
/// Early heartbeats that may follow each other; they refill at one per regular heartbeat, which
/// at most doubles the control traffic of a node.
const MAX_EARLY_HEARTBEATS: u32 = 4;
/// Shortest time between an early heartbeat and the one before it.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(50);

/// Shares that this node holds, by caller.
#[derive(Debug, Default)]
pub struct ShareBucket {
    callers: BTreeMap<CallerName, CallerBucket>,
    applied_sent_at: Option<TickTime>,
    reported_at: Option<TickTime>,
    has_unmet_demand: bool,
    early_heartbeats: u32,
    early_refilled_at: TickTime,
}

#[derive(Debug, Default)]
struct CallerBucket {
    offered: u32,
    reported_per_s: f64,
    lease: Option<HeldLease>,
    deposits: Vec<HeldDeposit>,
}

#[derive(Debug)]
struct HeldLease {
    rate_per_s: u32,
    capacity: u64,
    tokens: u64,
    refilled_at: TickTime,
    granted_at: TickTime,
    expires_at: TickTime,
}

#[derive(Debug)]
struct HeldDeposit {
    tokens: u32,
    expires_at: TickTime,
}

impl ShareBucket {
    /// Creates a bucket without shares.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the shares of a reply to a heartbeat that was sent at `sent_at`.
    ///
    /// Replies to earlier heartbeats than the last applied one are ignored.
    pub fn update(&mut self, sent_at: TickTime, now: TickTime, shares: &[RateShare]) {
        if self.applied_sent_at.is_some_and(|last| last >= sent_at) {
            return;
        }
        self.applied_sent_at = Some(sent_at);
        for share in shares {
            let expires_at = sent_at + share.valid_for;
            if expires_at <= now {
                continue;
            }
            let bucket = self.callers.entry(share.caller.clone()).or_default();
            if share.rate_per_s == 0 {
                bucket.add_deposit(share.burst, expires_at);
            } else {
                bucket.set_lease(now, share, sent_at);
            }
        }
    }

    /// Takes a token for one request of the caller.
    ///
    /// The error is the time until a retry is worthwhile.
    pub fn take(
        &mut self,
        now: TickTime,
        caller: &CallerEntry,
        plan: &PlanEntry,
    ) -> Result<(), Duration> {
        if plan.rate_per_s.is_none() {
            return Ok(());
        }
        if !self.callers.contains_key(&caller.name) {
            self.callers
                .insert(caller.name.clone(), CallerBucket::default());
        }
        if let Some(bucket) = self.callers.get_mut(&caller.name) {
            bucket.offered = bucket.offered.saturating_add(1);
        }
        self.retry_take(now, caller, plan)
    }

    /// Tries once more for a request that `take` turned down and that was held since then, without
    /// counting it as new demand.
    pub fn retry_take(
        &mut self,
        now: TickTime,
        caller: &CallerEntry,
        plan: &PlanEntry,
    ) -> Result<(), Duration> {
        let Some(rate_per_s) = plan.rate_per_s else {
            return Ok(());
        };
        let Some(bucket) = self.callers.get_mut(&caller.name) else {
            return Err(HEARTBEAT_PERIOD);
        };
        bucket.clip_capacity(rate_per_s, plan.burst);
        let result = bucket.take(now);
        self.has_unmet_demand |= result.is_err() && bucket.lease.is_none();
        result
    }

    /// Returns whether an early heartbeat should be sent now, because a caller without a lease
    /// found no token. Each call that returns true counts as one early heartbeat.
    pub fn wants_heartbeat(&mut self, now: TickTime) -> bool {
        let refills = (now - self.early_refilled_at).as_secs() as u32;
        if refills > 0 {
            self.early_refilled_at = now;
            self.early_heartbeats = self.early_heartbeats.saturating_sub(refills);
        }
        let has_gap = self
            .reported_at
            .is_none_or(|at| now - at >= MIN_HEARTBEAT_GAP);
        let is_due =
            self.has_unmet_demand && has_gap && self.early_heartbeats < MAX_EARLY_HEARTBEATS;
        self.early_heartbeats += u32::from(is_due);
        is_due
    }

    /// Returns the rate of the unexpired lease for a caller, 0 for none.
    pub fn held_rate(&self, now: TickTime, caller: &CallerName) -> u32 {
        let bucket = self.callers.get(caller);
        let lease = bucket.and_then(|bucket| bucket.lease.as_ref());
        lease
            .filter(|lease| lease.expires_at > now)
            .map_or(0, |lease| lease.rate_per_s)
    }

    /// Reports the demand since the last call, for a heartbeat that is sent now.
    pub fn demands(&mut self, now: TickTime) -> Vec<RateDemand> {
        let elapsed = self.reported_at.map_or(HEARTBEAT_PERIOD, |at| now - at);
        self.reported_at = Some(now);
        self.has_unmet_demand = false;
        let mut demands = Vec::new();
        self.callers.retain(|caller, bucket| {
            bucket.drop_expired(now);
            let is_active =
                bucket.offered > 0 || bucket.lease.is_some() || bucket.reported_per_s >= 1.0;
            if is_active {
                demands.push(bucket.report(now, caller, elapsed));
            }
            is_active || !bucket.deposits.is_empty()
        });
        demands
    }
}

impl CallerBucket {
    fn drop_expired(&mut self, now: TickTime) {
        self.lease.take_if(|lease| lease.expires_at <= now);
        self.deposits
            .retain(|deposit| deposit.tokens > 0 && deposit.expires_at > now);
    }

    fn add_deposit(&mut self, tokens: u32, expires_at: TickTime) {
        self.deposits.push(HeldDeposit { tokens, expires_at });
    }

    // A confirmation extends a lease but never creates one: the former leader may have let the lease
    // expire and given its rate to another node before the reply arrived.
    fn set_lease(&mut self, now: TickTime, share: &RateShare, sent_at: TickTime) {
        self.drop_expired(now);
        let is_confirmation = share.burst == 0;
        match &mut self.lease {
            Some(lease) if is_confirmation => lease.extend(now, share, sent_at),
            Some(lease) => lease.replace(now, share, sent_at),
            None if is_confirmation => {}
            None => self.lease = Some(HeldLease::new(now, share, sent_at)),
        }
    }

    // A lease that a new leader confirms keeps its capacity, which an edit may have lowered.
    fn clip_capacity(&mut self, rate_per_s: u32, burst: u32) {
        if let Some(lease) = &mut self.lease {
            let capacity = lease_capacity(lease.rate_per_s, rate_per_s, burst);
            lease.capacity = lease.capacity.min(u64::from(capacity) * TOKEN);
            lease.tokens = lease.tokens.min(lease.capacity);
        }
    }

    fn take(&mut self, now: TickTime) -> Result<(), Duration> {
        self.drop_expired(now);
        if let Some(lease) = &mut self.lease
            && lease.take(now)
        {
            return Ok(());
        }
        if let Some(deposit) = self.deposits.first_mut() {
            deposit.tokens -= 1;
            return Ok(());
        }
        let lease = self.lease.as_ref();
        Err(lease.map_or(HEARTBEAT_PERIOD, HeldLease::time_to_token))
    }

    fn report(&mut self, now: TickTime, caller: &CallerName, elapsed: Duration) -> RateDemand {
        let lease = self.lease.as_ref();
        RateDemand {
            caller: caller.clone(),
            held_per_s: lease.map_or(0, |lease| lease.rate_per_s),
            held_for: lease.map_or(Duration::ZERO, |lease| lease.expires_at - now),
            offered_per_s: self.measure(elapsed),
        }
    }

    /// Returns the requests per second, over at least the regular time between heartbeats.
    fn measure(&mut self, elapsed: Duration) -> u32 {
        let offered = f64::from(std::mem::take(&mut self.offered));
        let seconds = elapsed.max(HEARTBEAT_PERIOD).as_secs_f64();
        let earlier = HEARTBEAT_PERIOD.saturating_sub(elapsed).as_secs_f64();
        self.reported_per_s = (offered + self.reported_per_s * earlier) / seconds;
        // A single request must not be reported twice by an early and a regular heartbeat.
        let rate = if offered > 0.0 {
            self.reported_per_s.ceil()
        } else {
            self.reported_per_s.floor()
        };
        rate as u32
    }
}

impl HeldLease {
    fn new(now: TickTime, share: &RateShare, sent_at: TickTime) -> Self {
        Self {
            rate_per_s: share.rate_per_s,
            capacity: u64::from(share.burst) * TOKEN,
            tokens: 0,
            refilled_at: now,
            granted_at: sent_at,
            expires_at: sent_at + share.valid_for,
        }
    }

    fn replace(&mut self, now: TickTime, share: &RateShare, sent_at: TickTime) {
        self.refill(now);
        self.rate_per_s = share.rate_per_s;
        self.capacity = u64::from(share.burst) * TOKEN;
        self.tokens = self.tokens.min(self.capacity);
        self.granted_at = sent_at;
        self.expires_at = sent_at + share.valid_for;
    }

    fn extend(&mut self, now: TickTime, share: &RateShare, sent_at: TickTime) {
        self.refill(now);
        self.rate_per_s = share.rate_per_s.min(self.rate_per_s);
        let longest = self.granted_at + CONFIRMED_LEASE;
        self.expires_at = (sent_at + share.valid_for).min(longest);
    }

    fn refill(&mut self, now: TickTime) {
        let span = now.saturating_since(self.refilled_at);
        let tokens = self.tokens.saturating_add(accrued(self.rate_per_s, span));
        self.tokens = tokens.min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self, now: TickTime) -> bool {
        self.refill(now);
        let Some(rest) = self.tokens.checked_sub(TOKEN) else {
            return false;
        };
        self.tokens = rest;
        true
    }

    fn time_to_token(&self) -> Duration {
        let missing = TOKEN.saturating_sub(self.tokens);
        Duration::from_nanos(missing.div_ceil(u64::from(self.rate_per_s.max(1))))
    }
}
