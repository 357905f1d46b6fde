//! Entry point of `ebonyjunction-node`, the proxy on the VM of one target.

use std::path::PathBuf;
use std::process::ExitCode;

use ebonyjunction::config::NodeConfig;
use ebonyjunction::error::{MeshError, Result};
use ebonyjunction::node::run_node;
use ebonyjunction::telemetry::start_logging;
use mimalloc::MiMalloc;
use pico_args::Arguments;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Proxy with overload control for the target on the same VM.

Usage: ebonyjunction-node --settings FILE [--check]

Options:
  --settings FILE  settings in TOML
  --check          check the settings and exit
  --help           print this text
  --version        print the version

SIGTERM and SIGINT stop the node within stop_timeout_s. SIGHUP or a change of the file reloads its control replicas.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("ebonyjunction-node {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let usage = |error: pico_args::Error| MeshError::Usage(error.to_string());
    let is_check = arguments.contains("--check");
    let settings: PathBuf = arguments.value_from_str("--settings").map_err(usage)?;
    let unused = arguments.finish();
    if !unused.is_empty() {
        return Err(MeshError::Usage(format!("unknown arguments: {unused:?}")));
    }
    if is_check {
        NodeConfig::load(&settings)?;
        println!("{}: settings are valid", settings.display());
        return Ok(());
    }
    let _logging = start_logging()?;
    // One thread serves the calls of a node with a fraction of a core. More threads would only add context switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| MeshError::io("cannot start the runtime", source))?;
    runtime.block_on(run_node(&settings))
}
