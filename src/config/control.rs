//! Settings of a control replica.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::error::Result;
use crate::toml_reader::{SourceText, TableReader};

use super::{
    DEFAULT_STOP_TIMEOUT_S, MAX_STOP_TIMEOUT_S, MeshToken, parse_settings, read_settings_file,
};

const MAX_REPLICA_ID: u64 = 1_000_000;
const MAX_PEERS: usize = 7;
const DEFAULT_CLAIM_RETENTION_S: u64 = 900;
const MIN_CLAIM_RETENTION_S: u64 = 10;
const MAX_CLAIM_RETENTION_S: u64 = 86_400;
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 4_096;
const MAX_SNAPSHOT_ENTRIES: u64 = 1_000_000;
const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 75;
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 20;
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const DEFAULT_MAX_VOTERS: u64 = 5;
const MAX_MAX_VOTERS: u64 = 31;
const MAX_SILENT_VOTER_TIMEOUT_S: u64 = 86_400;
const DEFAULT_MIN_VOTERS: u64 = 3;

/// Id and address of another control replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerEntry {
    /// Id of the replica.
    pub replica_id: u64,
    /// Address of its control listener.
    pub address: SocketAddr,
}

/// Validated settings of `ebonyjunction-control`.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Id of this replica, unique in the mesh.
    pub replica_id: u64,
    /// Listener for nodes, other replicas and operators.
    pub control_address: SocketAddr,
    /// Address at which other processes reach the control listener.
    pub advertise_address: SocketAddr,
    /// Folder of the replicated log and its snapshots.
    pub data_folder: PathBuf,
    /// Secret shared by the processes of the mesh.
    pub mesh_token: MeshToken,
    /// Whether a replica with an empty data folder may create the initial membership instead of joining one.
    pub bootstrap: bool,
    /// The other control replicas.
    pub peers: Vec<PeerEntry>,
    /// How long a claim of an idempotency key is kept.
    pub claim_retention: Duration,
    /// Number of log entries between two snapshots.
    pub snapshot_entries: u64,
    /// Interval of a leader's heartbeats. The election timeout is four to eight times as long.
    pub heartbeat_interval: Duration,
    /// Maximum number of voters.
    pub max_voters: usize,
    /// Time without contact after which a voter is removed, as long as there are more than `min_voters`.
    pub silent_voter_timeout: Option<Duration>,
    /// Minimum number of voters that the removal of silent voters leaves.
    pub min_voters: usize,
    /// Whether the replica reopens its storage after a disk error instead of exiting.
    pub reopen_after_disk_error: bool,
    /// Maximum duration of a graceful stop.
    pub stop_timeout: Duration,
    /// UDP address of the statsd server that receives metrics.
    pub metrics_address: Option<SocketAddr>,
}

impl ControlConfig {
    /// Reads, parses and validates a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = read_settings_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a settings file. Findings name `file` and the line.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        parse_settings(SourceText { file, text }, read_control)
    }
}

fn read_control(reader: &mut TableReader<'_, '_>) -> Option<ControlConfig> {
    let replica_id = reader.required_integer("replica_id", 1..=MAX_REPLICA_ID);
    let control_address = reader.required_address("control_address");
    let advertise_address = reader.address("advertise_address").or(control_address);
    let data_folder = reader.required_text("data_folder").map(PathBuf::from);
    let mesh_token = reader.required("mesh_token");
    let bootstrap = reader.boolean("bootstrap", false);
    let peers = read_peers(reader, replica_id);
    let claim_retention_s = reader.integer(
        "claim_retention_s",
        MIN_CLAIM_RETENTION_S..=MAX_CLAIM_RETENTION_S,
        DEFAULT_CLAIM_RETENTION_S,
    );
    let snapshot_entries = reader.integer(
        "snapshot_entries",
        1..=MAX_SNAPSHOT_ENTRIES,
        DEFAULT_SNAPSHOT_ENTRIES,
    );
    let heartbeat_interval_ms = reader.integer(
        "heartbeat_interval_ms",
        MIN_HEARTBEAT_INTERVAL_MS..=MAX_HEARTBEAT_INTERVAL_MS,
        DEFAULT_HEARTBEAT_INTERVAL_MS,
    );
    let max_voters = reader.integer("max_voters", 1..=MAX_MAX_VOTERS, DEFAULT_MAX_VOTERS);
    let min_voters = reader.integer("min_voters", 1..=MAX_MAX_VOTERS, DEFAULT_MIN_VOTERS);
    let silent_voter_timeout_s =
        reader.integer("silent_voter_timeout_s", 0..=MAX_SILENT_VOTER_TIMEOUT_S, 0);
    let reopen_after_disk_error = reader.boolean("reopen_after_disk_error", false);
    let stop_timeout_s = reader.integer(
        "stop_timeout_s",
        1..=MAX_STOP_TIMEOUT_S,
        DEFAULT_STOP_TIMEOUT_S,
    );
    let metrics_address = reader.address("metrics_address");
    Some(ControlConfig {
        replica_id: replica_id?,
        control_address: control_address?,
        advertise_address: advertise_address?,
        data_folder: data_folder?,
        mesh_token: mesh_token?,
        bootstrap,
        peers,
        claim_retention: Duration::from_secs(claim_retention_s),
        snapshot_entries,
        heartbeat_interval: Duration::from_millis(heartbeat_interval_ms),
        max_voters: max_voters as usize,
        silent_voter_timeout: (silent_voter_timeout_s > 0)
            .then(|| Duration::from_secs(silent_voter_timeout_s)),
        min_voters: min_voters as usize,
        reopen_after_disk_error,
        stop_timeout: Duration::from_secs(stop_timeout_s),
        metrics_address,
    })
}

fn read_peers(reader: &mut TableReader<'_, '_>, own_id: Option<u64>) -> Vec<PeerEntry> {
    let mut peers: Vec<PeerEntry> = Vec::new();
    reader.each_table("peer", |row| {
        let replica_id = row.required_integer("replica_id", 1..=MAX_REPLICA_ID);
        let address = row.required_address("address");
        let (Some(replica_id), Some(address)) = (replica_id, address) else {
            return;
        };
        let is_known = peers.iter().any(|peer| peer.replica_id == replica_id);
        if is_known || own_id == Some(replica_id) {
            row.report("replica_id", "must differ from every other replica");
        }
        peers.push(PeerEntry {
            replica_id,
            address,
        });
    });
    if peers.len() > MAX_PEERS {
        reader.report("peer", format!("at most {MAX_PEERS} peers are supported"));
    }
    peers
}
