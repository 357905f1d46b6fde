//! Starts complete meshes of processes on loopback for tests and benches.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use tempfile::TempDir;

mod process;

pub(crate) use process::Process;

pub(crate) const MESH_TOKEN: &str = "test-mesh-token-0123456789";
pub(crate) const CREDENTIAL: &str = "demo-reseller-credential";
/// Timeout for polling, well above the time that a healthy mesh needs.
pub(crate) const PATIENCE: Duration = Duration::from_mins(1);
const FIRST_EPHEMERAL_PORT: u16 = 32_768;
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Polls until the check returns a value; panics with the description after `PATIENCE`.
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "timed out waiting for {what}");
        std::thread::sleep(POLL_PAUSE);
    }
}

/// Number of meshes that this process has started.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Returns a different loopback address for each mesh, so that no other program takes the port of a stopped process.
fn fleet_ip() -> Ipv4Addr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + number % 200, high, low.clamp(1, 254))
}

/// Returns addresses that no other mesh uses, with ports below the ephemeral range, which outgoing connections can take.
///
/// Nothing is bound here. A child that another test starts at that moment would hold the socket until its exec, and the
/// process for which the port is meant could not listen.
fn free_addresses(ip: Ipv4Addr, count: usize) -> Vec<SocketAddr> {
    let next_address = || {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(
            port < FIRST_EPHEMERAL_PORT,
            "no free port below {FIRST_EPHEMERAL_PORT}"
        );
        SocketAddr::from((ip, port))
    };
    std::iter::repeat_with(next_address).take(count).collect()
}

/// Control replicas of one mesh.
#[derive(Debug)]
pub(crate) struct ControlFleet {
    listen: Vec<SocketAddr>,
    /// Addresses that nodes, operators and the other replicas use.
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) replicas: Vec<Option<Process>>,
    folder: PathBuf,
}

impl ControlFleet {
    fn start(folder: &Path, listen: Vec<SocketAddr>, advertised: Vec<SocketAddr>) -> Self {
        let count = listen.len();
        let replicas = (0..count).map(|_| None).collect();
        let mut fleet = Self {
            listen,
            addresses: advertised,
            replicas,
            folder: folder.to_owned(),
        };
        for position in 0..count {
            fleet.start_replica(position);
        }
        fleet
    }

    pub(crate) fn data_folder(&self, position: usize) -> PathBuf {
        self.folder.join(format!("control-{position}"))
    }

    pub(crate) fn start_replica(&mut self, position: usize) {
        let mut settings = format!(
            "replica_id = {}\ncontrol_address = \"{}\"\nadvertise_address = \"{}\"\n\
             data_folder = \"{}\"\nmesh_token = \"{MESH_TOKEN}\"\nbootstrap = true\n",
            position + 1,
            self.listen[position],
            self.addresses[position],
            self.data_folder(position).display(),
        );
        for (other, address) in self.addresses.iter().enumerate() {
            if other != position {
                let id = other + 1;
                let _ = write!(
                    settings,
                    "[[peer]]\nreplica_id = {id}\naddress = \"{address}\"\n"
                );
            }
        }
        let path = self.folder.join(format!("control-{position}.toml"));
        fs::write(&path, settings).expect("settings");
        let log = self.folder.join(format!("control-{position}.log"));
        let program = env!("CARGO_BIN_EXE_ebonyjunction-control");
        let process = Process::start(program, &settings_flags(&path), log);
        self.replicas[position] = Some(process);
    }

    pub(crate) fn kill_replica(&mut self, position: usize) {
        self.replicas[position] = None;
    }
}

impl Drop for ControlFleet {
    fn drop(&mut self) {
        const SHOWN_LINES: usize = 30;
        if !std::thread::panicking() {
            return;
        }
        for position in 0..self.replicas.len() {
            let path = self.folder.join(format!("control-{position}.log"));
            let text = fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
            let lines: Vec<&str> = text.lines().rev().take(SHOWN_LINES).collect();
            eprintln!(
                "end of the log of replica {position}, latest line first:\n{}",
                lines.join("\n")
            );
        }
    }
}

fn settings_flags(path: &Path) -> Vec<String> {
    vec!["--settings".to_owned(), path.display().to_string()]
}

/// Service with the number and properties of its endpoints.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSpec {
    pub(crate) name: &'static str,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    pub(crate) service_time: Duration,
    /// Path called at another service for each request, such as `/stockroom/items`.
    pub(crate) downstream: Option<&'static str>,
}

/// Target with its node.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) spec: ServiceSpec,
    pub(crate) service: &'static str,
    pub(crate) node: Process,
    pub(crate) target: Process,
    settings: NodeSettings,
    pub(crate) entry: SocketAddr,
    pub(crate) mesh: SocketAddr,
    pub(crate) local: SocketAddr,
    pub(crate) target_address: SocketAddr,
}

impl Endpoint {
    pub(crate) fn wait_listening(&self) {
        for listener in ["listener=entry", "listener=mesh", "listener=local"] {
            self.node.listening(listener);
        }
        self.target.listening("event=listening");
    }
}

/// Node settings that differ between tests.
#[derive(Debug, Clone)]
struct NodeSettings {
    zone: String,
    entry: SocketAddr,
    mesh: SocketAddr,
    local: SocketAddr,
}

/// Complete mesh; all processes are killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) control: ControlFleet,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) operator_settings: PathBuf,
    pub(crate) folder: TempDir,
    free: Vec<SocketAddr>,
}

const REPLICAS: usize = 3;
const PORTS_PER_ENDPOINT: usize = 4;

impl Fleet {
    /// Starts replicas and endpoints, applies the lists and waits until all nodes serve.
    pub(crate) fn start(services: &[ServiceSpec], plans: &str, grants: &str) -> Self {
        Self::start_behind(<[SocketAddr]>::to_vec, services, plans, grants)
    }

    /// Starts a mesh like `start`, in which all processes reach the replicas at the addresses that `advertise` returns.
    pub(crate) fn start_behind(
        advertise: impl FnOnce(&[SocketAddr]) -> Vec<SocketAddr>,
        services: &[ServiceSpec],
        plans: &str,
        grants: &str,
    ) -> Self {
        // FLEET_KEEP=1 keeps settings and logs for inspection after the run.
        let is_kept = std::env::var_os("FLEET_KEEP").is_some();
        let mut builder = tempfile::Builder::new();
        let folder = builder
            .prefix("fleet-")
            .disable_cleanup(is_kept)
            .tempdir_in(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.expect("temporary folder");
        let ip = fleet_ip();
        let endpoints: usize = services.iter().map(|service| service.endpoints).sum();
        let mut free = free_addresses(ip, REPLICAS + PORTS_PER_ENDPOINT * endpoints);
        let listen = free.split_off(free.len() - REPLICAS);
        let advertised = advertise(&listen);
        let control = ControlFleet::start(folder.path(), listen, advertised);
        let operator_settings = folder.path().join("operator.toml");
        let text = format!(
            "control = [{}]\nmesh_token = \"{MESH_TOKEN}\"\nchange_folder = \"{}\"\n",
            quote_addresses(&control.addresses),
            folder.path().join("changes").display(),
        );
        fs::write(&operator_settings, text).expect("settings");
        let mut fleet = Self {
            control,
            endpoints: Vec::new(),
            operator_settings,
            folder,
            free,
        };
        fleet.apply_when_ready(plans, grants);
        for service in services {
            for _ in 0..service.endpoints {
                fleet.start_endpoint(service, "zone-a");
            }
        }
        fleet.wait_listening();
        fleet.wait_ready();
        fleet
    }

    /// Starts a node and its target without waiting for them.
    fn start_endpoint(&mut self, service: &ServiceSpec, zone: &str) {
        let position = self.endpoints.len();
        let folder = self.folder.path();
        let first = self.free.len() - PORTS_PER_ENDPOINT;
        let ports = self.free.split_off(first);
        let [entry, mesh, local, target_address] = ports[..] else {
            unreachable!("four addresses were split off");
        };
        let settings = NodeSettings {
            zone: zone.to_owned(),
            entry,
            mesh,
            local,
        };
        let node = start_node(folder, position, &settings, &self.control.addresses);
        let log = folder.join(format!("target-{position}.log"));
        let target = start_target_at(service, local, Some(target_address), log);
        self.endpoints.push(Endpoint {
            spec: service.clone(),
            service: service.name,
            node,
            target,
            settings,
            entry,
            mesh,
            local,
            target_address,
        });
    }

    fn wait_listening(&self) {
        for endpoint in &self.endpoints {
            endpoint.wait_listening();
        }
    }

    /// Kills the node of an endpoint and starts another one with the same addresses.
    pub(crate) fn restart_node(&mut self, position: usize) {
        let endpoint = &mut self.endpoints[position];
        endpoint.node.kill();
        let control = &self.control.addresses;
        let node = start_node(self.folder.path(), position, &endpoint.settings, control);
        endpoint.node = node;
    }

    /// Kills the target of an endpoint and starts another one with the same address.
    pub(crate) fn restart_target(&mut self, position: usize) {
        let endpoint = &mut self.endpoints[position];
        endpoint.target.kill();
        let log = self.folder.path().join(format!("target-{position}.log"));
        let address = Some(endpoint.target_address);
        endpoint.target = start_target_at(&endpoint.spec, endpoint.local, address, log);
    }

    /// Runs the operator command.
    pub(crate) fn operator(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_ebonyjunction"))
            .args(arguments)
            .arg("--settings")
            .arg(&self.operator_settings)
            .output()
            .expect("operator command runs")
    }

    /// Writes both lists and runs `plans apply` once.
    pub(crate) fn apply(&self, plans: &str, grants: &str, flags: &[&str]) -> Output {
        let plans_path = self.folder.path().join("plans.toml");
        let grants_path = self.folder.path().join("grants.toml");
        fs::write(&plans_path, plans).expect("list");
        fs::write(&grants_path, grants).expect("list");
        let (plans_path, grants_path) = (path_text(&plans_path), path_text(&grants_path));
        let mut arguments = vec![
            "plans",
            "apply",
            "--plans",
            &plans_path,
            "--grants",
            &grants_path,
        ];
        arguments.extend(flags);
        self.operator(&arguments)
    }

    fn apply_when_ready(&self, plans: &str, grants: &str) {
        wait_for("the first edit", || {
            self.apply(plans, grants, &[])
                .status
                .success()
                .then_some(())
        });
    }

    fn wait_ready(&self) {
        let count = self.endpoints.len();
        wait_for("all nodes in the status", || {
            let output = self.operator(&["status"]);
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            (text.matches("ready").count() >= count).then_some(())
        });
    }
}

/// Sends one request through the call program and returns its output.
pub(crate) fn call(entry: SocketAddr, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ebonyjunction-call"))
        .args(["--entry", &entry.to_string()])
        .args(arguments)
        .output()
        .expect("call runs");
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

fn quote_addresses(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    quoted.join(", ")
}

/// Starts a node on free ports.
pub(crate) fn start_free_node(
    folder: &Path,
    position: usize,
    zone: &str,
    control: &[SocketAddr],
) -> Process {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = NodeSettings {
        zone: zone.to_owned(),
        entry: any_port,
        mesh: any_port,
        local: any_port,
    };
    start_node(folder, position, &settings, control)
}

fn start_node(
    folder: &Path,
    position: usize,
    node: &NodeSettings,
    control: &[SocketAddr],
) -> Process {
    let settings = format!(
        "entry_address = \"{}\"\nmesh_address = \"{}\"\nlocal_address = \"{}\"\n\
         zone = \"{}\"\nregion = \"region-1\"\nmesh_token = \"{MESH_TOKEN}\"\ncontrol = [{}]\n",
        node.entry,
        node.mesh,
        node.local,
        node.zone,
        quote_addresses(control),
    );
    let path = folder.join(format!("node-{position}.toml"));
    fs::write(&path, settings).expect("settings");
    let log = folder.join(format!("node-{position}.log"));
    Process::start(
        env!("CARGO_BIN_EXE_ebonyjunction-node"),
        &settings_flags(&path),
        log,
    )
}

/// Starts a stand-in target beside a node.
pub(crate) fn start_target(service: &ServiceSpec, node_local: SocketAddr, log: PathBuf) -> Process {
    start_target_at(service, node_local, None, log)
}

fn start_target_at(
    service: &ServiceSpec,
    node_local: SocketAddr,
    listen: Option<SocketAddr>,
    log: PathBuf,
) -> Process {
    let mut arguments = Vec::new();
    let mut flag = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
    flag("--service", service.name.to_owned());
    flag("--node", node_local.to_string());
    flag("--slots", service.slots.to_string());
    flag("--service-ms", service.service_time.as_millis().to_string());
    // A restarted target appends to the journal of its endpoint, so that earlier lines are kept.
    flag("--journal", path_text(&log.with_extension("journal")));
    if let Some(address) = listen {
        flag("--listen", address.to_string());
    }
    if let Some(path) = service.downstream {
        flag("--call", path.to_owned());
    }
    Process::start(
        env!("CARGO_BIN_EXE_ebonyjunction-stand-in"),
        &arguments,
        log,
    )
}
