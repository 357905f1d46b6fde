//! A node: shared state, background tasks and lifecycle.

mod heartbeat;
mod kept_answers;
mod lifecycle;
mod plan_view;
mod probe;
mod run;
mod state;
mod target;

pub(crate) use kept_answers::{AnswerScope, CachedAnswer};
pub(crate) use lifecycle::{LifecycleEvent, NodePhase};
pub(crate) use plan_view::HeldPlans;
pub use run::run_node;
pub use state::NodeState;
pub(crate) use state::{RetryState, lock};
pub(crate) use target::{Announcement, QueueResult};
