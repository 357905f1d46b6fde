//! Choice of a target for each attempt.
