//! The operator command: validates, compares and applies the lists of plans and grants, and shows the state of the mesh.

mod apply;
mod arguments;
mod change_folder;
mod explain;
mod lists;
mod losses;
mod status;
mod table;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use crate::config::OperatorConfig;
use crate::control_client::ControlClient;
use crate::error::{MeshError, Result};

use arguments::{Action, CommandLine, HELP};

const EXIT_CONFLICT: u8 = 3;

/// Outcome of an action, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Failed,
    BadInput,
    Conflict,
}

impl Outcome {
    const fn exit_code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Conflict => EXIT_CONFLICT,
        }
    }
}

/// Runs the command with the arguments after the program name and returns its exit code: 0 for success, 1 for a
/// failed operation, 2 for bad input, 3 for a conflict.
pub fn run_command(arguments: Vec<OsString>) -> ExitCode {
    let code = match CommandLine::parse(arguments).and_then(run) {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    };
    ExitCode::from(code)
}

fn run(line: CommandLine) -> Result<Outcome> {
    match &line.action {
        Action::Help => return print(HELP),
        Action::Version => {
            return print(concat!("ebonyjunction ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        Action::Check(files) => return lists::check(files),
        Action::Losses(options) => return losses::losses(options),
        _ => {}
    }
    let Some(path) = &line.settings else {
        return Err(MeshError::Usage("--settings FILE is required".to_owned()));
    };
    let config = OperatorConfig::load(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| MeshError::io("cannot start the runtime", source))?;
    runtime.block_on(run_remote(line.action, config))
}

async fn run_remote(action: Action, config: OperatorConfig) -> Result<Outcome> {
    let client = ControlClient::new(config.control.clone(), config.mesh_token.clone());
    match action {
        Action::Diff(files) => lists::diff(&client, &config, &files).await,
        Action::Apply(options) => apply::apply(&client, &config, &options).await,
        Action::Show => lists::show(&client, &config).await,
        Action::Status => status::show(&client).await,
        Action::Explain(request_id) => explain::explain(&client, &config, request_id).await,
        Action::Help | Action::Version | Action::Check(_) | Action::Losses(_) => Ok(Outcome::Done),
    }
}

/// Writes to standard output. A closed pipe returns an error, where `print!` would panic.
fn print(text: &str) -> Result<Outcome> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(|source| MeshError::io("cannot write to standard output", source))?;
    Ok(Outcome::Done)
}
