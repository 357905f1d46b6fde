//! Claims of idempotency keys. A key is granted to one attempt at a time, and not at all once its work is done.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::error::{MeshError, Result};
use crate::generated::{ClaimDecision, ClaimKey, ClaimOutcome, ClaimRow};
use crate::types::{AttemptId, CallerName, IdempotencyKey, ServiceName};

/// Key, caller and service that identify a claim. The key is the first field, so that claims sort by creation time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClaimScope {
    key: IdempotencyKey,
    caller: CallerName,
    service: ServiceName,
}

impl ClaimScope {
    pub(super) fn key(&self) -> IdempotencyKey {
        self.key
    }
}

impl TryFrom<&ClaimKey> for ClaimScope {
    type Error = MeshError;

    fn try_from(key: &ClaimKey) -> Result<Self> {
        Ok(Self {
            key: IdempotencyKey::try_from(key.key.as_ref())?,
            caller: CallerName::try_from(key.caller.as_str())?,
            service: ServiceName::try_from(key.service.as_str())?,
        })
    }
}

#[derive(Debug, Default)]
struct ClaimRecord {
    holder: Option<AttemptId>,
    is_done: bool,
    // Attempts that may no longer claim the key.
    released: BTreeSet<AttemptId>,
}

#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    records: BTreeMap<ClaimScope, ClaimRecord>,
    // Keys that were created before this time are expired.
    created_before_ms: u64,
}

impl ClaimTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn created_before_ms(&self) -> u64 {
        self.created_before_ms
    }

    pub(super) fn oldest_ms(&self) -> Option<u64> {
        let (scope, _) = self.records.first_key_value()?;
        Some(scope.key.created_ms())
    }

    /// Grants the key to the attempt if no other attempt holds it. A repeated claim of the holder is granted again, since
    /// the first reply may have been lost.
    pub(super) fn claim(
        &mut self,
        scope: ClaimScope,
        attempt: AttemptId,
    ) -> (ClaimDecision, AttemptId) {
        if self.is_expired(&scope) {
            return (ClaimDecision::Expired, attempt);
        }
        let record = self.records.entry(scope).or_default();
        if record.is_done {
            return (ClaimDecision::AlreadyDone, record.holder.unwrap_or(attempt));
        }
        if record.released.contains(&attempt) {
            return (ClaimDecision::Released, attempt);
        }
        match record.holder {
            Some(holder) if holder != attempt => (ClaimDecision::InProgress, holder),
            _ => {
                record.holder = Some(attempt);
                (ClaimDecision::Granted, attempt)
            }
        }
    }

    /// Records the outcome of an attempt. Work that is done is never released. If an attempt reports its work done while
    /// no attempt holds the key, it becomes the holder, so that the key is not granted again.
    pub(super) fn settle(&mut self, scope: ClaimScope, attempt: AttemptId, outcome: ClaimOutcome) {
        if self.is_expired(&scope) || outcome == ClaimOutcome::Unspecified {
            return;
        }
        let record = self.records.entry(scope).or_default();
        if record.is_done {
            return;
        }
        if outcome == ClaimOutcome::Done {
            record.is_done = record.holder.is_none_or(|holder| holder == attempt);
            record.holder.get_or_insert(attempt);
            return;
        }
        record.released.insert(attempt);
        if record.holder == Some(attempt) {
            record.holder = None;
        }
    }

    /// Removes claims whose keys were created before `created_before_ms`, and answers later claims of such keys
    /// with `Expired`.
    pub(super) fn expire(&mut self, created_before_ms: u64) {
        self.created_before_ms = self.created_before_ms.max(created_before_ms);
        while let Some(entry) = self.records.first_entry() {
            if entry.key().key.created_ms() >= self.created_before_ms {
                break;
            }
            entry.remove();
        }
    }

    pub(super) fn rows(&self) -> Vec<ClaimRow> {
        self.records.iter().map(to_row).collect()
    }

    pub(super) fn from_rows(rows: &[ClaimRow], created_before_ms: u64) -> Result<Self> {
        let mut records = BTreeMap::new();
        for row in rows {
            let key = row.key.as_ref();
            let key = key.ok_or_else(|| MeshError::invalid("claim row", "has no key"))?;
            records.insert(ClaimScope::try_from(key)?, ClaimRecord::try_from(row)?);
        }
        Ok(Self {
            records,
            created_before_ms,
        })
    }

    fn is_expired(&self, scope: &ClaimScope) -> bool {
        scope.key.created_ms() < self.created_before_ms
    }
}

impl TryFrom<&ClaimRow> for ClaimRecord {
    type Error = MeshError;

    fn try_from(row: &ClaimRow) -> Result<Self> {
        let holder = match row.attempt_id.as_ref() {
            [] => None,
            raw => Some(AttemptId::try_from(raw)?),
        };
        let released = row.released_attempt_ids.iter();
        Ok(Self {
            holder,
            is_done: row.outcome() == ClaimOutcome::Done,
            released: released
                .map(|raw| AttemptId::try_from(raw.as_ref()))
                .collect::<Result<_>>()?,
        })
    }
}

fn to_row((scope, record): (&ClaimScope, &ClaimRecord)) -> ClaimRow {
    let outcome = if record.is_done {
        ClaimOutcome::Done
    } else {
        ClaimOutcome::Unspecified
    };
    let holder = record.holder.as_ref();
    ClaimRow {
        key: Some(ClaimKey {
            caller: scope.caller.to_string(),
            service: scope.service.to_string(),
            key: Bytes::copy_from_slice(scope.key.as_bytes()),
        }),
        attempt_id: holder.map_or_else(Bytes::new, id_bytes),
        outcome: outcome.into(),
        released_attempt_ids: record.released.iter().map(id_bytes).collect(),
    }
}

fn id_bytes(attempt: &AttemptId) -> Bytes {
    Bytes::copy_from_slice(attempt.as_bytes())
}
