//! Replicated log of the control replicas: elections, replication, snapshots and membership.
//!
//! [`ReplicaCore`] implements the protocol without sockets, clocks or threads. The caller passes in
//! messages and the current time, carries out the returned actions, and calls [`ReplicaCore::flush`]
//! after a batch of steps to sync the log once for all of them.

mod commit;
mod core;
mod election;
mod join;
mod leader;
mod membership_history;
mod message;
mod peer_progress;
mod replication;
mod settings;
mod snapshot_transfer;

pub use self::core::ReplicaCore;
pub use message::{PeerMessage, ReplicaAction, ReplicaEvent, ReplicaRole};
pub use settings::ReplicaSettings;
