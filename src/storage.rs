//! Files of the replicated log.
