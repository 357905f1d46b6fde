//! Validated value types shared by all modules.

mod context;
mod ids;
mod names;
mod outcome;
mod priority;
mod time;

pub use context::AttemptContext;
pub use ids::{AttemptId, IdempotencyKey, NodeId, RequestId};
pub use names::{CallerName, PathPrefix, PlanName, RegionName, ServiceName, ZoneName};
pub use outcome::{AttemptOutcome, RefusalReason};
pub use priority::{ChainRank, PriorityClass, RequestPriority};
pub use time::TickTime;
