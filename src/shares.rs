//! Leased shares of a caller's rate.
