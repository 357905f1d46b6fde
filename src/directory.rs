//! Leases of announced targets and changes of the directory.

mod convert;
mod digest;
mod lease_table;

pub use digest::DirectoryDigests;
pub use lease_table::{LeaseTable, TARGET_LEASE};
