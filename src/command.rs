//! The operator command.
