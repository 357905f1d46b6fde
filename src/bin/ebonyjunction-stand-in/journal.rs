//! Journal file of executions, which remains after the stand-in is killed.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use ebonyjunction::error::{MeshError, Result};

/// File with one line per execution, or `None` if no journal is kept.
#[derive(Debug)]
pub(crate) struct ExecutionJournal(Option<File>);

impl ExecutionJournal {
    /// Opens the file for appending and creates it if needed.
    pub(crate) fn open(path: Option<&Path>) -> Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose();
        let file = file.map_err(|source| MeshError::io("cannot open the journal", source))?;
        Ok(Self(file))
    }

    /// Appends a line with the Unix time in ms, the request id and the idempotency key. A single write call keeps the line
    /// whole.
    pub(crate) fn record(&self, key: Option<&str>, request_id: Option<&str>) {
        let Some(mut file) = self.0.as_ref() else {
            return;
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.unwrap_or_default().as_millis();
        let line = format!(
            "{now_ms} {} {}\n",
            request_id.unwrap_or("-"),
            key.unwrap_or("-")
        );
        if let Err(error) = file.write_all(line.as_bytes()) {
            log::error!("event=journal_failed error={error:?}");
        }
    }
}
