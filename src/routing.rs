//! Choice of a target for each attempt.

mod choice;
mod downstream;
mod estimate;
mod health;
mod levels;
mod record;
mod settings;
mod table;
mod typical;

use slotmap::new_key_type;

pub use choice::{RouteChoice, RouteDecision, RouteRequest};
pub use health::{LoadReport, SendResult};
pub use record::{DirectoryUpdate, TargetRecord, TargetState};
pub use settings::{EjectionBound, RoutingSettings};
pub use table::TargetTable;

new_key_type! {
    /// Key of one target in a `TargetTable`.
    pub struct TargetKey;
}
