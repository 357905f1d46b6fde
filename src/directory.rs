//! Leases of announced targets and changes of the directory.
