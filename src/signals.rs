//! Signals that stop a program or make it reload its settings.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, interval};

use crate::error::{MeshError, Result};

/// Interval at which the modification time of the settings file is checked, since the file may also change without a
/// signal. A check costs one system call.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Handlers of SIGTERM and SIGINT. They stay installed until the process ends, so that a second signal does not
/// terminate it early.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    pub fn new() -> Result<Self> {
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reports when to reload a settings file: after SIGHUP, and after its modification time has changed.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    hangup: Signal,
    polls: Interval,
    last_modified: Option<SystemTime>,
}

impl SettingsWatch {
    /// Installs the handler. Must be called within a Tokio runtime.
    pub fn new(path: &Path) -> Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            hangup: listen(SignalKind::hangup())?,
            polls: interval(SETTINGS_POLL),
            last_modified: modification_time(path),
        })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Waits until the file should be reloaded.
    pub async fn changed(&mut self) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => {
                    self.last_modified = modification_time(&self.path);
                    return;
                }
                _ = self.polls.tick() => {
                    let current = modification_time(&self.path);
                    if current != self.last_modified {
                        self.last_modified = current;
                        return;
                    }
                }
            }
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| MeshError::io("cannot install a signal handler", source))
}

/// Returns the modification time, or `None` for a file that cannot be read. Reloading the file reports the reason.
fn modification_time(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path);
    metadata.and_then(|metadata| metadata.modified()).ok()
}
