//! The `losses` action: reads log lines and prints where requests were lost.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, stdin};
use std::path::{Path, PathBuf};

use crate::error::{MeshError, Result};
use crate::losses::{LossTally, draw_chart};

use super::{Outcome, print};

/// Name that stands for standard input.
const STDIN_NAME: &str = "-";

#[derive(Debug)]
pub(super) struct LossOptions {
    pub(super) files: Vec<PathBuf>,
    pub(super) chart: Option<PathBuf>,
}

pub(super) fn losses(options: &LossOptions) -> Result<Outcome> {
    let mut tally = LossTally::default();
    for path in &options.files {
        read_lines(path, &mut tally)?;
    }
    let report = tally.finish();
    if report.is_empty() {
        eprintln!("the input holds no readable log line");
        return Ok(Outcome::BadInput);
    }
    if let Some(path) = &options.chart {
        draw_chart(&report, path)?;
    }
    print(&report.to_string())
}

fn read_lines(path: &Path, tally: &mut LossTally) -> Result<()> {
    let read_failed = |source| MeshError::ReadFile {
        path: path.display().to_string(),
        source,
    };
    let input: Box<dyn Read> = if path == Path::new(STDIN_NAME) {
        Box::new(stdin())
    } else {
        Box::new(File::open(path).map_err(read_failed)?)
    };
    let mut lines = BufReader::new(input);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if lines.read_until(b'\n', &mut bytes).map_err(read_failed)? == 0 {
            return Ok(());
        }
        tally.add(String::from_utf8_lossy(&bytes).trim_end());
    }
}
