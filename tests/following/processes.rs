//! Simulated processes: replicas with their disks, and nodes that follow them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cadence::{NopMetricSink, StatsdClient};
use ebonyjunction::config::{ControlConfig, MeshToken, PeerEntry};
use ebonyjunction::control_server::{ManualReplica, ReplicaServices, RouteHandle};
use ebonyjunction::environment::ProcessEnvironment;
use ebonyjunction::gateway::{FollowingGateway, GatewayConfig, HeaderNames, TargetReport};
use ebonyjunction::routing::TargetState;
use http::HeaderName;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::disk::SimulatedDisk;
use super::network::{NetworkOpener, StreamNetwork};

/// Pause between two turns of a sound replica.
const TURN_PAUSE: Duration = Duration::from_millis(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const PORT: u16 = 7_620;

/// Address of a machine.
pub fn machine(group: u8, number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, group, number], PORT))
}

fn replica_id(address: SocketAddr) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => u32::from(ip).into(),
        std::net::IpAddr::V6(_) => unreachable!("machines have IPv4 addresses"),
    }
}

fn token() -> MeshToken {
    MeshToken::try_from("0123456789abcdef").unwrap()
}

/// What a running replica shares with its owner.
#[derive(Debug, Default)]
struct ReplicaStatus {
    is_frozen: AtomicBool,
    is_leader: AtomicBool,
    /// Pause between two turns in milliseconds, beyond the usual one.
    slowness_ms: AtomicU64,
}

/// Machine of a replica; its process may be down.
#[derive(Debug)]
pub struct ReplicaMachine {
    pub address: SocketAddr,
    pub disk: SimulatedDisk,
    seeds: Vec<SocketAddr>,
    network: StreamNetwork,
    status: Arc<ReplicaStatus>,
    process: Option<(JoinSet<()>, ReplicaServices)>,
}

impl ReplicaMachine {
    pub fn new(address: SocketAddr, network: &StreamNetwork, disk_id: [u8; 16]) -> Self {
        Self {
            address,
            disk: SimulatedDisk::new(disk_id),
            seeds: Vec::new(),
            network: network.clone(),
            status: Arc::default(),
            process: None,
        }
    }

    /// Starts the process with the seeds that its settings list now.
    pub fn start(&mut self, seeds: Vec<SocketAddr>, seed: u64, is_first_start: bool) {
        self.seeds = seeds;
        let config = ControlConfig {
            replica_id: replica_id(self.address),
            control_address: self.address,
            advertise_address: self.address,
            data_folder: "unused".into(),
            mesh_token: token(),
            bootstrap: is_first_start && self.seeds.contains(&self.address),
            peers: self.peers(),
            claim_retention: Duration::from_mins(1),
            snapshot_entries: 20,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            max_voters: 15,
            silent_voter_timeout: Some(Duration::from_secs(12)),
            min_voters: 3,
            reopen_after_disk_error: false,
            stop_timeout: Duration::from_secs(6),
            metrics_address: None,
        };
        let opener = NetworkOpener {
            network: self.network.clone(),
            own: self.address,
        };
        let environment = ProcessEnvironment::with_runtime_clock(Arc::new(opener), seed);
        let metrics = StatsdClient::from_sink("test", NopMetricSink);
        let store = Box::new(self.disk.clone());
        let (mut replica, services) =
            ManualReplica::new(&config, store, metrics, environment).unwrap();
        let status = Arc::<ReplicaStatus>::default();
        self.status = Arc::clone(&status);
        let incoming = UnboundedReceiverStream::new(self.network.listen(self.address));
        let mut tasks = JoinSet::new();
        tasks.spawn(services.clone().serve(incoming));
        let address = self.address;
        tasks.spawn(async move {
            loop {
                let slowness = status.slowness_ms.load(Ordering::Relaxed);
                sleep(TURN_PAUSE + Duration::from_millis(slowness)).await;
                if status.is_frozen.load(Ordering::Relaxed) {
                    continue;
                }
                if let Err(error) = replica.turn() {
                    panic!("replica {address}: {error}");
                }
                status
                    .is_leader
                    .store(replica.is_leader(), Ordering::Relaxed);
            }
        });
        self.process = Some((tasks, services));
    }

    fn peers(&self) -> Vec<PeerEntry> {
        let others = self.seeds.iter().filter(|seed| **seed != self.address);
        let entries = others.map(|seed| PeerEntry {
            replica_id: replica_id(*seed),
            address: *seed,
        });
        entries.collect()
    }

    /// Ends the process. Appends that were not synced are lost if the machine loses power.
    pub fn end(&mut self, has_power: bool) {
        self.process = None;
        self.status.is_leader.store(false, Ordering::Relaxed);
        self.network.end_process(self.address);
        if !has_power {
            self.disk.crash(0);
        }
    }

    pub fn set_frozen(&self, is_frozen: bool) {
        self.status.is_frozen.store(is_frozen, Ordering::Relaxed);
        self.network.set_frozen(self.address, is_frozen);
    }

    pub fn set_slowness(&self, millis: u64) {
        self.status.slowness_ms.store(millis, Ordering::Relaxed);
    }

    pub fn is_leader(&self) -> bool {
        self.status.is_leader.load(Ordering::Relaxed)
    }

    /// Returns a handle for operators, if the process runs.
    pub fn routes(&self) -> Option<RouteHandle> {
        let is_frozen = self.status.is_frozen.load(Ordering::Relaxed);
        let (_, services) = self.process.as_ref().filter(|_| !is_frozen)?;
        Some(services.routes())
    }
}

/// Machine of a node, with its endpoint.
#[derive(Debug)]
pub struct NodeMachine {
    pub address: SocketAddr,
    pub gateway: FollowingGateway,
    network: StreamNetwork,
    reports: u64,
    incarnations: u64,
}

impl NodeMachine {
    pub fn start(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        network: &StreamNetwork,
        seed: u64,
    ) -> Self {
        let opener = NetworkOpener {
            network: network.clone(),
            own: address,
        };
        let environment = ProcessEnvironment::with_runtime_clock(Arc::new(opener), seed);
        Self {
            address,
            gateway: FollowingGateway::start(gateway_config(address, seeds), &environment),
            network: network.clone(),
            reports: 0,
            incarnations: 1,
        }
    }

    /// Starts the process again.
    pub fn restart(&mut self, seeds: Vec<SocketAddr>, seed: u64) {
        self.network.end_process(self.address);
        *self = Self::start(self.address, seeds, &self.network.clone(), seed);
    }

    /// Lets the endpoint report itself, as a new incarnation if it has started again.
    pub fn report(&mut self, state: TargetState, is_new: bool) {
        self.incarnations += u64::from(is_new);
        self.reports += 1;
        let report = TargetReport {
            id: format!("i-{}", self.incarnations),
            born_ms: self.incarnations,
            sequence: self.reports,
            service: "orders".try_into().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 2,
            state,
        };
        let gateway = self.gateway.state();
        gateway.apply_report(report).unwrap();
        gateway.announce_soon();
    }
}

fn gateway_config(address: SocketAddr, control: Vec<SocketAddr>) -> GatewayConfig {
    let name = HeaderName::from_static;
    GatewayConfig {
        client_addresses: Vec::new(),
        peer_address: address,
        advertise_address: address,
        metrics_address: None,
        service: "orders".try_into().unwrap(),
        target_address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".try_into().unwrap(),
        region: "r".try_into().unwrap(),
        control,
        mesh_token: token(),
        names: HeaderNames {
            request_id: name("request-id"),
            deadline_ms: name("deadline-ms"),
            caller: name("caller"),
            expected_target: name("expected-target"),
            not_run: name("not-run"),
            target_id: name("target-id"),
            request_limit: name("request-limit"),
            target_leaving: name("target-leaving"),
            seal: name("seal"),
        },
        is_first_start: true,
        report_interval: Duration::from_millis(1_500),
        retry_ratio: 0.2,
        retry_slack: 10,
        retry_window: Duration::from_secs(10),
        memory_bytes: 64 << 20,
        stop_timeout: Duration::from_secs(6),
    }
}
