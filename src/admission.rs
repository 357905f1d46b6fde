//! Admission of work at the target's own node.
