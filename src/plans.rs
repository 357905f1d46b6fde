//! The two lists that operators edit: plans with their callers, and the grants of each plan.

mod book;
mod convert;
mod difference;
mod list_file;

pub use book::{CallerEntry, GrantEntry, PlanBook, PlanEntry};
pub(crate) use difference::encode_hex;
pub use difference::{PlanDifference, diff_books};
pub use list_file::{ListFiles, read_lists};
