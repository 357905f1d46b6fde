//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::error::{MeshError, Result};
use crate::toml_reader::{SourceText, TableReader};
use crate::types::{RegionName, ZoneName};

use super::{
    DEFAULT_STOP_TIMEOUT_S, MAX_STOP_TIMEOUT_S, MeshToken, parse_settings, read_settings_file,
};

const DEFAULT_PLAN_LEASE_S: u64 = 10;
const MAX_PLAN_LEASE_S: u64 = 3_600;
const DEFAULT_REPLAY_LIMIT_BYTES: u64 = 64 * 1024;
const MAX_REPLAY_LIMIT_BYTES: u64 = 1024 * 1024;
const DEFAULT_WHOLE_ANSWER_BYTES: u64 = 1024 * 1024;
const MAX_WHOLE_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024 * 1024;
const DEFAULT_QUEUE_LIMIT: u64 = 256;
const MAX_QUEUE_LIMIT: u64 = 65_536;

/// How a node handles new requests after its plans have not been confirmed for the length of the plan lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StalePlans {
    /// Refuse them, so that no decision contradicts an accepted change.
    Refuse,
    /// Serve them under the last known plans.
    Serve,
}

impl TryFrom<&str> for StalePlans {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        match raw {
            "refuse" => Ok(Self::Refuse),
            "serve" => Ok(Self::Serve),
            _ => Err(MeshError::invalid("stale_plans", "must be refuse or serve")),
        }
    }
}

/// Validated settings of `ebonyjunction-node`.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Listener for callers outside the mesh.
    pub entry_address: SocketAddr,
    /// Listener for other nodes.
    pub mesh_address: SocketAddr,
    /// Address at which other nodes reach the mesh listener.
    pub advertise_address: Option<SocketAddr>,
    /// Loopback listener for the target on the same VM.
    pub local_address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region that contains the zone.
    pub region: RegionName,
    /// Secret shared by the processes of the mesh.
    pub mesh_token: MeshToken,
    /// Addresses of control replicas.
    pub control: Vec<SocketAddr>,
    /// Handling of new requests when plans cannot be confirmed.
    pub stale_plans: StalePlans,
    /// How long plans remain valid without confirmation.
    pub plan_lease: Duration,
    /// Largest request body that is buffered for a retry.
    pub replay_limit_bytes: usize,
    /// Largest response that is buffered completely before it is forwarded.
    pub whole_answer_bytes: usize,
    /// Largest request body that is accepted.
    pub max_body_bytes: u64,
    /// Maximum number of requests that wait for a slot.
    pub queue_limit: usize,
    /// Maximum duration of a graceful stop.
    pub stop_timeout: Duration,
    /// UDP address of the statsd server that receives metrics.
    pub metrics_address: Option<SocketAddr>,
}

impl NodeConfig {
    /// Reads, parses and validates a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = read_settings_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a settings file. Findings name `file` and the line.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        parse_settings(SourceText { file, text }, read_node)
    }
}

fn read_node(reader: &mut TableReader<'_, '_>) -> Option<NodeConfig> {
    let entry_address = reader.required_address("entry_address");
    let mesh_address = reader.required_address("mesh_address");
    let advertise_address = reader.address("advertise_address");
    let local_address = reader.required_address("local_address");
    if local_address.is_some_and(|address| !address.ip().is_loopback()) {
        reader.report("local_address", "must be a loopback address");
    }
    let zone = reader.required("zone");
    let region = reader.required("region");
    let mesh_token = reader.required("mesh_token");
    let control = reader.required_addresses("control");
    let stale_plans = reader.optional("stale_plans").unwrap_or(StalePlans::Refuse);
    let plan_lease_s = reader.integer("plan_lease_s", 1..=MAX_PLAN_LEASE_S, DEFAULT_PLAN_LEASE_S);
    let replay_limit_bytes = reader.integer(
        "replay_limit_bytes",
        0..=MAX_REPLAY_LIMIT_BYTES,
        DEFAULT_REPLAY_LIMIT_BYTES,
    );
    let whole_answer_bytes = reader.integer(
        "whole_answer_bytes",
        0..=MAX_WHOLE_ANSWER_BYTES,
        DEFAULT_WHOLE_ANSWER_BYTES,
    );
    let max_body_bytes =
        reader.integer("max_body_bytes", 1..=MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
    let queue_limit = reader.integer("queue_limit", 1..=MAX_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT);
    let stop_timeout_s = reader.integer(
        "stop_timeout_s",
        1..=MAX_STOP_TIMEOUT_S,
        DEFAULT_STOP_TIMEOUT_S,
    );
    let metrics_address = reader.address("metrics_address");
    Some(NodeConfig {
        entry_address: entry_address?,
        mesh_address: mesh_address?,
        advertise_address,
        local_address: local_address?,
        zone: zone?,
        region: region?,
        mesh_token: mesh_token?,
        control,
        stale_plans,
        plan_lease: Duration::from_secs(plan_lease_s),
        replay_limit_bytes: replay_limit_bytes as usize,
        whole_answer_bytes: whole_answer_bytes as usize,
        max_body_bytes,
        queue_limit: queue_limit as usize,
        stop_timeout: Duration::from_secs(stop_timeout_s),
        metrics_address,
    })
}
