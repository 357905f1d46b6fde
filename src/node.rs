//! A node: shared state, background tasks and lifecycle.

mod answer_cache;
mod heartbeat;
mod held_plans;
mod lifecycle;
mod probe;
mod run;
mod state;
mod target;

pub(crate) use answer_cache::{AnswerScope, CachedAnswer};
pub(crate) use held_plans::HeldPlans;
pub(crate) use lifecycle::{LifecycleEvent, NodePhase};
pub use run::run_node;
pub use state::NodeState;
pub(crate) use state::{RetryState, lock};
pub(crate) use target::{Announcement, QueueResult};
