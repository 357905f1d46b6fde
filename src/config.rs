//! Validated settings of each program, parsed from a TOML file.

mod control;
mod node;
mod operator;

use std::path::Path;

use crate::error::{MeshError, Result};
use crate::toml_reader::{SourceText, TableReader};

pub use control::{ControlConfig, PeerEntry};
pub use node::{NodeConfig, StalePlans};
pub use operator::OperatorConfig;

const MIN_TOKEN_BYTES: usize = 16;
const MAX_TOKEN_BYTES: usize = 256;
const DEFAULT_STOP_TIMEOUT_S: u64 = 10;
const MAX_STOP_TIMEOUT_S: u64 = 600;

/// Shared secret with which the processes of one mesh authenticate to each other.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshToken(String);

impl MeshToken {
    /// Returns the token as it is sent in headers.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for MeshToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MeshToken(..)")
    }
}

impl TryFrom<&str> for MeshToken {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        let is_valid = (MIN_TOKEN_BYTES..=MAX_TOKEN_BYTES).contains(&raw.len())
            && raw.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid {
            let detail =
                format!("must be {MIN_TOKEN_BYTES} to {MAX_TOKEN_BYTES} printable characters");
            return Err(MeshError::invalid("mesh token", detail));
        }
        Ok(Self(raw.to_owned()))
    }
}

fn read_settings_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| MeshError::ReadFile {
        path: path.display().to_string(),
        source,
    })
}

fn parse_settings<T>(
    source: SourceText<'_>,
    read: impl FnOnce(&mut TableReader<'_, '_>) -> Option<T>,
) -> Result<T> {
    let mut findings = crate::error::FindingList::default();
    let table = source.parse(&mut findings);
    let mut reader = TableReader::new(source, &table, &mut findings);
    let value = read(&mut reader);
    reader.finish();
    findings.into_result(value)
}
