//! Directory of announced targets: their leases, updates for the nodes, and digests.

mod convert;
mod departures;
mod digest;
mod lease_table;

pub(crate) use convert::MAX_SLOTS;
pub use departures::DepartureTable;
pub use digest::DirectoryDigests;
pub use lease_table::{LeaseTable, TARGET_LEASE};
