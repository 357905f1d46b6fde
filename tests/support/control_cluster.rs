//! Control replica processes on loopback, each behind a fault proxy.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::ControlClient;
use ebonyjunction::generated::{ApplyReply, ApplyRequest, PlanRow, PlanSet, StatusReply};
use tempfile::TempDir;

use crate::fault_proxy::FaultProxy;

pub const TOKEN: &str = "0123456789abcdef";
/// Timeout for polling, far above the expected time, so that a busy machine does not fail a test.
pub const POLL_BOUND: Duration = Duration::from_mins(1);
const POLL_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug)]
pub struct ReplicaProcess {
    pub replica_id: u64,
    pub proxy: FaultProxy,
    pub data_folder: PathBuf,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub direct: Option<SocketAddr>,
    child: Option<Child>,
}

#[derive(Debug)]
pub struct ControlCluster {
    pub replicas: Vec<ReplicaProcess>,
    pub folder: TempDir,
}

impl ControlCluster {
    /// Starts three replicas and waits for a leader.
    pub async fn start() -> Self {
        Self::start_with("").await
    }

    pub async fn start_with(extra: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let proxies: Vec<FaultProxy> = (0..3).map(|_| FaultProxy::start()).collect();
        let mut replicas = Vec::new();
        for replica_id in 1..=3_u64 {
            let name = format!("replica-{replica_id}");
            let replica = ReplicaProcess {
                replica_id,
                proxy: proxies[replica_id as usize - 1].clone(),
                data_folder: folder.path().join(&name),
                settings: folder.path().join(format!("{name}.toml")),
                log: folder.path().join(format!("{name}.log")),
                direct: None,
                child: None,
            };
            fs::write(&replica.settings, settings_text(&replica, &proxies, extra)).unwrap();
            replicas.push(replica);
        }
        let mut cluster = Self { replicas, folder };
        for replica in &mut cluster.replicas {
            replica.spawn();
        }
        for replica in &mut cluster.replicas {
            replica.wait_listening().await;
        }
        cluster.wait_leader().await;
        cluster
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|it| it.proxy.address).collect()
    }

    /// Returns a client that is configured with all replicas.
    pub fn client(&self) -> ControlClient {
        ControlClient::new(self.addresses(), token())
    }

    /// Waits until a replica reports a confirmed leader.
    pub async fn wait_leader(&self) -> StatusReply {
        let client = self.client();
        poll("a leader", async || {
            let status = client.status().await.ok()?;
            (status.leader_id != 0).then_some(status)
        })
        .await
    }

    /// Applies a change, resending it until the result is known.
    pub async fn apply(&self, change_id: &str, base_version: u64, rate: u32) -> ApplyReply {
        let client = self.client();
        poll("the result of a change", async || {
            client
                .apply_plans(change(change_id, base_version, rate))
                .await
                .ok()
        })
        .await
    }

    /// Returns the version in force and the rate of the only plan.
    pub async fn shown(&self) -> (u64, u32) {
        let client = self.client();
        let reply = poll("the lists in force", async || {
            client.show_plans().await.ok()
        })
        .await;
        let plans = reply.plans.unwrap();
        (
            plans.version,
            plans.plans.first().map_or(0, |plan| plan.rate_per_s),
        )
    }

    pub fn replica(&mut self, replica_id: u64) -> &mut ReplicaProcess {
        &mut self.replicas[replica_id as usize - 1]
    }
}

impl ReplicaProcess {
    pub fn spawn(&mut self) {
        let log = File::create(&self.log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ebonyjunction-control"))
            .arg("--settings")
            .arg(&self.settings)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Waits until the log shows the bound address, and sets it as the target of the proxy.
    pub async fn wait_listening(&mut self) {
        let text = self.wait_log("event=listening address=").await;
        let rest = text.split("event=listening address=").nth(1).unwrap();
        let address = rest.split_whitespace().next().unwrap().parse().unwrap();
        self.proxy.set_target(address);
        self.direct = Some(address);
    }

    pub async fn restart(&mut self) {
        self.spawn();
        self.wait_listening().await;
    }

    /// Waits until the log contains `part` and returns the log.
    pub async fn wait_log(&self, part: &str) -> String {
        let what = format!("{part:?} in the log of replica {}", self.replica_id);
        poll(&what, async || {
            let text = fs::read_to_string(&self.log).ok()?;
            let is_complete = text
                .rsplit_once('\n')
                .is_some_and(|(lines, _)| lines.contains(part));
            is_complete.then_some(text)
        })
        .await
    }

    pub fn process_id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            // The port is free again and may be bound by another process.
            self.proxy.clear_target();
        }
    }

    /// Waits for the process to exit and returns its status.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let mut child = self.child.take().unwrap();
        poll("the end of a replica", async || child.try_wait().unwrap()).await
    }

    pub fn terminate(&self) {
        let id = self.process_id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("log of replica {}:\n{log}", self.replica_id);
        }
    }
}

pub fn token() -> MeshToken {
    MeshToken::try_from(TOKEN).unwrap()
}

/// Returns a change to lists with one plan, which has the given rate.
pub fn change(change_id: &str, base_version: u64, rate: u32) -> ApplyRequest {
    let row = PlanRow {
        name: "gold".to_owned(),
        rate_per_s: rate,
        burst: 1,
        attempts: 3,
    };
    ApplyRequest {
        change_id: change_id.to_owned(),
        base_version,
        plans: Some(PlanSet {
            plans: vec![row],
            ..PlanSet::default()
        }),
        relayed: false,
    }
}

/// Polls until the attempt returns a value; panics after `POLL_BOUND`.
pub async fn poll<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = attempt().await {
            return value;
        }
        assert!(
            start.elapsed() < POLL_BOUND,
            "no {what} within {POLL_BOUND:?}"
        );
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

fn settings_text(replica: &ReplicaProcess, proxies: &[FaultProxy], extra: &str) -> String {
    let mut text = format!(
        "replica_id = {}\ncontrol_address = \"127.0.0.1:0\"\nadvertise_address = \"{}\"\n\
         data_folder = \"{}\"\nmesh_token = \"{TOKEN}\"\nbootstrap = true\n{extra}\n",
        replica.replica_id,
        replica.proxy.address,
        replica.data_folder.display(),
    );
    for (peer_id, proxy) in (1..).zip(proxies) {
        if peer_id != replica.replica_id {
            let address = proxy.address;
            writeln!(
                text,
                "[[peer]]\nreplica_id = {peer_id}\naddress = \"{address}\""
            )
            .unwrap();
        }
    }
    text
}
