//! State built from committed commands.
