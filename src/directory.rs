//! Directory of announced targets: their leases, updates for the nodes, and digests.

mod convert;
mod digest;
mod lease_table;

pub use digest::DirectoryDigests;
pub use lease_table::{LeaseTable, TARGET_LEASE};
