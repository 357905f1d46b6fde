//! Validated settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;

use crate::config::MeshToken;
use crate::types::{RegionName, ServiceName, ZoneName};

/// Names of the headers that clients and targets use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one client attempt, which the target repeats in its answer.
    pub request_id: HeaderName,
    /// Time in milliseconds that the sender waits for an answer.
    pub deadline_ms: HeaderName,
    /// Service on whose VM the request originated.
    pub caller: HeaderName,
    /// Identity of the target that is meant to run the request.
    pub expected_target: HeaderName,
    /// Present if the target has not run the request.
    pub not_run: HeaderName,
    /// Identity of the target in its answer to a health check.
    pub target_id: HeaderName,
    /// Requests per second that the target accepts from all nodes together, while it names this.
    pub request_limit: HeaderName,
    /// Present in the answers of a target that is leaving.
    pub target_leaving: HeaderName,
    /// Present if the target confirms its answer; a successful answer without it is not accepted.
    pub seal: HeaderName,
}

/// Validated settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Listener addresses for clients and for calls of the local target.
    pub client_addresses: Vec<SocketAddr>,
    /// Listener address for other nodes.
    pub peer_address: SocketAddr,
    /// Address at which other nodes reach that listener.
    pub advertise_address: SocketAddr,
    /// Listener address of the metrics page.
    pub metrics_address: Option<SocketAddr>,
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the local target.
    pub target_address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Initial addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Secret shared by the processes of the mesh.
    pub mesh_token: MeshToken,
    /// Names of the headers that clients and targets use.
    pub names: HeaderNames,
    /// Whether the whole mesh starts for the first time, so that no target can have left earlier.
    pub is_first_start: bool,
    /// Interval between reports of the target.
    pub report_interval: Duration,
    /// Maximum ratio of retries to requests of a service, over all nodes.
    pub retry_ratio: f64,
    /// Additional retries allowed in each window, over all nodes.
    pub retry_slack: u32,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// Memory limit of the process in bytes; the process is killed if it exceeds the limit.
    pub memory_bytes: usize,
    /// Time limit of a graceful stop.
    pub stop_timeout: Duration,
}
