//! Conversion of the generated messages to a `RouteBook`. The error contains all findings.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::error::{FindingList, MeshError, Result, SettingFinding};
use crate::generated::{
    RepeatKind as KindMessage, RouteLimits as LimitsMessage, RouteRow, RouteService, RouteSet,
};
use crate::types::ServiceName;

use super::book::{
    RepeatKind, RouteBook, RouteEntry, RouteLimits, RoutePart, ServiceEntry, host_key,
};

/// Longest timeout that a route may have.
const MAX_TIMEOUT: Duration = Duration::from_mins(10);
/// Excess of the objective over the timeout from which it is rejected, as it is likely given in the wrong unit.
const MAX_OBJECTIVE_EXCESS: Duration = Duration::from_mins(1);
/// File name reported in findings about the routes document.
const SOURCE: &str = "routes";

/// Returns the digest that identifies a document, to detect that it was sent before.
pub fn document_digest(document: &[u8]) -> Vec<u8> {
    Sha256::digest(document).to_vec()
}

impl TryFrom<&RouteSet> for RouteBook {
    type Error = MeshError;

    fn try_from(set: &RouteSet) -> Result<Self> {
        let mut findings = FindingList::default();
        let services = read_services(&set.services, &mut findings);
        let mut places = BTreeSet::new();
        let mut routes = Vec::with_capacity(set.routes.len());
        for row in &set.routes {
            let mut check = RowCheck {
                row,
                findings: &mut findings,
            };
            if !places.insert((host_key(&row.host), row.prefix.as_str())) {
                check.report("prefix", "another route has the same host and prefix");
            }
            routes.extend(check.read(&services));
        }
        if set.version == 0 {
            report(&mut findings, "version", "must be above 0");
        }
        let limits = set.limits.as_ref().map(read_limits).unwrap_or_default();
        let book = Self::new(set.version, routes, services, limits);
        findings.into_result(Some(book))
    }
}

fn report(findings: &mut FindingList, key: impl Into<String>, message: impl Into<String>) {
    findings.push(SettingFinding {
        file: SOURCE.to_owned(),
        line: 1,
        key: key.into(),
        message: message.into(),
    });
}

fn read_services(
    services: &[RouteService],
    findings: &mut FindingList,
) -> BTreeMap<ServiceName, ServiceEntry> {
    let mut entries = BTreeMap::new();
    for service in services {
        match ServiceName::try_from(service.name.as_str()) {
            Ok(name) => {
                let entry = ServiceEntry {
                    connections: service.connections,
                    health_path: service.health_path.clone(),
                };
                entries.insert(name, entry);
            }
            Err(error) => report(
                findings,
                format!("services.{}", service.name),
                error.to_string(),
            ),
        }
    }
    entries
}

fn read_limits(limits: &LimitsMessage) -> RouteLimits {
    let default = RouteLimits::default();
    let or_default = |millis: u32, default: Duration| match millis {
        0 => default,
        millis => Duration::from_millis(millis.into()),
    };
    RouteLimits {
        header_bytes: match limits.header_bytes {
            0 => default.header_bytes,
            bytes => bytes as usize,
        },
        body_bytes: match limits.body_bytes {
            0 => default.body_bytes,
            bytes => bytes,
        },
        header_timeout: or_default(limits.header_timeout_ms, default.header_timeout),
        idle_timeout: or_default(limits.idle_timeout_ms, default.idle_timeout),
    }
}

struct RowCheck<'a> {
    row: &'a RouteRow,
    findings: &'a mut FindingList,
}

impl RowCheck<'_> {
    fn report(&mut self, field: &str, message: &str) {
        let key = format!("routes.{}.{field}", self.row.name);
        report(self.findings, key, message);
    }

    fn read(&mut self, services: &BTreeMap<ServiceName, ServiceEntry>) -> Option<RouteEntry> {
        let row = self.row;
        let timeout = Duration::from_millis(row.timeout_ms.into());
        let objective = Duration::from_millis(row.objective_ms.into());
        if timeout.is_zero() {
            self.report("timeout", "must be above 0");
        }
        if timeout > MAX_TIMEOUT {
            self.report("timeout", "must be at most ten minutes");
        }
        if objective >= timeout + MAX_OBJECTIVE_EXCESS {
            self.report("objective", "must be less than a minute above the timeout");
        }
        if !row.prefix.starts_with('/') {
            self.report("prefix", "must begin with a slash");
        }
        if row.host.is_empty() {
            self.report("host", "is required");
        }
        let repeat_kind = match row.repeat_kind() {
            KindMessage::Idempotent => RepeatKind::Idempotent,
            KindMessage::AtMostOnce => RepeatKind::AtMostOnce,
            KindMessage::Unspecified => {
                self.report("kind", "is missing or unknown");
                return None;
            }
        };
        Some(RouteEntry {
            name: row.name.clone(),
            host: host_key(&row.host).into_owned(),
            prefix: row.prefix.clone(),
            repeat_kind,
            attempts: row.attempts.max(1),
            timeout,
            objective: if objective.is_zero() {
                timeout
            } else {
                objective
            },
            urgency: row.urgency,
            parts: self.read_parts(services),
        })
    }

    fn read_parts(&mut self, services: &BTreeMap<ServiceName, ServiceEntry>) -> Vec<RoutePart> {
        let mut parts = Vec::with_capacity(self.row.parts.len());
        for part in &self.row.parts {
            let name = ServiceName::try_from(part.service.as_str()).ok();
            let Some(service) = name.filter(|name| services.contains_key(name)) else {
                self.report(
                    "service",
                    &format!("service {:?} is not listed", part.service),
                );
                continue;
            };
            parts.push(RoutePart {
                service,
                weight: part.weight,
            });
        }
        if self.row.parts.iter().all(|part| part.weight == 0) {
            self.report("service", "at least one service with a weight is required");
        }
        parts
    }
}
