//! Command-line arguments of the operator command.

use std::ffi::OsString;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::error::{MeshError, Result};
use crate::types::RequestId;

use super::losses::LossOptions;

pub(super) const HELP: &str = "\
Edits the lists of plans and grants and shows the state of the mesh.

Usage: ebonyjunction [--settings FILE] ACTION

Actions:
  plans check --plans FILE --grants FILE    check both lists; needs no settings
  plans diff  --plans FILE --grants FILE    compare the files with the lists in force
  plans apply --plans FILE --grants FILE    put the lists in the files in force
  plans show                                print the lists in force
  status                                    print replicas and nodes
  explain REQUEST-ID                        print the decisions made for a request
  losses FILE...                            print where requests were lost, from the log lines of
                                            nodes and replicas; - reads standard input

Options:
  --settings FILE   settings of the operator (TOML)
  --base VERSION    version that the edit was made from; by default the version that this
                    operator last saw with plans show, diff or apply, else the one in force
  --svg FILE        after losses: also draw the outcomes over time
  --wait            after apply: wait until all nodes have the version, at most 30 s
  --help            print this text
  --version         print the version

Exit codes: 0 success, 1 operation failed, 2 bad input, 3 conflict.
";

/// Paths of the two list files.
#[derive(Debug)]
pub(super) struct ListPaths {
    pub(super) plans: PathBuf,
    pub(super) grants: PathBuf,
}

#[derive(Debug)]
pub(super) struct ApplyOptions {
    pub(super) files: ListPaths,
    pub(super) base_version: Option<u64>,
    pub(super) is_waiting: bool,
}

#[derive(Debug)]
pub(super) enum Action {
    Help,
    Version,
    Check(ListPaths),
    Diff(ListPaths),
    Apply(ApplyOptions),
    Show,
    Status,
    Explain(RequestId),
    Losses(LossOptions),
}

#[derive(Debug)]
pub(super) struct CommandLine {
    pub(super) settings: Option<PathBuf>,
    pub(super) action: Action,
}

impl CommandLine {
    pub(super) fn parse(arguments: Vec<OsString>) -> Result<Self> {
        let mut parser = Arguments::from_vec(arguments);
        if parser.contains("--help") {
            return Ok(Self::without_settings(Action::Help));
        }
        if parser.contains("--version") {
            return Ok(Self::without_settings(Action::Version));
        }
        let settings = path_option(&mut parser, "--settings")?;
        let plans = path_option(&mut parser, "--plans")?;
        let grants = path_option(&mut parser, "--grants")?;
        let base_version = parser
            .opt_value_from_str("--base")
            .map_err(|e| parser_error(&e))?;
        let chart = path_option(&mut parser, "--svg")?;
        let is_waiting = parser.contains("--wait");
        let words = positional_arguments(parser)?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let has_files = plans.is_some() || grants.is_some();
        let action = match words.as_slice() {
            ["plans", "check"] => Action::Check(list_paths(plans, grants)?),
            ["plans", "diff"] => Action::Diff(list_paths(plans, grants)?),
            ["plans", "apply"] => Action::Apply(ApplyOptions {
                files: list_paths(plans, grants)?,
                base_version,
                is_waiting,
            }),
            _ if has_files => return Err(usage_error("this action takes no list files")),
            ["losses"] => return Err(usage_error("losses needs at least one file, or -")),
            ["losses", files @ ..] => Action::Losses(LossOptions {
                files: files.iter().map(PathBuf::from).collect(),
                chart: chart.clone(),
            }),
            ["plans", "show"] => Action::Show,
            ["status"] => Action::Status,
            ["explain", request_id] => Action::Explain(parse_request_id(request_id)?),
            [] => return Err(usage_error("an action is required; see --help")),
            other => {
                return Err(usage_error(&format!(
                    "unknown action {:?}; see --help",
                    other.join(" ")
                )));
            }
        };
        if !matches!(action, Action::Apply(_)) && (is_waiting || base_version.is_some()) {
            return Err(usage_error("--wait and --base belong to plans apply"));
        }
        if chart.is_some() && !matches!(action, Action::Losses(_)) {
            return Err(usage_error("--svg belongs to losses"));
        }
        Ok(Self { settings, action })
    }

    const fn without_settings(action: Action) -> Self {
        Self {
            settings: None,
            action,
        }
    }
}

fn path_option(parser: &mut Arguments, name: &'static str) -> Result<Option<PathBuf>> {
    parser
        .opt_value_from_os_str(name, |raw| {
            Ok::<_, std::convert::Infallible>(PathBuf::from(raw))
        })
        .map_err(|error| parser_error(&error))
}

fn positional_arguments(parser: Arguments) -> Result<Vec<String>> {
    let mut words = Vec::new();
    for word in parser.finish() {
        let word = word.to_string_lossy().into_owned();
        if word.starts_with('-') && word != "-" {
            return Err(usage_error(&format!("unknown option {word}; see --help")));
        }
        words.push(word);
    }
    Ok(words)
}

fn list_paths(plans: Option<PathBuf>, grants: Option<PathBuf>) -> Result<ListPaths> {
    match (plans, grants) {
        (Some(plans), Some(grants)) => Ok(ListPaths { plans, grants }),
        _ => Err(usage_error("--plans FILE and --grants FILE are required")),
    }
}

fn parse_request_id(raw: &str) -> Result<RequestId> {
    RequestId::try_from(raw).map_err(|error| usage_error(&error.to_string()))
}

fn parser_error(error: &pico_args::Error) -> MeshError {
    MeshError::Usage(error.to_string())
}

fn usage_error(detail: &str) -> MeshError {
    MeshError::Usage(detail.to_owned())
}
