//! The actions `plans check`, `plans diff` and `plans show`.

use std::fmt::Write as _;
use std::path::Path;

use crate::config::OperatorConfig;
use crate::control_client::ControlClient;
use crate::error::{MeshError, Result};
use crate::plans::{ListFiles, PlanBook, diff_books, read_lists};

use super::arguments::ListPaths;
use super::change_folder::ChangeFolder;
use super::table::TextTable;
use super::{Outcome, print};

pub(super) fn check(files: &ListPaths) -> Result<Outcome> {
    let book = read_book(files)?;
    print(&format!(
        "ok: {} plans, {} callers, {} grants\n",
        book.plans().count(),
        book.callers().count(),
        book.grants().count(),
    ))
}

pub(super) async fn diff(
    client: &ControlClient,
    config: &OperatorConfig,
    files: &ListPaths,
) -> Result<Outcome> {
    let wanted = read_book(files)?;
    let current = fetch_book(client).await?;
    ChangeFolder::open(&config.change_folder)?.record_version(current.version())?;
    print(&describe_difference(&current, &wanted))
}

pub(super) async fn show(client: &ControlClient, config: &OperatorConfig) -> Result<Outcome> {
    let book = fetch_book(client).await?;
    ChangeFolder::open(&config.change_folder)?.record_version(book.version())?;
    print(&describe_book(&book))
}

pub(super) fn read_book(files: &ListPaths) -> Result<PlanBook> {
    let plans_text = read_file(&files.plans)?;
    let grants_text = read_file(&files.grants)?;
    read_lists(ListFiles {
        plans_file: &files.plans.display().to_string(),
        plans_text: &plans_text,
        grants_file: &files.grants.display().to_string(),
        grants_text: &grants_text,
    })
}

pub(super) async fn fetch_book(client: &ControlClient) -> Result<PlanBook> {
    let reply = client.show_plans().await?;
    PlanBook::try_from(&reply.plans.unwrap_or_default())
}

pub(super) fn describe_difference(current: &PlanBook, wanted: &PlanBook) -> String {
    let difference = diff_books(current, wanted);
    if difference.lines.is_empty() {
        return format!("no difference from version {}\n", current.version());
    }
    format!("changes to version {}:\n{difference}", current.version())
}

fn describe_book(book: &PlanBook) -> String {
    let mut text = format!("version {}\n", book.version());
    let mut plans = TextTable::new(&["PLAN", "RATE_PER_S", "BURST", "ATTEMPTS"]);
    for plan in book.plans() {
        let rate = plan.rate_per_s;
        plans.push(vec![
            plan.name.to_string(),
            rate.map_or_else(|| "unlimited".to_owned(), |rate| rate.to_string()),
            plan.burst.to_string(),
            plan.attempts.to_string(),
        ]);
    }
    let mut callers = TextTable::new(&["CALLER", "PLAN", "SERVICE", "CREDENTIAL_SHA256"]);
    for caller in book.callers() {
        let service = caller.service.as_ref();
        let digest = caller.credential_digest.as_ref();
        callers.push(vec![
            caller.name.to_string(),
            caller.plan.to_string(),
            service.map_or_else(|| "-".to_owned(), ToString::to_string),
            digest.map_or_else(|| "-".to_owned(), |digest| crate::plans::encode_hex(digest)),
        ]);
    }
    let mut grants = TextTable::new(&["GRANT", "TARGET", "CLASS", "AT_MOST_ONCE", "DEADLINE_MS"]);
    for grant in book.grants() {
        grants.push(vec![
            grant.plan.to_string(),
            format!("{}{}", grant.service, grant.path_prefix),
            grant.class.to_string(),
            grant.at_most_once.to_string(),
            grant.deadline.as_millis().to_string(),
        ]);
    }
    for table in [plans, callers, grants] {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n{}", table.render());
    }
    text
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| MeshError::ReadFile {
        path: path.display().to_string(),
        source,
    })
}
