//! Granted shares and token reserve of one caller.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use crate::types::{NodeId, TickTime};

use super::super::{
    BATCH_LIFETIME, NANOTOKENS_PER_TOKEN, RateDemand, RateShare, SHARE_LEASE, SHORT_BATCH_LIFETIME,
    accrued_nanotokens, lease_capacity,
};
use super::fill_time;
use super::node_account::{AccountTotals, NodeAccount};

/// Rate limit of one caller over the whole mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerLimit {
    pub(super) rate_per_s: u32,
    pub(super) burst: u32,
}

impl CallerLimit {
    fn capacity(self, lease_per_s: u32) -> u32 {
        lease_capacity(lease_per_s, self.rate_per_s, self.burst)
    }
}

#[derive(Debug)]
pub(super) struct CallerAccount {
    nodes: BTreeMap<NodeId, NodeAccount>,
    totals: AccountTotals,
    // Times at which a lease, a batch or the demand of a node expires. An entry may be outdated by a renewal.
    expiries: BinaryHeap<Reverse<(TickTime, NodeId)>>,
    reserve: u64,
    reserve_refilled_at: TickTime,
    last_demand_at: TickTime,
    limit: CallerLimit,
}

impl CallerAccount {
    /// Creates an account whose reserve has been filling since the shares of the former leader expired.
    pub(super) fn new(
        now: TickTime,
        former_shares_expire_at: TickTime,
        limit: CallerLimit,
    ) -> Self {
        let reserve = accrued_nanotokens(
            limit.rate_per_s,
            now.saturating_since(former_shares_expire_at),
        );
        Self {
            nodes: BTreeMap::new(),
            totals: AccountTotals::default(),
            expiries: BinaryHeap::new(),
            reserve: reserve.min(u64::from(limit.burst) * NANOTOKENS_PER_TOKEN),
            reserve_refilled_at: now.max(former_shares_expire_at),
            last_demand_at: now,
            limit,
        }
    }

    pub(super) fn is_idle(&self, now: TickTime) -> bool {
        self.nodes.is_empty() && now.saturating_since(self.last_demand_at) > fill_time(self.limit)
    }

    pub(super) fn leased_rate(&self, now: TickTime) -> u32 {
        let rates = self.nodes.values().map(|node| node.leased_rate(now));
        rates.sum()
    }

    /// Refills the reserve at the rate that was not leased, then removes expired shares and demand.
    ///
    /// Shares that expired since the last refill count as held until now.
    pub(super) fn refill_and_expire(&mut self, now: TickTime) {
        let leased = self.totals.rate_per_s;
        let unleased = u64::from(self.limit.rate_per_s).saturating_sub(leased);
        let span = now.saturating_since(self.reserve_refilled_at);
        let refilled = accrued_nanotokens(unleased as u32, span);
        self.reserve = self.reserve.saturating_add(refilled);
        self.reserve_refilled_at = self.reserve_refilled_at.max(now);
        self.cap_reserve();
        self.drop_expired(now);
    }

    fn drop_expired(&mut self, now: TickTime) {
        while let Some(Reverse((expires_at, node_id))) = self.expiries.peek().copied()
            && expires_at <= now
        {
            self.expiries.pop();
            let is_active = self.update_node(node_id, |node| {
                node.drop_expired(now);
                node.is_active(now)
            });
            if !is_active {
                self.nodes.remove(&node_id);
            }
        }
    }

    /// Changes the account of a node and updates the totals accordingly.
    fn update_node<T>(&mut self, node_id: NodeId, change: impl FnOnce(&mut NodeAccount) -> T) -> T {
        let node = self.nodes.entry(node_id).or_default();
        self.totals.subtract(node.totals());
        let result = change(node);
        self.totals.add(node.totals());
        result
    }

    fn record_demand(&mut self, now: TickTime, node_id: NodeId, offered_per_s: u32) {
        self.update_node(node_id, |node| node.record_demand(now, offered_per_s));
        self.expiries.push(Reverse((now + SHARE_LEASE, node_id)));
    }

    pub(super) fn set_limit(&mut self, now: TickTime, limit: CallerLimit) {
        self.limit = limit;
        self.cap_reserve();
        self.last_demand_at = now;
    }

    fn cap_reserve(&mut self) {
        let outstanding = self.totals.capacity + self.totals.batch_tokens;
        let room = u64::from(self.limit.burst).saturating_sub(outstanding);
        self.reserve = self.reserve.min(room * NANOTOKENS_PER_TOKEN);
    }

    /// Confirms a lease of the former leader at no more than its rate, without changing its capacity.
    pub(super) fn confirm(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demand: &RateDemand,
    ) -> Option<RateShare> {
        self.record_demand(now, node_id, demand.offered_per_s);
        let free = self.free_rate(now, node_id);
        let rate_per_s = demand.held_per_s.min(free);
        let capacity = self.limit.capacity(rate_per_s);
        if capacity == 0 {
            return None;
        }
        self.update_node(node_id, |node| node.push_lease(now, rate_per_s, capacity));
        Some(lease_share(demand, rate_per_s, 0))
    }

    /// Grants a lease for sustained demand, and a token batch for demand that the lease does not cover.
    pub(super) fn grant(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demand: &RateDemand,
    ) -> impl Iterator<Item = RateShare> + use<> {
        self.record_demand(now, node_id, demand.offered_per_s);
        let previous_rate = self.nodes[&node_id].leased_rate(now);
        let planned = self.plan_lease(now, node_id);
        let lease = planned.map(|(rate_per_s, capacity)| {
            self.update_node(node_id, |node| node.push_lease(now, rate_per_s, capacity));
            lease_share(demand, rate_per_s, capacity)
        });
        self.cap_reserve();
        // The bucket of a new lease starts empty and does not yet serve the waiting requests.
        let covered = previous_rate.min(self.nodes[&node_id].leased_rate(now));
        let batch = self.grant_batch(now, node_id, demand, covered);
        lease.into_iter().chain(batch)
    }

    fn grant_batch(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demand: &RateDemand,
        covered: u32,
    ) -> Option<RateShare> {
        let missing = self.nodes[&node_id].uncovered_requests(demand.offered_per_s, covered);
        let tokens = u64::from(missing).min(self.reserve / NANOTOKENS_PER_TOKEN) as u32;
        if tokens == 0 {
            return None;
        }
        self.reserve -= u64::from(tokens) * NANOTOKENS_PER_TOKEN;
        let is_ample = self.reserve * 2 >= u64::from(self.limit.burst) * NANOTOKENS_PER_TOKEN;
        let lifetime = if is_ample {
            BATCH_LIFETIME
        } else {
            SHORT_BATCH_LIFETIME
        };
        self.update_node(node_id, |node| node.push_batch(now + lifetime, tokens));
        self.expiries.push(Reverse((now + lifetime, node_id)));
        Some(batch_share(demand, tokens, lifetime))
    }

    /// Returns the part of the rate that is not leased to other nodes.
    fn free_rate(&self, now: TickTime, node_id: NodeId) -> u32 {
        let own = u64::from(self.nodes[&node_id].leased_rate(now));
        let others = self.totals.rate_per_s.saturating_sub(own);
        u64::from(self.limit.rate_per_s).saturating_sub(others) as u32
    }

    fn plan_lease(&self, now: TickTime, node_id: NodeId) -> Option<(u32, u32)> {
        let node = &self.nodes[&node_id];
        if !node.is_sustained() {
            return None;
        }
        let target = node.target_rate(self.totals.demand_milli, self.limit.rate_per_s);
        let free = self.free_rate(now, node_id);
        let rate = node.rate_with_hysteresis(now, target).min(free);
        let own = u64::from(node.leased_capacity(now));
        let outstanding = self.totals.capacity + self.totals.batch_tokens - own;
        let room = u64::from(self.limit.burst).saturating_sub(outstanding);
        let capacity = self.limit.capacity(rate).min(room as u32);
        (capacity > 0).then_some((rate, capacity))
    }
}

fn lease_share(demand: &RateDemand, rate_per_s: u32, burst: u32) -> RateShare {
    RateShare {
        caller: demand.caller.clone(),
        rate_per_s,
        burst,
        valid_for: SHARE_LEASE,
    }
}

fn batch_share(demand: &RateDemand, tokens: u32, valid_for: Duration) -> RateShare {
    RateShare {
        caller: demand.caller.clone(),
        rate_per_s: 0,
        burst: tokens,
        valid_for,
    }
}
