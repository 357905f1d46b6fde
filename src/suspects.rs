//! Requests under which targets have ended, so that a request that ends every target which reads it is not sent again.

mod digest;
mod ledger;
mod list;
mod message;
mod snapshot;
mod state;

pub use digest::RequestDigest;
pub use ledger::{EndedRequest, SuspectLedger, TargetEnd};
pub use list::SuspectList;
pub use snapshot::{ListPosition, SuspectRow, SuspectSnapshot};
