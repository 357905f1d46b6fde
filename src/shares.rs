//! Distribution of a caller's rate limit over the nodes of the mesh.
//!
//! The limit of a caller is one token bucket of `rate_per_s` and `burst` for the whole mesh. The
//! leader splits it into two kinds of shares:
//!
//! - A lease lets one node refill a local bucket at a part of the rate. The bucket starts empty.
//!   The sum of unexpired leases never exceeds the rate.
//! - A token batch (a share with rate 0) grants `burst` tokens once. The tokens come from a reserve
//!   that the leader refills at the part of the rate that is not leased. Batches serve callers whose
//!   requests arrive too rarely at one node for a lease, for example 1 per second over 580 nodes.
//!
//! The sum of the reserve, the unexpired batches and the capacities of leased buckets never exceeds `burst`.
//! Admissions in any window are therefore bounded by `rate * window + burst`.

mod bucket;
mod ledger;
mod message;

use std::time::Duration;

pub use bucket::ShareBucket;
pub use ledger::ShareLedger;
pub use message::{RateDemand, RateShare};

/// Lifetime of a lease. A lease outlasts two lost heartbeats.
pub const SHARE_LEASE: Duration = Duration::from_secs(3);

/// Lifetime of a token batch, long enough for one retry after the usual delay of a second.
pub const BATCH_LIFETIME: Duration = Duration::from_secs(1);

/// Lifetime of a token batch when the reserve holds less than half of the burst. The reserve does not
/// refill for tokens that a node may still hold, so a shorter lifetime serves more requests. It
/// requires that the node holds a request back until the batch has arrived.
pub const SHORT_BATCH_LIFETIME: Duration = Duration::from_millis(300);

/// Token counts are kept in billionths of a token, so that `rate_per_s * nanoseconds` is exact.
const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Returns the billionths of a token that accrue at a rate within a time span.
fn accrued_nanotokens(rate_per_s: u32, span: Duration) -> u64 {
    let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    u64::from(rate_per_s).saturating_mul(nanos)
}

/// Returns the capacity of a leased bucket in tokens, or 0 if the rate is too small for one token.
///
/// Half of the burst stays in the reserve for nodes that have no lease yet.
fn lease_capacity(lease_per_s: u32, rate_per_s: u32, burst: u32) -> u32 {
    let proportional = u64::from(burst) * u64::from(lease_per_s) / u64::from(rate_per_s.max(1));
    let proportional = u32::try_from(proportional).unwrap_or(u32::MAX);
    proportional.div_ceil(2)
}
