//! Entry point of `ebonyjunction-stand-in`, a small target for tests, benchmarks and the demo.

mod announce;
mod behaviour;
mod counts;
mod journal;
mod serving;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;

use ebonyjunction::error::{MeshError, Result};
use ebonyjunction::telemetry::start_logging;
use mimalloc::MiMalloc;
use pico_args::Arguments;

use behaviour::{Behaviour, CallPath, CutMode};
use journal::ExecutionJournal;
use serving::{StandIn, StandInSettings, run};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Small target for tests, benchmarks and the demo.

Usage: ebonyjunction-stand-in --service NAME --node ADDRESS [OPTIONS]

Options:
  --service NAME       service to announce
  --node ADDRESS       local address of the node beside this target
  --listen ADDRESS     address to serve on (default 127.0.0.1:0)
  --slots N            requests processed at once (default 8)
  --connections N      connections to announce (default 100)
  --service-ms N       time that a request holds a slot (default 1)
  --answer-bytes N     length of the filler in an answer (default 0)
  --call /SERVICE/PATH service to call for each request; may be given several times
  --journal FILE       file to append a line to before each execution, to count them after a kill
  --help               print this text
  --version            print the version

PUT /stand-in/behaviour with JSON changes service_ms, answer_bytes, status, cut (\"none\", \"length\" or \"chunked\") and calls;
the query of a request may set service_ms, answer_bytes, status and cut for that request alone.
GET /stand-in/counts returns the executions by idempotency key and by request id.
";
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_CONNECTIONS: u32 = 100;
const DEFAULT_SERVICE_MS: u64 = 1;
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn start() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("ebonyjunction-stand-in {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = read_arguments(arguments)?;
    let _logging = start_logging()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| MeshError::io("cannot start the runtime", source))?;
    runtime.block_on(run(Arc::new(StandIn::new(settings))))
}

fn read_arguments(mut arguments: Arguments) -> Result<StandInSettings> {
    let usage = |error: pico_args::Error| MeshError::Usage(error.to_string());
    let service: String = arguments.value_from_str("--service").map_err(usage)?;
    let node: SocketAddr = arguments.value_from_str("--node").map_err(usage)?;
    let listen = option(&mut arguments, "--listen")?;
    let slots = option(&mut arguments, "--slots")?;
    let connections = option(&mut arguments, "--connections")?;
    let service_ms = option(&mut arguments, "--service-ms")?;
    let answer_bytes = option(&mut arguments, "--answer-bytes")?;
    let journal: Option<PathBuf> = arguments.opt_value_from_str("--journal").map_err(usage)?;
    let calls: Vec<CallPath> = arguments.values_from_str("--call").map_err(usage)?;
    let unused = arguments.finish();
    if !unused.is_empty() {
        return Err(MeshError::Usage(format!("unknown arguments: {unused:?}")));
    }
    let default_listen = DEFAULT_LISTEN
        .parse()
        .map_err(|_| MeshError::invalid("listen", DEFAULT_LISTEN))?;
    Ok(StandInSettings {
        service,
        node,
        listen: listen.unwrap_or(default_listen),
        slots: slots.unwrap_or(DEFAULT_SLOTS),
        connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
        journal: ExecutionJournal::open(journal.as_deref())?,
        behaviour: Behaviour {
            service_ms: service_ms.unwrap_or(DEFAULT_SERVICE_MS),
            answer_bytes: answer_bytes.unwrap_or(0),
            status: 200,
            cut: CutMode::None,
            calls,
        },
    })
}

fn option<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(name)
        .map_err(|error| MeshError::Usage(error.to_string()))
}
