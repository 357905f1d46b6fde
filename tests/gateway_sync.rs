//! Routes that a gateway adopts from control replicas that answer late or out of order.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyjunction::config::MeshToken;
use ebonyjunction::gateway::{
    GatewayConfig, GatewayState, HeaderNames, TargetReport, start_gateway,
};
use ebonyjunction::generated::registry_server::{Registry, RegistryServer};
use ebonyjunction::generated::{
    ClaimReply, ClaimRequest, DirectoryDelta, HeartbeatReply, HeartbeatRequest, RouteDelta,
    SettleReply, SettleRequest,
};
use ebonyjunction::routing::TargetState;
use http::HeaderName;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// The platform's bound from an acknowledgement to the time at which machines in touch apply a configuration.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct ReplicaState {
    version: u64,
    /// Delay of each answer.
    round_trip: Duration,
    /// Version from which heartbeats that may be held are answered at once.
    awaited_version: u64,
    /// Version whose holders are answered too late.
    neglected_version: u64,
    /// Number of heartbeats that have arrived and may be held.
    holds: u64,
}

/// Replica that answers heartbeats from a version set by the test. It holds its answer while there is nothing new.
#[derive(Debug, Clone, Default)]
struct ScriptedReplica {
    state: Arc<Mutex<ReplicaState>>,
}

impl ScriptedReplica {
    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server =
            tonic::transport::Server::builder().add_service(RegistryServer::new(self.clone()));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        address
    }

    fn set(&self, change: impl FnOnce(&mut ReplicaState)) {
        change(&mut self.state.lock().unwrap());
    }

    fn read<T>(&self, get: impl FnOnce(&ReplicaState) -> T) -> T {
        get(&self.state.lock().unwrap())
    }
}

#[tonic::async_trait]
impl Registry for ScriptedReplica {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let request = request.into_inner();
        let held = request.route_version;
        let round_trip = self.read(|state| state.round_trip);
        sleep(round_trip / 2).await;
        if request.wait_ms > 0 {
            self.set(|state| state.holds += 1);
        }
        let until = Instant::now() + Duration::from_millis(request.wait_ms.into());
        let is_new = |state: &ReplicaState| state.version != held;
        while Instant::now() < until
            && !self.read(|state| is_new(state) && state.version >= state.awaited_version)
        {
            sleep(Duration::from_millis(5)).await;
        }
        let version = self.read(|state| state.version);
        sleep(round_trip / 2).await;
        if held > 0 && held == self.read(|state| state.neglected_version) {
            sleep(2 * MAX_APPLY_TIME).await;
        }
        let routes = (version != held).then(|| RouteDelta {
            base_version: held,
            version,
            ..RouteDelta::default()
        });
        let directory = (request.directory_term == 0).then(|| DirectoryDelta {
            term: 1,
            revision: 1,
            full: true,
            ..DirectoryDelta::default()
        });
        Ok(Response::new(HeartbeatReply {
            term: 1,
            route_version: version,
            routes,
            directory,
            ..HeartbeatReply::default()
        }))
    }

    async fn claim(&self, _: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        Err(Status::unimplemented("claim"))
    }

    async fn settle(&self, _: Request<SettleRequest>) -> Result<Response<SettleReply>, Status> {
        Err(Status::unimplemented("settle"))
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn gateway_config(control: Vec<SocketAddr>) -> GatewayConfig {
    let name = HeaderName::from_static;
    GatewayConfig {
        client_addresses: vec![any_port()],
        peer_address: any_port(),
        advertise_address: "127.0.0.1:7000".parse().unwrap(),
        metrics_address: None,
        service: "orders".try_into().unwrap(),
        target_address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".try_into().unwrap(),
        region: "r".try_into().unwrap(),
        control,
        mesh_token: MeshToken::try_from("0123456789abcdef").unwrap(),
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
        report_interval: Duration::from_secs(1),
        retry_ratio: 0.2,
        retry_slack: 10,
        retry_window: Duration::from_secs(10),
        memory_bytes: 64 << 20,
        stop_timeout: Duration::from_secs(1),
    }
}

/// Starts a gateway and waits until it holds version 1.
async fn gateway_with_routes(replicas: &[ScriptedReplica]) -> Arc<GatewayState> {
    let mut addresses = Vec::new();
    for replica in replicas {
        replica.set(|state| state.version = 1);
        addresses.push(replica.serve().await);
    }
    let gateway = start_gateway(gateway_config(addresses)).await.unwrap();
    let state = Arc::clone(gateway.state());
    wait_for_version(&state, 1).await;
    state
}

/// Waits for a version; returns how long it took, or `None` if it is not in force in time.
async fn wait_for_version(state: &GatewayState, version: u64) -> Option<Duration> {
    let began_at = Instant::now();
    while began_at.elapsed() < MAX_APPLY_TIME {
        if state.book().version() >= version {
            return Some(began_at.elapsed());
        }
        sleep(Duration::from_millis(5)).await;
    }
    None
}

fn report(sequence: u64, state: TargetState) -> TargetReport {
    TargetReport {
        id: "i-1".to_owned(),
        born_ms: 1,
        sequence,
        service: "orders".try_into().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 2,
        state,
    }
}

// Guards against a node that gives up answers which are on their way: while packets wait at its busy link, each heartbeat was
// dropped before its answer arrived, and the node got no routes from any replica.
#[tokio::test]
async fn gateway_follows_routes_over_slow_link() {
    let replicas = [ScriptedReplica::default(), ScriptedReplica::default()];
    let state = gateway_with_routes(&replicas).await;
    let round_trip = Duration::from_millis(1_100);
    for replica in &replicas {
        replica.set(|state| state.round_trip = round_trip);
    }
    sleep(Duration::from_secs(1)).await;
    for version in [2, 3, 4] {
        for replica in &replicas {
            replica.set(|state| state.version = version);
        }
        let delay = wait_for_version(&state, version).await;
        assert!(delay.is_some(), "version {version} is not in force");
    }
}

// Guards against a newer version being dropped because the answer to an announcement, which was asked for at the same time,
// had already brought an older one: the node had to ask again.
#[tokio::test]
async fn gateway_adopts_routes_beside_announcement() {
    let replicas = [ScriptedReplica::default()];
    let state = gateway_with_routes(&replicas).await;
    let replica = &replicas[0];
    replica.set(|state| {
        state.awaited_version = 3;
        state.neglected_version = 2;
    });
    let holds = replica.read(|state| state.holds);
    while replica.read(|state| state.holds) <= holds {
        sleep(Duration::from_millis(5)).await;
    }
    replica.set(|state| state.version = 2);
    state.apply_report(report(1, TargetState::Ready)).unwrap();
    state.announce_soon();
    sleep(Duration::from_millis(150)).await;
    replica.set(|state| state.version = 3);
    assert!(wait_for_version(&state, 3).await.is_some());
}
