//! Overload control for service call graphs.
//!
//! The design is described in `docs/design.md`.

pub mod admission;
mod answer_bounds;
pub mod call;
mod clock;
pub mod command;
pub mod config;
pub mod consensus;
pub mod control_client;
pub mod control_server;
pub mod control_state;
pub mod decisions;
pub mod directory;
pub mod environment;
pub mod error;
pub mod gateway;
pub mod generated;
mod hop_headers;
mod losses;
pub mod node;
pub mod plans;
pub mod proxy;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod shares;
pub mod signals;
pub mod storage;
pub mod suspects;
pub mod telemetry;
mod toml_reader;
pub mod types;
