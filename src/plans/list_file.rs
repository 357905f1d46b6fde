//! Reads the plan and grant lists from TOML files and validates them, including the references between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::error::{FindingList, MeshError, Result, SettingFinding};
use crate::toml_reader::{SourceText, TableReader};

use super::book::DIGEST_BYTES;
use super::{CallerEntry, GrantEntry, PlanBook, PlanEntry};

const DEFAULT_ATTEMPTS: u64 = 32;
const MAX_ATTEMPTS: u64 = 255;
const MAX_RATE_PER_S: u64 = 10_000_000;
const MAX_BURST: u64 = 1_000_000;
const DEFAULT_DEADLINE_MS: u64 = 2_000;
const MAX_DEADLINE_MS: u64 = 600_000;

/// Names and texts of the two list files.
#[derive(Debug, Clone, Copy)]
pub struct ListFiles<'a> {
    /// File name of the list of plans and callers.
    pub plans_file: &'a str,
    /// Text of the list of plans and callers.
    pub plans_text: &'a str,
    /// File name of the list of grants.
    pub grants_file: &'a str,
    /// Text of the list of grants.
    pub grants_text: &'a str,
}

// File and line of each row, for findings about references between rows.
type RowPlaces = BTreeMap<String, (String, usize)>;

/// Parses and validates both lists. The error contains all findings.
pub fn read_lists(files: ListFiles<'_>) -> Result<PlanBook> {
    let mut findings = FindingList::default();
    let mut places = RowPlaces::new();
    let plans_source = SourceText {
        file: files.plans_file,
        text: files.plans_text,
    };
    let grants_source = SourceText {
        file: files.grants_file,
        text: files.grants_text,
    };
    let (plans, callers) = read_plans(plans_source, &mut findings, &mut places);
    let grants = read_grants(grants_source, &mut findings, &mut places);
    for (key, message) in check_references(&plans, &callers, &grants) {
        let (file, line) = places.get(&key).cloned().unwrap_or_default();
        findings.push(SettingFinding {
            file,
            line,
            key,
            message,
        });
    }
    findings.into_result(Some(PlanBook::from_entries(0, plans, callers, grants)))
}

fn read_plans(
    source: SourceText<'_>,
    findings: &mut FindingList,
    places: &mut RowPlaces,
) -> (Vec<PlanEntry>, Vec<CallerEntry>) {
    let table = source.parse(findings);
    let mut reader = TableReader::new(source, &table, findings);
    let mut plans = Vec::new();
    let mut callers = Vec::new();
    reader.each_table("plan", |row| {
        places.insert(
            format!("plan[{}]", plans.len()),
            (source.file.to_owned(), row.line()),
        );
        plans.extend(read_plan(row));
    });
    reader.each_table("caller", |row| {
        places.insert(
            format!("caller[{}]", callers.len()),
            (source.file.to_owned(), row.line()),
        );
        callers.extend(read_caller(row));
    });
    reader.finish();
    (plans, callers)
}

fn read_plan(row: &mut TableReader<'_, '_>) -> Option<PlanEntry> {
    let name = row.required("name");
    let rate = row.required_integer("rate_per_s", 0..=MAX_RATE_PER_S);
    let default_burst = rate.unwrap_or(0).clamp(1, MAX_BURST);
    let burst = row.integer("burst", 1..=MAX_BURST, default_burst);
    let attempts = row.integer("attempts", 1..=MAX_ATTEMPTS, DEFAULT_ATTEMPTS);
    let rate = rate? as u32;
    Some(PlanEntry {
        name: name?,
        rate_per_s: (rate > 0).then_some(rate),
        burst: burst as u32,
        attempts: attempts as u8,
    })
}

fn read_caller(row: &mut TableReader<'_, '_>) -> Option<CallerEntry> {
    let name = row.required("name");
    let plan = row.required("plan");
    let service = row.optional("service");
    let digest = row.optional::<CredentialDigest>("credential_sha256");
    if service.is_none() && digest.is_none() {
        row.report(
            "credential_sha256",
            "a caller needs credential_sha256 or service",
        );
        return None;
    }
    Some(CallerEntry {
        name: name?,
        plan: plan?,
        credential_digest: digest.map(|digest| digest.0),
        service,
    })
}

fn read_grants(
    source: SourceText<'_>,
    findings: &mut FindingList,
    places: &mut RowPlaces,
) -> Vec<GrantEntry> {
    let table = source.parse(findings);
    let mut reader = TableReader::new(source, &table, findings);
    let mut grants = Vec::new();
    reader.each_table("grant", |row| {
        places.insert(
            format!("grant[{}]", grants.len()),
            (source.file.to_owned(), row.line()),
        );
        grants.extend(read_grant(row));
    });
    reader.finish();
    grants
}

fn read_grant(row: &mut TableReader<'_, '_>) -> Option<GrantEntry> {
    let plan = row.required("plan");
    let service = row.required("service");
    let path_prefix = row.required("path_prefix");
    let class = row.required("class");
    let at_most_once = row.boolean("at_most_once", false);
    let deadline_ms = row.integer("deadline_ms", 1..=MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    Some(GrantEntry {
        plan: plan?,
        service: service?,
        path_prefix: path_prefix?,
        class: class?,
        at_most_once,
        deadline: Duration::from_millis(deadline_ms),
    })
}

/// Checks that names are unique and that callers and grants refer to plans that exist.
pub(super) fn check_references(
    plans: &[PlanEntry],
    callers: &[CallerEntry],
    grants: &[GrantEntry],
) -> Vec<(String, String)> {
    let mut problems = Vec::new();
    let mut plan_names = BTreeSet::new();
    for (position, plan) in plans.iter().enumerate() {
        if !plan_names.insert(&plan.name) {
            problems.push((
                format!("plan[{position}]"),
                format!("duplicate plan {}", plan.name),
            ));
        }
    }
    check_callers(callers, &plan_names, &mut problems);
    let mut prefixes = BTreeSet::new();
    for (position, grant) in grants.iter().enumerate() {
        let key = format!("grant[{position}]");
        if !plan_names.contains(&grant.plan) {
            problems.push((key.clone(), format!("plan {} is not listed", grant.plan)));
        }
        if !prefixes.insert((&grant.plan, &grant.service, &grant.path_prefix)) {
            let message = format!(
                "duplicate grant of {} for {}{}",
                grant.plan, grant.service, grant.path_prefix
            );
            problems.push((key, message));
        }
    }
    problems
}

fn check_callers<'a>(
    callers: &'a [CallerEntry],
    plan_names: &BTreeSet<&'a crate::types::PlanName>,
    problems: &mut Vec<(String, String)>,
) {
    let mut names = BTreeSet::new();
    let mut digests = BTreeSet::new();
    let mut services = BTreeSet::new();
    for (position, caller) in callers.iter().enumerate() {
        let mut report = |message: String| problems.push((format!("caller[{position}]"), message));
        if !names.insert(&caller.name) {
            report(format!("duplicate caller {}", caller.name));
        }
        if caller
            .credential_digest
            .is_some_and(|digest| !digests.insert(digest))
        {
            report("another caller has the same credential".to_owned());
        }
        if caller
            .service
            .as_ref()
            .is_some_and(|service| !services.insert(service))
        {
            report("another caller stands for the same service".to_owned());
        }
        if !plan_names.contains(&caller.plan) {
            report(format!("plan {} is not listed", caller.plan));
        }
    }
}

#[derive(Debug)]
struct CredentialDigest([u8; DIGEST_BYTES]);

impl TryFrom<&str> for CredentialDigest {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        let error = || MeshError::invalid("credential digest", "must have 64 hexadecimal digits");
        if raw.len() != 2 * DIGEST_BYTES || !raw.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let pair = &raw[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}
