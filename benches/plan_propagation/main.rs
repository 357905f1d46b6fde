//! Measures the time until a change of the lists is in force at every node, the control traffic of a node, and the time
//! until a leaving target gets its last new request.

#[path = "../../examples/capacity_slopes/announcers.rs"]
#[expect(
    dead_code,
    reason = "the example capacity_slopes uses more of this module"
)]
mod announcers;
#[path = "../../tests/fleet/mod.rs"]
mod fleet;
mod leaving;
#[path = "../../examples/capacity_slopes/relay.rs"]
mod relay;

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::{ControlClient, MESH_TOKEN_KEY};
use ebonyjunction::generated::operator_client::OperatorClient;
use ebonyjunction::generated::{
    ApplyRequest, CallerRow, GrantRow, PlanRow, PlanSet, PriorityClass, StatusRequest,
};
use sha2::{Digest, Sha256};
use tokio::task::block_in_place;

use announcers::start_announcers;
use fleet::{CREDENTIAL, Fleet, MESH_TOKEN, Process, ServiceSpec, start_free_node, start_target};
use leaving::{bench_client, call_entry, measure_leaving};
use relay::CountingRelay;

const NODES: usize = 6;
const EDITS: usize = 60;
const CATCH_UP_EDITS: usize = 500;
const ENDPOINTS: usize = 580;
const BYTES_WINDOW: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Credential of the caller that every second edit removes.
const PROBE_CREDENTIAL: &str = "probe-credential-0123456789";
const STATUS_UNKNOWN_CALLER: u16 = 401;
const STATUS_NO_GRANT: u16 = 403;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const PLANS: &str = "[[plan]]\nname = \"client\"\nrate_per_s = 0\n\
    [[caller]]\nname = \"client\"\nplan = \"client\"\ncredential_sha256 = \"@DIGEST@\"\n";
const GRANTS: &str = "[[grant]]\nplan = \"client\"\nservice = \"orders\"\npath_prefix = \"/\"\n\
    class = \"read\"\ndeadline_ms = 1000\n";

fn orders(endpoints: usize) -> ServiceSpec {
    ServiceSpec {
        name: "orders",
        endpoints,
        slots: 35,
        service_time: Duration::from_millis(1),
        downstream: None,
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        print_load("start");
        let mut mesh = BenchMesh::start().await;
        mesh.measure_in_force().await;
        mesh.measure_bytes("control_bytes_per_node_s").await;
        mesh.measure_leaving().await;
        mesh.measure_catch_up().await;
        let announcers = start_announcers(ENDPOINTS - NODES, &mesh.control_addresses(), MESH_TOKEN);
        mesh.measure_bytes("control_bytes_per_node_s_580").await;
        drop(announcers);
        print_load("end");
    });
}

fn print_load(when: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load_{when}={}", load.split(' ').next().unwrap_or(""));
}

/// A fleet with one additional node that connects to the replicas through counting relays.
#[derive(Debug)]
struct BenchMesh {
    fleet: Fleet,
    relays: Vec<CountingRelay>,
    client: ControlClient,
    node: Process,
    _target: Process,
    version: u64,
    edits: u32,
}

impl BenchMesh {
    async fn start() -> Self {
        let plans = PLANS.replace("@DIGEST@", &hex(&digest(CREDENTIAL)));
        let fleet = block_in_place(|| Fleet::start(&[orders(NODES - 1)], &plans, GRANTS));
        let mut relays = Vec::new();
        for address in &fleet.control.addresses {
            relays.push(CountingRelay::start(*address).await);
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        let folder = fleet.folder.path();
        let node = start_free_node(folder, NODES, "zone-a", &addresses);
        let local = block_in_place(|| node.listening("listener=local"));
        let target = start_target(&orders(1), local, folder.join("target-counted.log"));
        let token = MeshToken::try_from(MESH_TOKEN).expect("valid token");
        let client = ControlClient::new(fleet.control.addresses.clone(), token);
        let shown = client.show_plans().await.expect("the lists");
        tokio::time::sleep(SETTLE_TIME).await;
        Self {
            fleet,
            relays,
            client,
            node,
            _target: target,
            version: shown.plans.map_or(0, |plans| plans.version),
            edits: 0,
        }
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.fleet.control.addresses.clone()
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let own = block_in_place(|| self.node.listening("listener=entry"));
        let endpoints = self.fleet.endpoints.iter();
        endpoints
            .map(|endpoint| endpoint.entry)
            .chain([own])
            .collect()
    }

    /// Applies the next change of the lists, with or without the probe caller.
    async fn edit(&mut self, has_probe: bool) {
        self.edits += 1;
        let request = ApplyRequest {
            change_id: uuid::Uuid::new_v4().to_string(),
            base_version: self.version,
            plans: Some(lists(has_probe, self.edits)),
            relayed: false,
        };
        let reply = self.client.apply_plans(request).await.expect("an answer");
        assert!(reply.accepted, "{:?}", reply.findings);
        self.version = reply.version;
    }

    /// Measures the time until an edit is in force at every node. It is in force at a node when the entry listener answers
    /// the probe caller with 403 (no grant) instead of 401 (unknown caller), or the reverse after the caller's removal.
    async fn measure_in_force(&mut self) {
        let entries = self.entries();
        let mut times = Vec::new();
        for number in 0..EDITS {
            let has_probe = number.is_multiple_of(2);
            self.edit(has_probe).await;
            let start = Instant::now();
            let waits = entries
                .iter()
                .map(|entry| tokio::spawn(wait_in_force(*entry, has_probe, start)));
            for wait in waits.collect::<Vec<_>>() {
                times.push(wait.await.expect("the node answers"));
            }
            // Spreads the edits over the heartbeat period.
            let pause = rand::random_range(0..500);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        times.sort();
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64();
        println!("in_force_edits={EDITS} nodes={}", entries.len());
        println!("in_force_p50_s={:.3}", at(0.5));
        println!("in_force_p99_s={:.3}", at(0.99));
        println!("in_force_max_s={:.3}", at(1.0));
    }

    async fn measure_bytes(&self, name: &str) {
        tokio::time::sleep(SETTLE_TIME).await;
        let total = || self.relays.iter().map(CountingRelay::bytes).sum::<u64>();
        let updates = || self.node.log_text().matches("event=directory ").count();
        let (before, cpu) = (total(), self.node.cpu_time());
        let updates_before = updates();
        tokio::time::sleep(BYTES_WINDOW).await;
        let seconds = BYTES_WINDOW.as_secs_f64();
        let cpu = self.node.cpu_time().saturating_sub(cpu).as_secs_f64() / seconds;
        println!("{name}={:.0}", (total() - before) as f64 / seconds);
        println!("{name}_node_core_percent={:.2}", 100.0 * cpu);
        // None in a steady state; on a busy machine, leases that expire cause some.
        println!("{name}_directory_updates={}", updates() - updates_before);
        println!("{name}_node_rss_kib={}", self.node.rss_kib());
    }

    async fn measure_leaving(&mut self) {
        let local = {
            let folder = self.fleet.folder.path();
            let node = start_free_node(folder, NODES + 1, "zone-a", &self.control_addresses());
            let local = block_in_place(|| node.listening("listener=local"));
            (node, local)
        };
        let result = measure_leaving(local.1, &self.entries()).await;
        let seconds = result.last_new_work.as_secs_f64();
        println!("leaving_target_last_new_work_s={seconds:.3}");
        println!("leaving_executions_before={}", result.executions_before);
        println!("leaving_executions_after={}", result.executions_after);
    }

    async fn measure_catch_up(&mut self) {
        self.fleet.control.kill_replica(0);
        self.node.kill();
        // Only the last version has the probe caller, so knowing it proves that version.
        for number in 1..=CATCH_UP_EDITS {
            self.edit(number == CATCH_UP_EDITS).await;
        }
        let start = Instant::now();
        self.fleet.control.start_replica(0);
        let addresses: Vec<SocketAddr> = self.relays.iter().map(|relay| relay.address).collect();
        self.node = start_free_node(self.fleet.folder.path(), NODES, "zone-a", &addresses);
        let entry = block_in_place(|| self.node.listening("listener=entry"));
        let replica = self.control_addresses()[0];
        let replica_time = tokio::spawn(wait_until_applied(replica, self.version, start));
        let node_time = tokio::spawn(wait_in_force(entry, true, start));
        let replica_time = replica_time.await.expect("the replica answers");
        let node_time = node_time.await.expect("the node answers");
        println!("catch_up_replica_s={:.3}", replica_time.as_secs_f64());
        println!("catch_up_node_s={:.3}", node_time.as_secs_f64());
        println!(
            "catch_up_500_changes_s={:.3}",
            replica_time.max(node_time).as_secs_f64()
        );
    }
}

async fn wait_in_force(entry: SocketAddr, has_probe: bool, start: Instant) -> Duration {
    let client = bench_client();
    // The probe caller has no grant.
    let wanted = if has_probe {
        STATUS_NO_GRANT
    } else {
        STATUS_UNKNOWN_CALLER
    };
    while start.elapsed() < WAIT_TIMEOUT {
        let status = call_entry(&client, entry, "/orders/probe", PROBE_CREDENTIAL).await;
        if status == Some(wanted) {
            return start.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the version is not in force at {entry} within {WAIT_TIMEOUT:?}");
}

/// Waits until one replica has itself applied `version`. A status request marked as relayed is not relayed again.
async fn wait_until_applied(replica: SocketAddr, version: u64, start: Instant) -> Duration {
    let mut is_first = true;
    while start.elapsed() < WAIT_TIMEOUT {
        let applied = applied_version(replica).await;
        if let Some(applied) = applied.filter(|_| is_first) {
            is_first = false;
            println!(
                "catch_up_first_seen_behind={}",
                version.saturating_sub(applied)
            );
        }
        if applied >= Some(version) {
            return start.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the replica does not reach version {version} within {WAIT_TIMEOUT:?}");
}

async fn applied_version(replica: SocketAddr) -> Option<u64> {
    let client = OperatorClient::connect(format!("http://{replica}")).await;
    let mut request = tonic::Request::new(StatusRequest { relayed: true });
    let token = MESH_TOKEN.parse().ok()?;
    request.metadata_mut().insert(MESH_TOKEN_KEY, token);
    let reply = client.ok()?.status(request).await.ok()?;
    Some(reply.into_inner().plan_version)
}

fn digest(text: &str) -> Vec<u8> {
    Sha256::digest(text.as_bytes()).to_vec()
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}

fn lists(has_probe: bool, burst: u32) -> PlanSet {
    let caller = |name: &str, plan: &str, credential| CallerRow {
        name: name.to_owned(),
        plan: plan.to_owned(),
        credential_sha256: digest(credential).into(),
        service: String::new(),
    };
    let plan = |name: &str| PlanRow {
        name: name.to_owned(),
        rate_per_s: 0,
        burst,
        attempts: 32,
    };
    let mut callers = vec![caller("client", "client", CREDENTIAL)];
    if has_probe {
        callers.push(caller("probe", "probe", PROBE_CREDENTIAL));
    }
    let grant = GrantRow {
        plan: "client".to_owned(),
        service: "orders".to_owned(),
        path_prefix: "/".to_owned(),
        priority_class: PriorityClass::Read.into(),
        at_most_once: false,
        deadline_ms: 1_000,
    };
    PlanSet {
        version: 0,
        plans: vec![plan("client"), plan("probe")],
        callers,
        grants: vec![grant],
    }
}
