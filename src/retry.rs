//! Bounds on attempts and recognition of resends.
