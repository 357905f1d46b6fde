//! Bounds on attempts and recognition of resends.

mod allowance;
mod budget;
mod cancelled;
mod hand_over;
mod policy;
mod resend;
mod settings;

pub use allowance::AttemptAllowance;
pub use budget::{RetryBudget, RetryCause};
pub use cancelled::AttemptIdTable;
pub use hand_over::{HandOverDecision, HandOverRecord};
pub use policy::{AttemptReport, RetryDecision, RetryPolicy};
pub use resend::{ResendDecision, ResendTable};
pub use settings::RetrySettings;
