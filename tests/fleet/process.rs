//! Process of a mesh under test.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::wait_for;

/// Child process that is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    pub(crate) fn start(program: &str, arguments: &[String], log: PathBuf) -> Self {
        // A new log file, so that a restarted process does not show the addresses of its predecessor.
        let output = File::create(&log).expect("log file");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("log file"))
            .stderr(output)
            .spawn()
            .expect("program starts");
        Self { child, log }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log shows the address of a listener and returns it.
    pub(crate) fn listening(&self, listener: &str) -> SocketAddr {
        wait_for(
            &format!("listener {listener} in {}", self.log.display()),
            || {
                let text = self.log_text();
                let line = text
                    .lines()
                    .find(|line| line.contains("event=listening") && line.contains(listener))?;
                let (_, rest) = line.split_once(" address=")?;
                rest.split_whitespace().next()?.parse().ok()
            },
        )
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) fn stop(&mut self) -> Option<i32> {
        self.signal("-TERM");
        self.wait_exit()
    }

    pub(crate) fn wait_exit(&mut self) -> Option<i32> {
        wait_for("process exit", || self.child.try_wait().expect("child")).code()
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory in KiB.
    pub(crate) fn rss_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.unwrap_or(0)
    }

    /// Processor time used so far.
    pub(crate) fn cpu_time(&self) -> Duration {
        const TICKS_PER_S: u64 = 100;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |position: usize| fields.get(position).and_then(|raw| raw.parse().ok());
        let total: u64 = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        Duration::from_millis(1000 / TICKS_PER_S * total)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
