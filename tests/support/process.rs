//! Node and stand-in processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tempfile::NamedTempFile;

use super::poll;

pub const MESH_TOKEN: &str = "mesh-token-of-the-tests";

/// Process whose log lines are collected; it is killed when dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl TestProcess {
    fn spawn(command: &mut Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = child.stderr.take().unwrap();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let sink = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if std::env::var_os("TEST_LOG").is_some() {
                    eprintln!("{line}");
                }
                sink.lock().unwrap().push(line);
            }
        });
        Self { child, lines }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether a log line contains all the parts.
    pub fn has_line(&self, parts: &[&str]) -> bool {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    }

    async fn listener(&self, name: &str) -> SocketAddr {
        let mark = format!("listener={name} address=");
        poll("a listener", async || {
            let lines = self.lines.lock().unwrap();
            let line = lines.iter().find(|line| line.contains(&mark))?;
            let address = line.split(&mark).nth(1)?.split(' ').next()?;
            Some(address.parse().unwrap())
        })
        .await
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.pid().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    pub async fn wait(&mut self) -> ExitStatus {
        let child = Mutex::new(&mut self.child);
        poll("the end of a process", async || {
            child.lock().unwrap().try_wait().unwrap()
        })
        .await
    }

    /// Resident memory in bytes.
    pub fn rss_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap();
        let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kilobytes * 1024
    }

    /// Processor time used so far.
    pub fn cpu_time(&self) -> Duration {
        const TICKS_PER_S: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        Duration::from_secs_f64(ticks / TICKS_PER_S)
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Node with its bound addresses.
#[derive(Debug)]
pub struct NodeProcess {
    pub process: TestProcess,
    pub entry: SocketAddr,
    pub mesh: SocketAddr,
    pub local: SocketAddr,
    settings: NamedTempFile,
}

impl NodeProcess {
    /// Starts a node; `extra` holds further lines of settings.
    pub async fn start(registry: SocketAddr, extra: &str) -> Self {
        let settings = NamedTempFile::new().unwrap();
        let text = format!(
            "entry_address = \"127.0.0.1:0\"\nmesh_address = \"127.0.0.1:0\"\n\
             local_address = \"127.0.0.1:0\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             mesh_token = \"{MESH_TOKEN}\"\ncontrol = [\"{registry}\"]\n{extra}\n"
        );
        std::fs::write(settings.path(), text).unwrap();
        let program = env!("CARGO_BIN_EXE_ebonyjunction-node");
        let mut command = Command::new(program);
        let process = TestProcess::spawn(command.arg("--settings").arg(settings.path()));
        Self {
            entry: process.listener("entry").await,
            mesh: process.listener("mesh").await,
            local: process.listener("local").await,
            process,
            settings,
        }
    }
}

impl NodeProcess {
    /// Replaces a text in the settings file of the running node.
    pub fn replace_in_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(self.settings.path()).unwrap();
        std::fs::write(self.settings.path(), text.replace(from, to)).unwrap();
    }
}

/// Stand-in target with its address.
#[derive(Debug)]
pub struct StandIn {
    pub process: TestProcess,
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts a stand-in beside a node.
    pub async fn start(service: &str, node: &NodeProcess, extra: &[&str]) -> Self {
        let program = env!("CARGO_BIN_EXE_ebonyjunction-stand-in");
        let mut command = Command::new(program);
        command.args(["--service", service, "--node", &node.local.to_string()]);
        let process = TestProcess::spawn(command.args(extra));
        let address = process.listener("target").await;
        Self { process, address }
    }
}
