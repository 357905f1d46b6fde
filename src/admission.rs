//! Admission of work at the target's own node.
//!
//! [`AdmissionControl`] decides which work runs, waits or is refused. It does not read a clock; callers pass the current
//! time.

mod call_pace;
mod chain_limit;
mod cohort;
mod control;
mod level;
mod limit;
mod priority_histogram;
mod queue;
mod request_limit;
mod running;
mod service_time;
mod settings;
mod slot_queue;
mod work;

pub use call_pace::CallPace;
pub use chain_limit::{ChainLimit, ChainPosition, ReportedLimit};
pub use control::AdmissionControl;
pub use request_limit::RequestRate;
pub use settings::AdmissionSettings;
pub use slot_queue::{SlotAction, SlotDecision, SlotQueue, SlotRequest, WaitKey};
pub use work::{OfferDecision, WorkAction, WorkKey, WorkRequest, WorkResult};
