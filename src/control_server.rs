//! Control replica: gRPC services in front of a thread that owns the replicated log and its state machine.

mod answers;
mod leader;
mod links;
mod manual;
mod peers;
mod program;
mod relay;
mod replica;
mod replication;
mod replies;
mod requests;
mod route_port;
mod server;

pub use manual::{ManualReplica, ReplicaServices};
pub use program::run_program;
pub use route_port::RouteHandle;
pub use server::{PeerListHandle, RunningReplica, start_replica};
