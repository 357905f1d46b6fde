//! Bounds on attempts and recognition of resends.

mod allowance;
mod budget;
mod cancelled;
mod policy;
mod resend;
mod settings;

pub use allowance::AttemptAllowance;
pub use budget::RetryBudget;
pub use cancelled::CancelTable;
pub use policy::{AttemptReport, RetryDecision, RetryPolicy};
pub use resend::{ResendDecision, ResendTable};
pub use settings::RetrySettings;
