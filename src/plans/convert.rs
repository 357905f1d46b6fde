//! Conversion between `PlanBook` and the generated message types.

use std::time::Duration;

use bytes::Bytes;

use crate::error::{FindingList, MeshError, Result, SettingFinding};
use crate::generated::{CallerRow, GrantRow, PlanRow, PlanSet, PriorityClass as ClassMessage};
use crate::types::{CallerName, PathPrefix, PlanName, PriorityClass, ServiceName};

use super::list_file::check_references;
use super::{CallerEntry, GrantEntry, PlanBook, PlanEntry};

impl From<&PlanBook> for PlanSet {
    fn from(book: &PlanBook) -> Self {
        Self {
            version: book.version(),
            plans: book.plans().map(PlanRow::from).collect(),
            callers: book.callers().map(CallerRow::from).collect(),
            grants: book.grants().map(GrantRow::from).collect(),
        }
    }
}

impl From<&PlanEntry> for PlanRow {
    fn from(plan: &PlanEntry) -> Self {
        Self {
            name: plan.name.to_string(),
            rate_per_s: plan.rate_per_s.unwrap_or(0),
            burst: plan.burst,
            attempts: plan.attempts.into(),
        }
    }
}

impl From<&CallerEntry> for CallerRow {
    fn from(caller: &CallerEntry) -> Self {
        let digest = caller.credential_digest;
        let service = caller.service.as_ref();
        Self {
            name: caller.name.to_string(),
            plan: caller.plan.to_string(),
            credential_sha256: digest.map_or_else(Bytes::new, |digest| digest.to_vec().into()),
            service: service.map_or_else(String::new, ToString::to_string),
        }
    }
}

impl From<&GrantEntry> for GrantRow {
    fn from(grant: &GrantEntry) -> Self {
        Self {
            plan: grant.plan.to_string(),
            service: grant.service.to_string(),
            path_prefix: grant.path_prefix.to_string(),
            priority_class: ClassMessage::from(grant.class).into(),
            at_most_once: grant.at_most_once,
            deadline_ms: grant.deadline.as_millis() as u32,
        }
    }
}

impl From<PriorityClass> for ClassMessage {
    fn from(class: PriorityClass) -> Self {
        match class {
            PriorityClass::Read => Self::Read,
            PriorityClass::Interactive => Self::Interactive,
            PriorityClass::Upload => Self::Upload,
            PriorityClass::Critical => Self::Critical,
        }
    }
}

impl TryFrom<ClassMessage> for PriorityClass {
    type Error = MeshError;

    fn try_from(message: ClassMessage) -> Result<Self> {
        match message {
            ClassMessage::Read => Ok(Self::Read),
            ClassMessage::Interactive => Ok(Self::Interactive),
            ClassMessage::Upload => Ok(Self::Upload),
            ClassMessage::Critical => Ok(Self::Critical),
            ClassMessage::Unspecified => Err(MeshError::invalid("priority class", "missing")),
        }
    }
}

impl TryFrom<&PlanSet> for PlanBook {
    type Error = MeshError;

    fn try_from(set: &PlanSet) -> Result<Self> {
        let mut checker = RowChecker::default();
        let plans = checker.check_rows("plan", &set.plans, |row| row.try_into());
        let callers = checker.check_rows("caller", &set.callers, |row| row.try_into());
        let grants = checker.check_rows("grant", &set.grants, |row| row.try_into());
        for (key, message) in check_references(&plans, &callers, &grants) {
            checker.report(key, message);
        }
        let book = Self::from_entries(set.version, plans, callers, grants);
        checker.findings.into_result(Some(book))
    }
}

#[derive(Debug, Default)]
struct RowChecker {
    findings: FindingList,
}

impl RowChecker {
    fn check_rows<R, T>(
        &mut self,
        kind: &str,
        rows: &[R],
        convert: impl Fn(&R) -> Result<T>,
    ) -> Vec<T> {
        let mut entries = Vec::new();
        for (position, row) in rows.iter().enumerate() {
            match convert(row) {
                Ok(entry) => entries.push(entry),
                Err(error) => self.report(format!("{kind}[{position}]"), error.to_string()),
            }
        }
        entries
    }

    fn report(&mut self, key: String, message: String) {
        let file = "message".to_owned();
        self.findings.push(SettingFinding {
            file,
            line: 0,
            key,
            message,
        });
    }
}

impl TryFrom<&PlanRow> for PlanEntry {
    type Error = MeshError;

    fn try_from(row: &PlanRow) -> Result<Self> {
        let attempts = u8::try_from(row.attempts)
            .ok()
            .filter(|attempts| *attempts > 0);
        Ok(Self {
            name: PlanName::try_from(row.name.as_str())?,
            rate_per_s: (row.rate_per_s > 0).then_some(row.rate_per_s),
            burst: row.burst.max(1),
            attempts: attempts.ok_or_else(|| MeshError::invalid("attempts", "must be 1 to 255"))?,
        })
    }
}

impl TryFrom<&CallerRow> for CallerEntry {
    type Error = MeshError;

    fn try_from(row: &CallerRow) -> Result<Self> {
        let digest = match row.credential_sha256.as_ref() {
            [] => None,
            raw => Some(
                raw.try_into()
                    .map_err(|_| MeshError::invalid("credential digest", "must have 32 bytes"))?,
            ),
        };
        let service = match row.service.as_str() {
            "" => None,
            raw => Some(ServiceName::try_from(raw)?),
        };
        Ok(Self {
            name: CallerName::try_from(row.name.as_str())?,
            plan: PlanName::try_from(row.plan.as_str())?,
            credential_digest: digest,
            service,
        })
    }
}

impl TryFrom<&GrantRow> for GrantEntry {
    type Error = MeshError;

    fn try_from(row: &GrantRow) -> Result<Self> {
        if row.deadline_ms == 0 {
            return Err(MeshError::invalid("deadline_ms", "must be above 0"));
        }
        Ok(Self {
            plan: PlanName::try_from(row.plan.as_str())?,
            service: ServiceName::try_from(row.service.as_str())?,
            path_prefix: PathPrefix::try_from(row.path_prefix.as_str())?,
            class: PriorityClass::try_from(row.priority_class())?,
            at_most_once: row.at_most_once,
            deadline: Duration::from_millis(row.deadline_ms.into()),
        })
    }
}
