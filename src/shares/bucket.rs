//! Shares of the callers' limits that a node holds, and the demand that it reports for them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plans::{CallerEntry, PlanEntry};
use crate::types::{CallerName, TickTime};

use super::{
    NANOTOKENS_PER_TOKEN, RateDemand, RateShare, SHARE_LEASE, accrued_nanotokens, lease_capacity,
};

/// Regular interval between heartbeats, after which a caller without tokens may retry.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Longest lifetime of a lease that is confirmed but not granted anew. Without this bound, successive new
/// leaders could keep extending a lease that was granted before an edit lowered the limit.
const MAX_CONFIRMED_LEASE: Duration = SHARE_LEASE.saturating_mul(2);
/// Early heartbeats that may be sent in a burst. The allowance refills by one per second, the regular
/// heartbeat interval, so that early heartbeats at most double the control traffic of a node.
const MAX_EARLY_HEARTBEATS: u32 = 4;
/// Shortest time between an early heartbeat and the previous heartbeat.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(50);

/// Shares that a node holds, by caller.
#[derive(Debug, Default)]
pub struct ShareBucket {
    callers: BTreeMap<CallerName, CallerBucket>,
    // When the heartbeat was sent whose reply was applied last.
    applied_sent_at: Option<TickTime>,
    reported_at: Option<TickTime>,
    has_unmet_demand: bool,
    early_heartbeats: u32,
    early_heartbeats_refilled_at: TickTime,
}

#[derive(Debug, Default)]
struct CallerBucket {
    offered: u32,
    reported_per_s: f64,
    lease: Option<HeldLease>,
    batches: Vec<HeldBatch>,
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
struct HeldBatch {
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
    /// A reply is ignored if a reply to the same or a later heartbeat has been applied.
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
                bucket.add_batch(share.burst, expires_at);
            } else {
                bucket.set_lease(now, share, sent_at);
            }
        }
    }

    /// Takes a token for one request of the caller.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may succeed if no token is left.
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

    /// Retries to take a token for a request that `take` refused and that has been held back since,
    /// without counting it as new demand.
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
        bucket.cap_lease_capacity(rate_per_s, plan.burst);
        let result = bucket.take(now);
        self.has_unmet_demand |= result.is_err() && bucket.lease.is_none();
        result
    }

    /// Returns whether to send an early heartbeat now because a request of a caller without a lease
    /// found no token. Each call that returns true counts as one early heartbeat.
    pub fn wants_heartbeat(&mut self, now: TickTime) -> bool {
        let refills = (now - self.early_heartbeats_refilled_at).as_secs() as u32;
        if refills > 0 {
            self.early_heartbeats_refilled_at = now;
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

    /// Returns the rate of the unexpired lease of a caller, or 0 if there is none.
    pub fn held_rate(&self, now: TickTime, caller: &CallerName) -> u32 {
        let bucket = self.callers.get(caller);
        let lease = bucket.and_then(|bucket| bucket.lease.as_ref());
        lease
            .filter(|lease| lease.expires_at > now)
            .map_or(0, |lease| lease.rate_per_s)
    }

    /// Returns the demand since the last call, to be sent with a heartbeat now.
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
            is_active || !bucket.batches.is_empty()
        });
        demands
    }
}

impl CallerBucket {
    fn drop_expired(&mut self, now: TickTime) {
        self.lease.take_if(|lease| lease.expires_at <= now);
        self.batches
            .retain(|batch| batch.tokens > 0 && batch.expires_at > now);
    }

    fn add_batch(&mut self, tokens: u32, expires_at: TickTime) {
        self.batches.push(HeldBatch { tokens, expires_at });
    }

    // A confirmation extends a lease but never creates one: the former leader may have let the lease
    // expire and leased its rate to another node before the reply arrived.
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

    // A lease that a new leader confirms keeps its capacity, although an edit may have lowered the
    // capacity that its rate allows.
    fn cap_lease_capacity(&mut self, rate_per_s: u32, burst: u32) {
        if let Some(lease) = &mut self.lease {
            let capacity = lease_capacity(lease.rate_per_s, rate_per_s, burst);
            lease.capacity = lease
                .capacity
                .min(u64::from(capacity) * NANOTOKENS_PER_TOKEN);
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
        if let Some(batch) = self.batches.first_mut() {
            batch.tokens -= 1;
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
            offered_per_s: self.measure_offered_rate(elapsed),
        }
    }

    /// Returns the offered requests per second, averaged over at least the regular heartbeat interval.
    fn measure_offered_rate(&mut self, elapsed: Duration) -> u32 {
        let offered = f64::from(std::mem::take(&mut self.offered));
        let window_s = elapsed.max(HEARTBEAT_PERIOD).as_secs_f64();
        let carried_s = HEARTBEAT_PERIOD.saturating_sub(elapsed).as_secs_f64();
        self.reported_per_s = (offered + self.reported_per_s * carried_s) / window_s;
        // Without new requests the rate is rounded down, so that an early and a regular heartbeat do not
        // both report the same single request.
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
            capacity: u64::from(share.burst) * NANOTOKENS_PER_TOKEN,
            tokens: 0,
            refilled_at: now,
            granted_at: sent_at,
            expires_at: sent_at + share.valid_for,
        }
    }

    fn replace(&mut self, now: TickTime, share: &RateShare, sent_at: TickTime) {
        self.refill(now);
        self.rate_per_s = share.rate_per_s;
        self.capacity = u64::from(share.burst) * NANOTOKENS_PER_TOKEN;
        self.tokens = self.tokens.min(self.capacity);
        self.granted_at = sent_at;
        self.expires_at = sent_at + share.valid_for;
    }

    fn extend(&mut self, now: TickTime, share: &RateShare, sent_at: TickTime) {
        self.refill(now);
        self.rate_per_s = share.rate_per_s.min(self.rate_per_s);
        let latest_expiry = self.granted_at + MAX_CONFIRMED_LEASE;
        self.expires_at = (sent_at + share.valid_for).min(latest_expiry);
    }

    fn refill(&mut self, now: TickTime) {
        let span = now.saturating_since(self.refilled_at);
        let tokens = self
            .tokens
            .saturating_add(accrued_nanotokens(self.rate_per_s, span));
        self.tokens = tokens.min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self, now: TickTime) -> bool {
        self.refill(now);
        let Some(remaining) = self.tokens.checked_sub(NANOTOKENS_PER_TOKEN) else {
            return false;
        };
        self.tokens = remaining;
        true
    }

    fn time_to_token(&self) -> Duration {
        let missing = NANOTOKENS_PER_TOKEN.saturating_sub(self.tokens);
        Duration::from_nanos(missing.div_ceil(u64::from(self.rate_per_s.max(1))))
    }
}
