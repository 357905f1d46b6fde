//! Control replica: gRPC services over the thread that owns the replicated log and its state.

mod answers;
mod clock;
mod leader;
mod links;
mod peers;
mod program;
mod relay;
mod replica;
mod replication;
mod replies;
mod requests;
mod server;

pub use program::run_program;
