//! Leases of announced targets and changes of the directory.

mod convert;
mod lease_table;

pub use lease_table::{LeaseTable, TARGET_LEASE};
