//! Replicated log: elections, replication and membership of replicas.
