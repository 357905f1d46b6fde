//! Settings of the operator command.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::error::Result;
use crate::toml_reader::{SourceText, TableReader};

use super::{MeshToken, parse_settings, read_settings_file};

/// Validated settings of `ebonyjunction`.
#[derive(Debug, Clone)]
pub struct OperatorConfig {
    /// Addresses of control replicas.
    pub control: Vec<SocketAddr>,
    /// Secret shared by the processes of the mesh.
    pub mesh_token: MeshToken,
    /// Folder that stores the id of a change before the change is sent, so that it can be resent.
    pub change_folder: PathBuf,
}

impl OperatorConfig {
    /// Reads, parses and validates a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = read_settings_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a settings file. Findings name `file` and the line.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        parse_settings(SourceText { file, text }, read_operator)
    }
}

fn read_operator(reader: &mut TableReader<'_, '_>) -> Option<OperatorConfig> {
    let control = reader.required_addresses("control");
    let mesh_token = reader.required("mesh_token");
    let change_folder = reader.required_text("change_folder").map(PathBuf::from);
    Some(OperatorConfig {
        control,
        mesh_token: mesh_token?,
        change_folder: change_folder?,
    })
}
