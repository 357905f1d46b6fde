//! Runs the programs of the mesh as child processes and reads their memory and processor time.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::ControlClient;

use crate::relay::CountingRelay;

pub(crate) const TOKEN: &str = "slopes-token-0123456789";
/// Clock ticks per second of the processor times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
const START_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One child process; killed when dropped.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    pub(crate) fn start(program: &str, arguments: &[&str], log: PathBuf) -> Self {
        let output = File::create(&log).expect("log file");
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("log file"))
            .stderr(output)
            .spawn()
            .expect("the release programs are built");
        Self { child, log }
    }

    /// Waits for the log line of a listener and returns its address.
    pub(crate) async fn listening(&self, listener: &str) -> SocketAddr {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            let text = fs::read_to_string(&self.log).unwrap_or_default();
            let line = text
                .lines()
                .find(|line| line.contains("event=listening") && line.contains(listener));
            let address = line.and_then(|line| line.split_once(" address="));
            let address = address.and_then(|(_, rest)| rest.split_whitespace().next());
            if let Some(address) = address {
                return address.parse().expect("an address");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no listener in {}", self.log.display());
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn read(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Resident memory in MB.
    pub(crate) fn rss_mb(&self) -> f64 {
        let status = self.read("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        kib.unwrap_or(0.0) * 1024.0 / 1e6
    }

    /// Processor seconds used so far.
    pub(crate) fn cpu_s(&self) -> f64 {
        let stat = self.read("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |position: usize| fields.get(position).and_then(|raw| raw.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

// Cargo places example executables one folder below the programs.
fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of this program");
    let folder = own.parent().and_then(Path::parent).expect("target folder");
    folder.join(program)
}

/// One replica, with one counting relay for connections from nodes and one for those from other replicas.
#[derive(Debug)]
pub(crate) struct ReplicaChild {
    pub(crate) process: ChildProcess,
    pub(crate) address: SocketAddr,
    pub(crate) from_nodes: CountingRelay,
    pub(crate) from_peers: CountingRelay,
    pub(crate) data_folder: PathBuf,
    settings: PathBuf,
}

impl ReplicaChild {
    pub(crate) fn restart(&mut self) {
        let log = self.settings.with_extension("restart.log");
        self.process = start_control(&self.settings, log);
    }
}

fn start_control(settings: &Path, log: PathBuf) -> ChildProcess {
    let settings = settings.display().to_string();
    ChildProcess::start("ebonyjunction-control", &["--settings", &settings], log)
}

/// Starts replicas that connect to each other through counting relays.
pub(crate) async fn start_replicas(folder: &Path, count: usize) -> Vec<ReplicaChild> {
    let mut relays = Vec::new();
    for _ in 0..count {
        let address = free_address();
        let from_nodes = CountingRelay::start(address).await;
        relays.push((address, from_nodes, CountingRelay::start(address).await));
    }
    let peers: Vec<SocketAddr> = relays.iter().map(|(_, _, relay)| relay.address).collect();
    let start = |(position, (address, from_nodes, from_peers)): (usize, (_, _, CountingRelay))| {
        let data_folder = folder.join(format!("control-{position}"));
        let mut text = format!(
            "replica_id = {}\ncontrol_address = \"{address}\"\nadvertise_address = \"{}\"\n\
             data_folder = \"{}\"\nmesh_token = \"{TOKEN}\"\nbootstrap = true\n",
            position + 1,
            from_peers.address,
            data_folder.display(),
        );
        for (peer, peer_address) in peers
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != position)
        {
            let id = peer + 1;
            let _ = write!(
                text,
                "[[peer]]\nreplica_id = {id}\naddress = \"{peer_address}\"\n"
            );
        }
        let settings = folder.join(format!("control-{position}.toml"));
        fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("control-{position}.log"));
        ReplicaChild {
            process: start_control(&settings, log),
            address,
            from_nodes,
            from_peers,
            data_folder,
            settings,
        }
    };
    relays.into_iter().enumerate().map(start).collect()
}

/// Returns a client of the replicas that bypasses the relays.
pub(crate) fn control_client(replicas: &[ReplicaChild]) -> ControlClient {
    let addresses = replicas.iter().map(|replica| replica.address).collect();
    let token = MeshToken::try_from(TOKEN).expect("valid token");
    ControlClient::new(addresses, token)
}

/// Waits for a confirmed leader other than `except` and returns its position.
pub(crate) async fn wait_for_leader(replicas: &[ReplicaChild], except: Option<usize>) -> usize {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let status = control_client(replicas).status().await;
        let leader = status
            .ok()
            .and_then(|status| (status.leader_id as usize).checked_sub(1));
        if let Some(leader) = leader.filter(|leader| Some(*leader) != except) {
            return leader;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no leader within {START_TIMEOUT:?}");
}

/// Starts a node whose listeners use free ports.
pub(crate) fn start_node(folder: &Path, name: &str, control: &[SocketAddr]) -> ChildProcess {
    let quoted: Vec<String> = control
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    let text = format!(
        "entry_address = \"127.0.0.1:0\"\nmesh_address = \"127.0.0.1:0\"\n\
         local_address = \"127.0.0.1:0\"\nzone = \"zone-0\"\nregion = \"region-0\"\n\
         mesh_token = \"{TOKEN}\"\ncontrol = [{}]\n",
        quoted.join(", ")
    );
    let settings = folder.join(format!("{name}.toml"));
    fs::write(&settings, text).expect("settings");
    let log = folder.join(format!("{name}.log"));
    let settings = settings.display().to_string();
    ChildProcess::start("ebonyjunction-node", &["--settings", &settings], log)
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}
