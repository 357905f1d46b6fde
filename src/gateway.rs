//! Request routing: entry for local clients, hops between nodes, and hand-over to the local target.
//!
//! The node on the target's VM makes the final decision on slots, draining and identity. A refusal by that node proves
//! that the request has not run, so the entry may try another target without spending a retry.

mod announced_target;
mod answer;
mod body;
mod body_buffer;
mod call_paces;
mod chain_limits;
mod config;
mod connection;
mod departures;
mod entry;
mod exchange;
mod framing;
mod gate;
mod gate_state;
mod hop;
mod http_api;
mod limit_usage;
mod memory;
mod metrics;
mod parents;
mod pause;
mod peer_client;
mod peer_server;
mod run;
mod state;
mod suspect_watch;
mod sync;
mod target_client;
mod target_notice;
mod target_terms;

pub use announced_target::{AnnouncedTarget, ReportEffect, TargetReport, check_target_id};
pub use answer::{Answer, AttemptResult};
pub use config::{GatewayConfig, HeaderNames};
pub use framing::{FramedRequest, FramingError, RequestFramer};
pub use http_api::{ApiHandler, ApiRequest, ApiResponse, serve_api};
pub use memory::{MemoryPool, MemoryShare};
pub use metrics::{MetricsPage, serve_metrics};
pub use pause::PauseDetector;
pub use run::{FollowingGateway, RunningGateway, start_gateway};
pub use state::GatewayState;
