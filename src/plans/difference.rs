//! Differences between two versions of the plan and grant lists.

use std::collections::BTreeMap;
use std::fmt;

use super::PlanBook;

/// Rows that were added, removed or changed, with one line of text for each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanDifference {
    /// One line per row, starting with `+` (added), `-` (removed) or `~` (changed).
    pub lines: Vec<String>,
}

impl fmt::Display for PlanDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}

/// Compares two books row by row.
pub fn diff_books(old: &PlanBook, new: &PlanBook) -> PlanDifference {
    let old_rows = describe_rows(old);
    let new_rows = describe_rows(new);
    let mut lines = Vec::new();
    for (key, old_row) in &old_rows {
        match new_rows.get(key) {
            None => lines.push(format!("- {key} {old_row}")),
            Some(new_row) if new_row != old_row => {
                lines.push(format!("~ {key} {old_row} -> {new_row}"));
            }
            Some(_) => {}
        }
    }
    for (key, new_row) in &new_rows {
        if !old_rows.contains_key(key) {
            lines.push(format!("+ {key} {new_row}"));
        }
    }
    PlanDifference { lines }
}

fn describe_rows(book: &PlanBook) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for plan in book.plans() {
        let rate = plan
            .rate_per_s
            .map_or_else(|| "unlimited".to_owned(), |rate| rate.to_string());
        let row = format!(
            "rate_per_s={rate} burst={} attempts={}",
            plan.burst, plan.attempts
        );
        rows.insert(format!("plan {}", plan.name), row);
    }
    for caller in book.callers() {
        let digest = caller.credential_digest.map(|digest| encode_hex(&digest));
        let row = format!(
            "plan={} credential_sha256={} service={}",
            caller.plan,
            digest.as_deref().unwrap_or("-"),
            caller
                .service
                .as_ref()
                .map_or("-", |service| service.as_str()),
        );
        rows.insert(format!("caller {}", caller.name), row);
    }
    for grant in book.grants() {
        let row = format!(
            "class={} at_most_once={} deadline_ms={}",
            grant.class,
            grant.at_most_once,
            grant.deadline.as_millis(),
        );
        let key = format!(
            "grant {} {}{}",
            grant.plan, grant.service, grant.path_prefix
        );
        rows.insert(key, row);
    }
    rows
}

/// Writes bytes as lower-case hexadecimal text.
pub(crate) fn encode_hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}
