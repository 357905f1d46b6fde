//! Validated forms of the share messages and their conversion.

use std::time::Duration;

use crate::error::{MeshError, Result};
use crate::generated;
use crate::types::CallerName;

use super::SHARE_LEASE;

/// Demand of one caller at one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateDemand {
    /// Caller that sent the requests.
    pub caller: CallerName,
    /// Requests per second offered since the last heartbeat.
    pub offered_per_s: u32,
    /// Rate of the lease that the node still holds, or 0 if it holds none.
    pub held_per_s: u32,
    /// Time until the lease expires.
    pub held_for: Duration,
}

/// Part of a caller's limit that one node may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateShare {
    /// Caller whose limit is shared.
    pub caller: CallerName,
    /// Rate of the lease; 0 makes the share a batch of `burst` tokens.
    pub rate_per_s: u32,
    /// Capacity of the leased bucket, or tokens of the batch; 0 for a lease that a new leader
    /// confirms and that keeps its capacity.
    pub burst: u32,
    /// Lifetime of the share, counted from when the heartbeat was sent.
    pub valid_for: Duration,
}

impl TryFrom<&generated::RateDemand> for RateDemand {
    type Error = MeshError;

    fn try_from(raw: &generated::RateDemand) -> Result<Self> {
        Ok(Self {
            caller: raw.caller.as_str().try_into()?,
            offered_per_s: raw.offered_per_s,
            held_per_s: raw.held_per_s,
            held_for: Duration::from_millis(raw.held_for_ms.into()),
        })
    }
}

impl From<&RateDemand> for generated::RateDemand {
    fn from(demand: &RateDemand) -> Self {
        Self {
            caller: demand.caller.to_string(),
            offered_per_s: demand.offered_per_s,
            held_per_s: demand.held_per_s,
            held_for_ms: whole_millis(demand.held_for),
        }
    }
}

impl TryFrom<&generated::RateShare> for RateShare {
    type Error = MeshError;

    fn try_from(raw: &generated::RateShare) -> Result<Self> {
        let valid_for = Duration::from_millis(raw.valid_ms.into());
        if valid_for > SHARE_LEASE {
            let detail = format!("{} ms exceeds the lifetime of a lease", raw.valid_ms);
            return Err(MeshError::invalid("valid_ms", detail));
        }
        Ok(Self {
            caller: raw.caller.as_str().try_into()?,
            rate_per_s: raw.rate_per_s,
            burst: raw.burst,
            valid_for,
        })
    }
}

impl From<&RateShare> for generated::RateShare {
    fn from(share: &RateShare) -> Self {
        Self {
            caller: share.caller.to_string(),
            rate_per_s: share.rate_per_s,
            burst: share.burst,
            valid_ms: whole_millis(share.valid_for),
        }
    }
}

// Rounds down, so that the conversion never extends the lifetime of a share.
fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
