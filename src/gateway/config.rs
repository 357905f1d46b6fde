//! Checked settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;

use crate::config::MeshToken;
use crate::types::{RegionName, ServiceName, ZoneName};

/// Names of the headers that clients and targets use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of one client attempt, which the target repeats in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Service on whose VM the request began.
    pub caller: HeaderName,
    /// Identity of the target that is meant to run the request.
    pub expected_target: HeaderName,
    /// Present when the target states that it has not run the request.
    pub not_run: HeaderName,
    /// Identity of the target in its answer to a health check.
    pub target_id: HeaderName,
    /// Mark by which a target vouches for its answer.
    pub seal: HeaderName,
}

/// Checked settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Listeners for clients and for the own target's calls.
    pub client_addresses: Vec<SocketAddr>,
    /// Listener for other nodes.
    pub peer_address: SocketAddr,
    /// Address under which other nodes reach that listener.
    pub advertise_address: SocketAddr,
    /// Listener of the metrics page.
    pub metrics_address: Option<SocketAddr>,
    /// Service of the own target.
    pub service: ServiceName,
    /// Address of the own target.
    pub target_address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Control replicas to begin with.
    pub control: Vec<SocketAddr>,
    /// Secret shared by the processes of the mesh.
    pub mesh_token: MeshToken,
    /// Names of headers.
    pub names: HeaderNames,
    /// Whether the whole mesh starts for the first time, so that no target can have left before.
    pub is_first_start: bool,
    /// Time between two reports of the target.
    pub report_interval: Duration,
    /// Retries for each request of a service that all nodes together may spend.
    pub retry_ratio: f64,
    /// Retries that are allowed in addition in each window, over all nodes.
    pub retry_slack: u32,
    /// Time over which retries are counted.
    pub retry_window: Duration,
    /// Memory of the process, in bytes; it is killed above.
    pub memory_bytes: usize,
    /// Bound on a graceful stop.
    pub stop_timeout: Duration,
}
