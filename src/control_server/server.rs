//! Start and stop of a replica: its listener, gRPC services and replica thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::time::{Duration, Instant};

use cadence::StatsdClient;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::timeout;
use tokio_stream::Stream;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::{Connected, TcpIncoming};
use tonic::{Request, Status};

use crate::config::{ControlConfig, MeshToken, PeerEntry};
use crate::consensus::{ReplicaCore, ReplicaSettings};
use crate::control_client::{MAX_MESSAGE_BYTES, MESH_TOKEN_KEY};
use crate::control_state::ControlState;
use crate::environment::ProcessEnvironment;
use crate::error::{MeshError, Result};
use crate::generated::operator_server::OperatorServer;
use crate::generated::registry_server::RegistryServer;
use crate::generated::replication_server::ReplicationServer;
use crate::generated::{Membership, ReplicaInfo};
use crate::storage::{FileStore, LogStore};

use super::links::ReplicaChannels;
use super::peers::PeerQueues;
use super::relay::{LeaderView, MeshService};
use super::replica::{ReplicaParts, ReplicaThread};
use super::replication::ReplicationService;
use super::requests::{InputSender, ReplicaInput};
use super::route_port::RouteHandle;

const INPUT_QUEUE_CAPACITY: usize = 16_384;
// Heartbeats and claims are far smaller than this. Plans, routes and replication use `MAX_MESSAGE_BYTES`.
const MAX_REGISTRY_BYTES: usize = 1024 * 1024;
const MAX_CONCURRENT_STREAMS: u32 = 1_024;
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
// Fraction of the stop timeout for calls in progress; the rest is for syncing the log and exiting.
const DRAIN_FRACTION: f64 = 0.5;
// Upper bound of the time for calls in progress. Calls end sooner. Only a connection that never sent a request stays
// open longer, and a stopping leader should not remain the leader because of it.
const MAX_DRAIN: Duration = Duration::from_millis(1_500);
// Delay before the replica is built again after a disk failure. A full or stalled disk rarely recovers sooner.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
const TICKS_PER_HEARTBEAT: u32 = 5;
// A follower misses three heartbeats before it starts an election.
const ELECTION_TIMEOUT_MIN_HEARTBEATS: u32 = 4;
const ELECTION_TIMEOUT_MAX_HEARTBEATS: u32 = 8;

/// Handle of a running replica.
#[derive(Debug)]
pub struct RunningReplica {
    service: MeshService,
    inputs: InputSender,
    contacts: watch::Sender<Vec<ReplicaInfo>>,
    server_task: JoinHandle<()>,
    thread_task: JoinHandle<Result<()>>,
    drain: CancellationToken,
    stop_timeout: Duration,
}

/// Binds the listener, opens the data folder and starts a replica that reports its metrics to `metrics`.
pub async fn start_replica(config: ControlConfig, metrics: StatsdClient) -> Result<RunningReplica> {
    let bind_failed = |source| {
        MeshError::io(
            format!("cannot listen on {}", config.control_address),
            source,
        )
    };
    let listener = TcpListener::bind(config.control_address)
        .await
        .map_err(bind_failed)?;
    let bound_address = listener.local_addr().map_err(bind_failed)?;
    let environment = ProcessEnvironment::default();
    let ReplicaWiring {
        builder,
        inputs: receiver,
        service,
        contacts,
    } = ReplicaWiring::new(&config, bound_address, metrics, environment);
    let thread = builder.build(open_store(&config)?)?;
    log::info!(event = "listening", address:% = bound_address, replica_id = config.replica_id; "");
    let drain = CancellationToken::new();
    let stop_timeout = config.stop_timeout;
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server_task = serve(incoming, service.clone(), config.mesh_token, drain.clone());
    Ok(RunningReplica {
        inputs: service.inputs.clone(),
        service,
        contacts,
        server_task: tokio::spawn(server_task),
        thread_task: spawn_blocking(move || run_thread(&builder, thread, &receiver)),
        drain,
        stop_timeout,
    })
}

/// Replaces the configured peers of a running replica.
#[derive(Debug, Clone)]
pub struct PeerListHandle {
    contacts: watch::Sender<Vec<ReplicaInfo>>,
}

impl PeerListHandle {
    /// Replaces the peers that a replica asks to join the membership while it is not a member.
    pub fn configure(&self, peers: &[PeerEntry]) {
        self.contacts.send_replace(peer_infos(peers));
    }
}

impl RunningReplica {
    /// Returns a handle that replaces the configured peers of this replica.
    pub fn contacts(&self) -> PeerListHandle {
        PeerListHandle {
            contacts: self.contacts.clone(),
        }
    }

    /// Returns a handle that reads and changes the routes through this replica.
    pub fn routes(&self) -> RouteHandle {
        RouteHandle::new(self.service.clone())
    }

    /// Serves until `stop` completes, then drains calls and stops the thread. Returns early if the thread fails, for
    /// example because of a disk error.
    pub async fn run_until(mut self, stop: impl Future<Output = ()>) -> Result<()> {
        tokio::select! {
            () = stop => {}
            result = &mut self.thread_task => return join_result(result),
        }
        log::info!(event = "stopping"; "");
        self.drain.cancel();
        let drain_timeout = self.stop_timeout.mul_f64(DRAIN_FRACTION).min(MAX_DRAIN);
        if timeout(drain_timeout, self.server_task).await.is_err() {
            log::warn!(event = "calls-abandoned", bound_ms = drain_timeout.as_millis() as u64; "");
        }
        // The thread may have ended already because the disk failed.
        let _ = self.inputs.send(ReplicaInput::Stop);
        let result = join_result(self.thread_task.await);
        log::info!(event = "stopped"; "");
        result
    }
}

/// Runs the thread. After a disk error, reopens the store if `reopen_after_disk_error` is set. The in-memory state is
/// dropped with the store, because it is not known which writes reached the disk.
fn run_thread(
    builder: &ThreadBuilder,
    mut thread: ReplicaThread,
    inputs: &Receiver<ReplicaInput>,
) -> Result<()> {
    loop {
        let Err(error) = thread.run(inputs) else {
            return Ok(());
        };
        if !builder.config.reopen_after_disk_error {
            return Err(error);
        }
        drop(thread);
        thread = loop {
            log::error!(event = "disk-failed", error:% = error, retry_ms = REOPEN_DELAY.as_millis() as u64; "");
            if discard_inputs(inputs, REOPEN_DELAY) {
                return Ok(());
            }
            match open_store(&builder.config).and_then(|store| builder.build(store)) {
                Ok(thread) => break thread,
                Err(error) => log::error!(event = "reopen-failed", error:% = error; ""),
            }
        };
        log::info!(event = "disk-reopened"; "");
    }
}

/// Drops all inputs during `pause`, so that their callers try another replica. Returns whether the replica must stop.
fn discard_inputs(inputs: &Receiver<ReplicaInput>, pause: Duration) -> bool {
    let until = Instant::now() + pause;
    loop {
        let wait = until.saturating_duration_since(Instant::now());
        match inputs.recv_timeout(wait) {
            Ok(ReplicaInput::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return false,
        }
    }
}

fn join_result(result: std::result::Result<Result<()>, tokio::task::JoinError>) -> Result<()> {
    result.unwrap_or_else(|error| {
        let source = std::io::Error::other(error);
        Err(MeshError::io("the replica thread failed", source))
    })
}

fn open_store(config: &ControlConfig) -> Result<Box<dyn LogStore>> {
    Ok(Box::new(FileStore::open(&config.data_folder)?))
}

/// Parts of a replica that its services and its thread share.
#[derive(Debug)]
pub(super) struct ReplicaWiring {
    pub(super) builder: ThreadBuilder,
    pub(super) inputs: Receiver<ReplicaInput>,
    pub(super) service: MeshService,
    contacts: watch::Sender<Vec<ReplicaInfo>>,
}

impl ReplicaWiring {
    pub(super) fn new(
        config: &ControlConfig,
        bound_address: SocketAddr,
        metrics: StatsdClient,
        environment: ProcessEnvironment,
    ) -> Self {
        let (sender, receiver) = sync_channel(INPUT_QUEUE_CAPACITY);
        let inputs = InputSender::new(sender);
        let (leader_view_sender, leader_view) = watch::channel(LeaderView::default());
        let (contact_sender, contacts) = watch::channel(peer_infos(&config.peers));
        let service = MeshService {
            inputs: inputs.clone(),
            leader_view,
            links: ReplicaChannels::new(&config.mesh_token, &environment),
        };
        let builder = ThreadBuilder {
            config: config.clone(),
            environment,
            bound_address,
            inputs,
            contacts,
            leader_view: leader_view_sender,
            metrics: Arc::new(metrics),
            runtime: Handle::current(),
        };
        Self {
            builder,
            inputs: receiver,
            service,
            contacts: contact_sender,
        }
    }
}

/// Builds the replica thread at the start and again after a disk error.
#[derive(Debug)]
pub(super) struct ThreadBuilder {
    config: ControlConfig,
    environment: ProcessEnvironment,
    bound_address: SocketAddr,
    inputs: InputSender,
    contacts: watch::Receiver<Vec<ReplicaInfo>>,
    leader_view: watch::Sender<LeaderView>,
    metrics: Arc<StatsdClient>,
    runtime: Handle,
}

impl ThreadBuilder {
    pub(super) fn build(&self, store: Box<dyn LogStore>) -> Result<ReplicaThread> {
        let config = &self.config;
        let clock = self.environment.clock;
        let own = own_replica_info(config, self.bound_address);
        let settings = replica_settings(config);
        let election_timeout_min = settings.election_timeout_min;
        let initial = initial_members(config, &own);
        let seed = self.environment.seed;
        let core = ReplicaCore::new(settings, own, store, initial, clock.now(), seed)?;
        let links = ReplicaChannels::new(&config.mesh_token, &self.environment);
        let mut contacts = self.contacts.clone();
        contacts.mark_changed();
        Ok(ReplicaThread::new(ReplicaParts {
            core,
            state: ControlState::new(),
            clock,
            peers: PeerQueues::new(self.runtime.clone(), links, self.inputs.clone()),
            contacts,
            leader_view: self.leader_view.clone(),
            metrics: Arc::clone(&self.metrics),
            claim_retention: config.claim_retention,
            tick_interval: config.heartbeat_interval / TICKS_PER_HEARTBEAT,
            election_timeout_min,
        }))
    }
}

fn replica_settings(config: &ControlConfig) -> ReplicaSettings {
    ReplicaSettings {
        heartbeat_interval: config.heartbeat_interval,
        election_timeout_min: config.heartbeat_interval * ELECTION_TIMEOUT_MIN_HEARTBEATS,
        election_timeout_max: config.heartbeat_interval * ELECTION_TIMEOUT_MAX_HEARTBEATS,
        snapshot_entries: config.snapshot_entries,
        max_voters: config.max_voters,
        silent_voter_timeout: config.silent_voter_timeout,
        min_voters: config.min_voters,
        bootstrap: config.bootstrap,
        ..ReplicaSettings::default()
    }
}

fn own_replica_info(config: &ControlConfig, bound_address: SocketAddr) -> ReplicaInfo {
    let mut address = config.advertise_address;
    if address.port() == 0 {
        address.set_port(bound_address.port());
    }
    ReplicaInfo {
        replica_id: config.replica_id,
        address: address.to_string(),
        // The core reads `disk_id` from the store.
        ..ReplicaInfo::default()
    }
}

fn initial_members(config: &ControlConfig, own: &ReplicaInfo) -> Membership {
    let mut voters = peer_infos(&config.peers);
    voters.push(own.clone());
    Membership {
        voters,
        learners: Vec::new(),
    }
}

fn peer_infos(peers: &[PeerEntry]) -> Vec<ReplicaInfo> {
    let infos = peers.iter().map(|peer| ReplicaInfo {
        replica_id: peer.replica_id,
        address: peer.address.to_string(),
        ..ReplicaInfo::default()
    });
    infos.collect()
}

/// Serves connections until `drain` is cancelled and the calls in progress have ended.
pub(super) async fn serve<S, C, E>(
    incoming: S,
    service: MeshService,
    token: MeshToken,
    drain: CancellationToken,
) where
    S: Stream<Item = std::result::Result<C, E>>,
    C: AsyncRead + AsyncWrite + Connected + Unpin + Send + 'static,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let check = move |request: Request<()>| check_token(&token, request);
    let replication = ReplicationServer::new(ReplicationService {
        inputs: service.inputs.clone(),
    })
    .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let registry =
        RegistryServer::new(service.clone()).max_decoding_message_size(MAX_REGISTRY_BYTES);
    let operator = OperatorServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let layer = tonic::service::InterceptorLayer::new(check);
    let result = Server::builder()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .layer(layer)
        .add_service(replication)
        .add_service(registry)
        .add_service(operator)
        .serve_with_incoming_shutdown(incoming, drain.cancelled_owned())
        .await;
    if let Err(error) = result {
        log::error!(event = "listener-failed", error:% = error; "");
    }
}

fn check_token(
    token: &MeshToken,
    request: Request<()>,
) -> std::result::Result<Request<()>, Status> {
    let sent = request.metadata().get(MESH_TOKEN_KEY);
    let sent = sent.map_or(&b""[..], |value| value.as_bytes());
    if constant_time_eq(sent, token.as_str().as_bytes()) {
        Ok(request)
    } else {
        Err(Status::unauthenticated(
            "the mesh token is missing or wrong",
        ))
    }
}

/// Compares two byte strings; for equal lengths the time does not depend on their contents.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let pairs = left.iter().zip(right);
    let difference = pairs.fold(0, |seen, (left, right)| seen | (left ^ right));
    left.len() == right.len() && difference == 0
}
