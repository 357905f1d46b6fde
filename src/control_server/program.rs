//! Command line of the program `ebonyjunction-control`.

use std::convert::Infallible;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use pico_args::Arguments;

use crate::config::ControlConfig;
use crate::error::{MeshError, Result};
use crate::signals::{SettingsWatch, StopSignals};
use crate::telemetry::{metrics_client, start_logging};

use super::server::{PeerListHandle, start_replica};

const HELP: &str = "\
One replica of the control plane of ebonyjunction.

Usage: ebonyjunction-control --settings FILE [--check]

Options:
  --settings FILE   settings of the replica (TOML)
  --check           check the settings, report all findings and exit
  --help            print this text
  --version         print the version

SIGTERM and SIGINT stop the replica within stop_timeout_s. SIGHUP, or a change of the file, reloads its peers.
Exit codes: 0 stopped on request, 1 operation failed, 2 bad input.
";

#[derive(Debug)]
enum Action {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

/// Runs the program with the arguments after its name and returns its exit code.
pub fn run_program(arguments: Vec<OsString>) -> ExitCode {
    match parse_action(arguments).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn parse_action(arguments: Vec<OsString>) -> Result<Action> {
    let mut parser = Arguments::from_vec(arguments);
    if parser.contains("--help") {
        return Ok(Action::Help);
    }
    if parser.contains("--version") {
        return Ok(Action::Version);
    }
    let settings = parser
        .opt_value_from_os_str("--settings", |raw| Ok::<_, Infallible>(PathBuf::from(raw)))
        .map_err(|error| MeshError::Usage(error.to_string()))?;
    let is_check = parser.contains("--check");
    if let Some(word) = parser.finish().first() {
        let word = word.to_string_lossy();
        return Err(MeshError::Usage(format!(
            "unknown argument {word}; see --help"
        )));
    }
    let settings =
        settings.ok_or_else(|| MeshError::Usage("--settings FILE is required".to_owned()))?;
    Ok(if is_check {
        Action::Check(settings)
    } else {
        Action::Run(settings)
    })
}

fn run(action: Action) -> Result<()> {
    match action {
        Action::Help => println!("{}", HELP.trim_end()),
        Action::Version => println!("ebonyjunction-control {}", env!("CARGO_PKG_VERSION")),
        Action::Check(path) => {
            ControlConfig::load(&path)?;
            println!("ok");
        }
        Action::Run(path) => return run_configured(&path),
    }
    Ok(())
}

fn run_configured(settings: &Path) -> Result<()> {
    let config = ControlConfig::load(settings)?;
    let _guard = start_logging()?;
    // A single thread serves all sockets, so that messages of a peer reach the core in the order of their arrival. The
    // core runs on its own thread.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| MeshError::io("cannot start the runtime", source))?;
    let stop_timeout = config.stop_timeout;
    let result = runtime.block_on(async {
        let mut stop_signals = StopSignals::new()?;
        let watch = SettingsWatch::new(settings)?;
        let metrics = metrics_client("ebonyjunction.control", config.metrics_address)?;
        let replica = start_replica(config, metrics).await?;
        tokio::spawn(reload_peers_on_change(watch, replica.contacts()));
        replica.run_until(stop_signals.next()).await
    });
    if let Err(error) = &result {
        log::error!(event = "replica-failed", error:% = error; "");
    }
    runtime.shutdown_timeout(stop_timeout);
    result
}

/// Reloads the peers whenever the settings change. Other keys take effect only after a restart.
async fn reload_peers_on_change(mut watch: SettingsWatch, contacts: PeerListHandle) {
    loop {
        watch.changed().await;
        match ControlConfig::load(watch.path()) {
            Ok(config) => {
                log::info!(event = "reloaded", peers = config.peers.len(); "");
                contacts.configure(&config.peers);
            }
            Err(error) => log::warn!(event = "reload-failed", error:% = error; ""),
        }
    }
}
