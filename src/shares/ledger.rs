//! Shares of the callers' limits that the leader has granted to nodes.

mod account;
mod node_account;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plans::PlanBook;
use crate::types::{CallerName, NodeId, TickTime};

use super::{RateDemand, RateShare, SHARE_LEASE};
use account::{CallerAccount, CallerLimit};

/// Unexpired shares that the leader has granted, by caller.
#[derive(Debug)]
pub struct ShareLedger {
    // Time from which all shares of the former leader have expired.
    former_shares_expire_at: TickTime,
    accounts: BTreeMap<CallerName, CallerAccount>,
}

impl ShareLedger {
    /// Creates the ledger of a leader whose term begins now.
    ///
    /// For the length of one lease it only confirms leases that nodes report as held, because the
    /// shares that the former leader granted are not known.
    pub fn new(now: TickTime) -> Self {
        Self {
            former_shares_expire_at: now + SHARE_LEASE,
            accounts: BTreeMap::new(),
        }
    }

    /// Grants shares for the demands of one node.
    pub fn renew(
        &mut self,
        now: TickTime,
        node_id: NodeId,
        demands: &[RateDemand],
        book: &PlanBook,
    ) -> Vec<RateShare> {
        let mut shares = Vec::new();
        for demand in demands {
            let Some(limit) = find_limit(book, &demand.caller) else {
                continue;
            };
            let former_shares_expire_at = self.former_shares_expire_at;
            let account = self
                .accounts
                .entry(demand.caller.clone())
                .or_insert_with(|| CallerAccount::new(now, former_shares_expire_at, limit));
            account.refill_and_expire(now);
            account.set_limit(now, limit);
            if now < former_shares_expire_at {
                shares.extend(account.confirm(now, node_id, demand));
            } else {
                shares.extend(account.grant(now, node_id, demand));
            }
        }
        shares
    }

    /// Removes expired shares and the accounts of idle callers.
    pub fn expire(&mut self, now: TickTime) {
        self.accounts.retain(|_, account| {
            account.refill_and_expire(now);
            !account.is_idle(now)
        });
    }

    /// Returns the sum of the unexpired leases of a caller, in requests per second.
    pub fn leased_rate(&self, now: TickTime, caller: &CallerName) -> u32 {
        let account = self.accounts.get(caller);
        account.map_or(0, |account| account.leased_rate(now))
    }
}

fn find_limit(book: &PlanBook, caller: &CallerName) -> Option<CallerLimit> {
    let plan = book.plan_of(book.caller_named(caller)?)?;
    let rate_per_s = plan.rate_per_s.filter(|rate| *rate > 0)?;
    let burst = plan.burst.max(1);
    Some(CallerLimit { rate_per_s, burst })
}

/// Returns the time that an empty reserve needs to fill.
fn fill_time(limit: CallerLimit) -> Duration {
    Duration::from_secs_f64(f64::from(limit.burst) / f64::from(limit.rate_per_s))
}
