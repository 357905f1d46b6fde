//! Log of the decisions made for each request. The lines of recent requests are kept for `explain`.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Write};
use std::sync::{Mutex, PoisonError};

use crate::types::RequestId;

/// Number of recent requests whose decisions are kept for `explain`.
pub const KEPT_REQUESTS: usize = 4_096;
// A request that retries at every hop stays below this number. Without a limit one request could use up the memory.
const MAX_LINES_PER_REQUEST: usize = 64;
const LINE_CAPACITY_BYTES: usize = 160;

/// Writes one log line for each decision and keeps the lines of recent requests.
#[derive(Debug, Default)]
pub struct DecisionLog {
    recent: Mutex<RecentDecisions>,
}

#[derive(Debug, Default)]
struct RecentDecisions {
    lines: BTreeMap<RequestId, Vec<String>>,
    order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs one decision and keeps it for `explain`.
    pub fn record(
        &self,
        request_id: RequestId,
        event: &'static str,
        fields: &[(&'static str, &dyn Display)],
    ) {
        let line = format_line(request_id, event, fields);
        log::info!("{line}");
        self.keep(request_id, line);
    }

    /// Returns the kept decisions of a request, oldest first.
    pub fn explain(&self, request_id: RequestId) -> Vec<String> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.lines.get(&request_id).cloned().unwrap_or_default()
    }

    fn keep(&self, request_id: RequestId, line: String) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lines) = recent.lines.get_mut(&request_id) {
            if lines.len() < MAX_LINES_PER_REQUEST {
                lines.push(line);
            }
            return;
        }
        if recent.order.len() >= KEPT_REQUESTS
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.lines.remove(&oldest);
        }
        recent.order.push_back(request_id);
        recent.lines.insert(request_id, vec![line]);
    }
}

fn format_line(
    request_id: RequestId,
    event: &'static str,
    fields: &[(&'static str, &dyn Display)],
) -> String {
    let mut line = String::with_capacity(LINE_CAPACITY_BYTES);
    // Writing to a String cannot fail.
    let _ = write!(line, "event={event} request_id={request_id}");
    for (key, value) in fields {
        let _ = write!(line, " {key}=");
        let _ = write_value(&mut line, *value);
    }
    line
}

fn write_value(line: &mut String, value: &dyn Display) -> fmt::Result {
    let start = line.len();
    write!(line, "{value}")?;
    let written = &line[start..];
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"';
    if !written.is_empty() && written.bytes().all(is_plain) {
        return Ok(());
    }
    let quoted = format!("{written:?}");
    line.truncate(start);
    line.push_str(&quoted);
    Ok(())
}
