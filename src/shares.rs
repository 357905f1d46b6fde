//! Leased shares of a caller's rate.
//!
//! The limit of a caller is a token bucket of `rate_per_s` and `burst` over the whole mesh. The
//! leader splits it into two kinds of shares:
//!
//! - A lease lets one node refill its own bucket at a part of the rate. It starts empty. The sum
//!   of unexpired leases never exceeds the rate.
//! - A deposit (a share with rate 0) hands out `burst` tokens once. Tokens come from a bank that
//!   the leader refills at the part of the rate that is not leased. Deposits serve callers whose
//!   requests arrive too rarely at one node for a lease, for example 1 per second over 580 nodes.
//!
//! Bank, unexpired deposits and the capacities of leased buckets never exceed `burst` together.
//! Admissions in any window are therefore bounded by `rate * window + burst`.

mod bucket;
mod ledger;
mod message;

use std::time::Duration;

pub use bucket::ShareBucket;
pub use ledger::ShareLedger;
pub use message::{RateDemand, RateShare};

/// Time for which a lease holds; two lost heartbeats do not interrupt it.
pub const SHARE_LEASE: Duration = Duration::from_secs(3);

/// Time for which a deposit holds; it covers one retry after the usual delay of a second.
pub const DEPOSIT_LIFE: Duration = Duration::from_secs(1);

/// Time for which a deposit holds when less than half of the burst is banked. The bank does not
/// fill for tokens that may still be held, so a short life serves more requests; the node must hold
/// a request until the deposit has arrived.
pub const SCARCE_DEPOSIT_LIFE: Duration = Duration::from_millis(300);

/// One token, counted in parts so that `rate_per_s * nanoseconds` is exact.
const TOKEN: u64 = 1_000_000_000;

/// Returns the token parts that accrue at a rate within a span.
fn accrued(rate_per_s: u32, span: Duration) -> u64 {
    let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    u64::from(rate_per_s).saturating_mul(nanos)
}

/// Returns the capacity of a leased bucket, 0 if the rate is too small for one token.
///
/// Half of the burst stays in the bank, for nodes that have no lease yet.
fn lease_capacity(lease_per_s: u32, rate_per_s: u32, burst: u32) -> u32 {
    let whole = u64::from(burst) * u64::from(lease_per_s) / u64::from(rate_per_s.max(1));
    let whole = u32::try_from(whole).unwrap_or(u32::MAX);
    whole.div_ceil(2)
}
