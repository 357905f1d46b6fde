//! Shares of one caller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{NodeId, TickTime};

use super::super::{
    DEPOSIT_LIFE, REPLY_BOUND, RateDemand, RateShare, SCARCE_DEPOSIT_LIFE, SHARE_LEASE, TOKEN,
    accrued, lease_capacity,
};
use super::fill_time;

/// Factor by which a lease may exceed the measured demand, so that growth is not cut off.
const DEMAND_HEADROOM: f64 = 1.25;
/// Time in which half of a change in demand is believed.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// A change by more than this factor and this number is believed at once; less may be chance.
const DEMAND_JUMP: f64 = 1.5;
const DEMAND_NOISE_PER_S: f64 = 4.0;
/// A lease keeps its rate while the rate it should have is at least this part of it. The larger
/// of two leases counts until it expires, so following random changes would waste the rest.
const KEEP_RATE: f64 = 0.7;
/// Offered rate at which a first report already earns a lease.
const LEASE_AT_ONCE_PER_S: u32 = 5;
/// Reports in a row that show demand before a slow caller gets a lease; a single request is
/// served by a deposit, because a lease would tie up the rate for three seconds.
const REPORTS_FOR_LEASE: u32 = 4;

/// Limit of one caller over the whole mesh.
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
    bank: u64,
    banked_at: TickTime,
    used_at: TickTime,
    limit: CallerLimit,
}

#[derive(Debug, Default)]
struct NodeAccount {
    wanted_per_s: f64,
    reports: u32,
    seen_at: TickTime,
    // The node holds one of these; replies may be lost or overtaken.
    leases: Vec<GivenLease>,
    deposits: Vec<GivenDeposit>,
}

#[derive(Debug, Clone, Copy)]
struct GivenLease {
    rate_per_s: u32,
    capacity: u32,
    expires_at: TickTime,
}

#[derive(Debug, Clone, Copy)]
struct GivenDeposit {
    tokens: u32,
    expires_at: TickTime,
}

/// Sums over all nodes of an account.
#[derive(Debug, Default, Clone, Copy)]
struct AccountTotals {
    rate_per_s: u64,
    capacity: u64,
    deposited: u64,
    wanted_per_s: f64,
}

impl CallerAccount {
    /// Opens an account whose bank has filled since `known_from`.
    pub(super) fn new(now: TickTime, known_from: TickTime, limit: CallerLimit) -> Self {
        let bank = accrued(limit.rate_per_s, now.saturating_since(known_from));
        Self {
            nodes: BTreeMap::new(),
            bank: bank.min(u64::from(limit.burst) * TOKEN),
            banked_at: now.max(known_from),
            used_at: now,
            limit,
        }
    }

    pub(super) fn is_idle(&self, now: TickTime) -> bool {
        self.nodes.is_empty() && now.saturating_since(self.used_at) > fill_time(self.limit)
    }

    pub(super) fn leased_rate(&self, now: TickTime) -> u32 {
        let rates = self.nodes.values().map(|node| node.leased_rate(now));
        rates.sum()
    }

    /// Fills the bank at the rate that was not leased, then removes what expired.
    ///
    /// Shares that expired since the last settlement count as held for the whole time.
    pub(super) fn settle(&mut self, now: TickTime) {
        let totals = self.totals();
        let unleased = u64::from(self.limit.rate_per_s).saturating_sub(totals.rate_per_s);
        let span = now.saturating_since(self.banked_at);
        let income = accrued(unleased as u32, span);
        self.bank = self.bank.saturating_add(income);
        self.banked_at = self.banked_at.max(now);
        self.clip_bank(totals);
        self.nodes.retain(|_, node| {
            node.drop_expired(now);
            node.is_active(now)
        });
    }

    pub(super) fn set_limit(&mut self, now: TickTime, limit: CallerLimit) {
        self.limit = limit;
        self.clip_bank(self.totals());
        self.used_at = now;
    }

    fn clip_bank(&mut self, totals: AccountTotals) {
        let stored = totals.capacity + totals.deposited;
        let room = u64::from(self.limit.burst).saturating_sub(stored);
        self.bank = self.bank.min(room * TOKEN);
    }

    fn totals(&self) -> AccountTotals {
        let mut totals = AccountTotals::default();
        for node in self.nodes.values() {
            node.add_to(&mut totals);
        }
        totals
    }

    /// Extends a lease that the former leader gave, without changing it.
    pub(super) fn confirm(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demand: &RateDemand,
        limit: CallerLimit,
    ) -> Option<RateShare> {
        let totals = self.totals();
        let node = self.nodes.entry(node_id).or_default();
        node.note_demand(now, demand.offered_per_s);
        // A shorter rest could have ended before this leader's term began.
        if demand.held_for <= REPLY_BOUND {
            return None;
        }
        let others = totals.rate_per_s - u64::from(node.leased_rate(now));
        let free = u64::from(limit.rate_per_s).saturating_sub(others) as u32;
        let rate_per_s = demand.held_per_s.min(free);
        let capacity = limit.capacity(rate_per_s);
        if capacity == 0 {
            return None;
        }
        node.push_lease(now, rate_per_s, capacity);
        Some(lease_share(demand, rate_per_s, 0))
    }

    /// Grants a lease for sustained demand, and a deposit for the rest.
    pub(super) fn grant(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demand: &RateDemand,
        limit: CallerLimit,
    ) -> Vec<RateShare> {
        let node = self.nodes.entry(node_id).or_default();
        node.note_demand(now, demand.offered_per_s);
        let mut shares = Vec::new();
        let had_rate = self.nodes[&node_id].leased_rate(now);
        if let Some((rate_per_s, capacity)) = self.plan_lease(now, node_id, limit)
            && let Some(node) = self.nodes.get_mut(&node_id)
        {
            node.push_lease(now, rate_per_s, capacity);
            shares.push(lease_share(demand, rate_per_s, capacity));
        }
        self.clip_bank(self.totals());
        if let Some(node) = self.nodes.get_mut(&node_id) {
            let covered = had_rate.min(node.leased_rate(now));
            let tokens = node.missing_tokens(demand.offered_per_s, covered);
            let tokens = u64::from(tokens).min(self.bank / TOKEN) as u32;
            if tokens > 0 {
                self.bank -= u64::from(tokens) * TOKEN;
                let is_ample = self.bank * 2 >= u64::from(limit.burst) * TOKEN;
                let life = if is_ample {
                    DEPOSIT_LIFE
                } else {
                    SCARCE_DEPOSIT_LIFE
                };
                node.push_deposit(now + life, tokens);
                shares.push(deposit_share(demand, tokens, life));
            }
        }
        shares
    }

    fn plan_lease(&self, now: TickTime, node_id: NodeId, limit: CallerLimit) -> Option<(u32, u32)> {
        let node = &self.nodes[&node_id];
        if !node.is_sustained() {
            return None;
        }
        let totals = self.totals();
        let others = totals.rate_per_s - u64::from(node.leased_rate(now));
        let free = u64::from(limit.rate_per_s).saturating_sub(others);
        let target = node.target_rate(totals.wanted_per_s, limit);
        let rate = node.steady_rate(now, target).min(free as u32);
        let others = totals.capacity - u64::from(node.leased_capacity(now));
        let room = u64::from(limit.burst).saturating_sub(others + totals.deposited);
        let capacity = limit.capacity(rate).min(room as u32);
        (capacity > 0).then_some((rate, capacity))
    }
}

impl NodeAccount {
    fn is_active(&self, now: TickTime) -> bool {
        let is_recent = now.saturating_since(self.seen_at) < SHARE_LEASE;
        is_recent || !self.leases.is_empty() || !self.deposits.is_empty()
    }

    fn drop_expired(&mut self, now: TickTime) {
        self.leases.retain(|lease| lease.expires_at > now);
        self.deposits.retain(|deposit| deposit.expires_at > now);
        if now.saturating_since(self.seen_at) >= SHARE_LEASE {
            self.wanted_per_s = 0.0;
            self.reports = 0;
        }
    }

    fn note_demand(&mut self, now: TickTime, offered_per_s: u32) {
        let offered = f64::from(offered_per_s);
        let age = now.saturating_since(self.seen_at).as_secs_f64();
        let fade = (-age / DEMAND_HALF_LIFE.as_secs_f64()).exp2();
        let average = offered + (self.wanted_per_s - offered) * fade;
        let (low, high) = (
            offered.min(self.wanted_per_s),
            offered.max(self.wanted_per_s),
        );
        let is_jump = high > low * DEMAND_JUMP + DEMAND_NOISE_PER_S;
        self.wanted_per_s = if is_jump { offered } else { average };
        // A node without requests gets no renewal; what it holds lasts through a pause.
        self.reports = if offered_per_s == 0 {
            self.wanted_per_s = 0.0;
            0
        } else {
            self.reports + 1
        };
        if offered_per_s >= LEASE_AT_ONCE_PER_S {
            self.reports = self.reports.max(REPORTS_FOR_LEASE);
        }
        self.seen_at = now;
    }

    fn is_sustained(&self) -> bool {
        self.reports >= REPORTS_FOR_LEASE
    }

    /// Returns the demand with headroom, cut in proportion when all demand exceeds the limit.
    fn target_rate(&self, all_wanted: f64, limit: CallerLimit) -> u32 {
        let rate = f64::from(limit.rate_per_s);
        let wanted = self.wanted_per_s * DEMAND_HEADROOM;
        let all_wanted = all_wanted * DEMAND_HEADROOM;
        if all_wanted <= rate {
            return (wanted.ceil()).min(rate) as u32;
        }
        (rate * wanted / all_wanted) as u32
    }

    fn steady_rate(&self, now: TickTime, target: u32) -> u32 {
        let leased = self.leased_rate(now);
        let is_near = target < leased && f64::from(target) >= f64::from(leased) * KEEP_RATE;
        if is_near { leased } else { target }
    }

    fn missing_tokens(&self, offered: u32, covered: u32) -> u32 {
        let deposited: u32 = self.deposits.iter().map(|deposit| deposit.tokens).sum();
        offered.saturating_sub(covered).saturating_sub(deposited)
    }

    fn push_lease(&mut self, now: TickTime, rate_per_s: u32, capacity: u32) {
        self.leases
            .retain(|lease| lease.rate_per_s > rate_per_s || lease.capacity > capacity);
        self.leases.push(GivenLease {
            rate_per_s,
            capacity,
            expires_at: now + SHARE_LEASE,
        });
    }

    fn push_deposit(&mut self, expires_at: TickTime, tokens: u32) {
        self.deposits.push(GivenDeposit { tokens, expires_at });
    }

    fn leased_rate(&self, now: TickTime) -> u32 {
        let leases = self.leases.iter().filter(|lease| lease.expires_at > now);
        leases.map(|lease| lease.rate_per_s).max().unwrap_or(0)
    }

    fn leased_capacity(&self, now: TickTime) -> u32 {
        let leases = self.leases.iter().filter(|lease| lease.expires_at > now);
        leases.map(|lease| lease.capacity).max().unwrap_or(0)
    }

    fn add_to(&self, totals: &mut AccountTotals) {
        let rates = self.leases.iter().map(|lease| lease.rate_per_s);
        totals.rate_per_s += u64::from(rates.max().unwrap_or(0));
        let capacities = self.leases.iter().map(|lease| lease.capacity);
        totals.capacity += u64::from(capacities.max().unwrap_or(0));
        let deposits = self
            .deposits
            .iter()
            .map(|deposit| u64::from(deposit.tokens));
        totals.deposited += deposits.sum::<u64>();
        totals.wanted_per_s += self.wanted_per_s;
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

fn deposit_share(demand: &RateDemand, tokens: u32, valid_for: Duration) -> RateShare {
    RateShare {
        caller: demand.caller.clone(),
        rate_per_s: 0,
        burst: tokens,
        valid_for,
    }
}
