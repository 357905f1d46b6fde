//! The rule on acknowledged changes: a node in touch handles requests by a version that is at most `APPLY_BOUND` behind the
//! acknowledgements, a node never goes back, and what it holds is what was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyjunction::generated::{RepeatKind, RoutePart, RouteRow, RouteService, RouteSet};
use ebonyjunction::routes::RouteBook;
use prost::Message;
use tokio::time::Instant;

/// Time from an acknowledgement to the time at which machines in touch handle requests accordingly.
const APPLY_BOUND: Duration = Duration::from_millis(2_500);
/// Extension of that bound while the core is not stable.
const MAX_STRETCH: Duration = Duration::from_secs(5);
/// Time without a disturbance after which a machine is in touch and the core is stable.
pub const CONTACT: Duration = Duration::from_secs(4);

/// Change that was sent, and may have been acknowledged.
#[derive(Debug, Clone)]
struct SentChange {
    /// Service that the moved route leads to; it differs between changes of the same version.
    services: Vec<String>,
    acknowledged: Option<(Instant, String)>,
}

#[derive(Debug)]
pub struct RouteOracle {
    began_at: Instant,
    changes: BTreeMap<u64, SentChange>,
    core_calm_from: Instant,
    node_calm_from: BTreeMap<SocketAddr, Instant>,
    held: BTreeMap<SocketAddr, u64>,
    /// Longest time from an acknowledgement to its effect at a node in touch beside a stable core, and at one beside another.
    pub longest_stable: Duration,
    pub longest_unstable: Duration,
}

impl RouteOracle {
    pub fn new() -> Self {
        Self {
            began_at: Instant::now(),
            changes: BTreeMap::new(),
            core_calm_from: Instant::now(),
            node_calm_from: BTreeMap::new(),
            held: BTreeMap::new(),
            longest_stable: Duration::ZERO,
            longest_unstable: Duration::ZERO,
        }
    }

    pub fn record_sent(&mut self, version: u64, service: &str) {
        let change = self.changes.entry(version).or_insert(SentChange {
            services: Vec::new(),
            acknowledged: None,
        });
        change.services.push(service.to_owned());
    }

    pub fn record_acknowledged(&mut self, version: u64, service: &str) -> Result<(), String> {
        let Some(change) = self.changes.get_mut(&version) else {
            return Err(format!("version {version} was never sent"));
        };
        match &change.acknowledged {
            None => change.acknowledged = Some((Instant::now(), service.to_owned())),
            Some((_, known)) if known == service => {}
            Some((_, known)) => {
                return Err(format!(
                    "both {known} and {service} are acknowledged as version {version}"
                ));
            }
        }
        Ok(())
    }

    pub fn newest_acknowledged(&self) -> u64 {
        let mut acknowledged = self.changes.iter().rev();
        let newest = acknowledged.find(|(_, change)| change.acknowledged.is_some());
        newest.map_or(0, |(version, _)| *version)
    }

    /// Records a disturbance of the core that lasts until `until`.
    pub fn disturb_core(&mut self, until: Instant) {
        self.core_calm_from = self.core_calm_from.max(until + CONTACT);
    }

    /// Records a disturbance of a node that lasts until `until`.
    pub fn disturb_node(&mut self, node: SocketAddr, until: Instant) {
        let calm_from = self.node_calm_from.entry(node).or_insert(until);
        *calm_from = (*calm_from).max(until + CONTACT);
    }

    pub fn forget_node(&mut self, node: SocketAddr) {
        self.held.remove(&node);
    }

    /// Checks what a node would do with a request that is sent now.
    pub fn check(&mut self, node: SocketAddr, book: &RouteBook) -> Result<(), String> {
        let now = Instant::now();
        let version = book.version();
        let at = (now - self.began_at).as_millis();
        let held = self.held.insert(node, version).unwrap_or(0);
        if version < held {
            return Err(format!(
                "at {at} ms node {node} went from {held} back to {version}"
            ));
        }
        self.check_content(node, book)?;
        let is_calm = self
            .node_calm_from
            .get(&node)
            .is_none_or(|from| *from <= now);
        if !is_calm || version == 0 {
            return Ok(());
        }
        let is_stable = self.core_calm_from <= now;
        let mut newer = self.changes.range(version + 1..);
        let acknowledged_at =
            newer.find_map(|(_, change)| change.acknowledged.as_ref().map(|(at, _)| *at));
        let Some(acknowledged_at) = acknowledged_at else {
            return Ok(());
        };
        let delay = now - acknowledged_at;
        let (longest, bound) = if is_stable {
            (&mut self.longest_stable, APPLY_BOUND)
        } else {
            (&mut self.longest_unstable, APPLY_BOUND + MAX_STRETCH)
        };
        *longest = (*longest).max(delay);
        if delay > bound {
            return Err(format!(
                "at {at} ms node {node} handles requests by version {version}, and a newer one was acknowledged {} ms before \
                 (stable core: {is_stable})",
                delay.as_millis()
            ));
        }
        Ok(())
    }

    fn check_content(&self, node: SocketAddr, book: &RouteBook) -> Result<(), String> {
        let version = book.version();
        let Some(change) = self.changes.get(&version) else {
            return if version == 0 {
                Ok(())
            } else {
                Err(format!(
                    "node {node} holds version {version}, which was never sent"
                ))
            };
        };
        let moved = book.find("shop", "/moved/x");
        let service = moved.map_or("", |key| book.route(key).parts[0].service.as_str());
        let is_added = book.find("shop", &format!("/added-{version}/x")).is_some();
        let keeps_dropped = book
            .find("shop", &format!("/added-{}/x", version - 1))
            .is_some();
        let is_accepted = match &change.acknowledged {
            Some((_, accepted)) => accepted == service,
            None => change.services.iter().any(|sent| sent == service),
        };
        if is_accepted && is_added && !keeps_dropped {
            return Ok(());
        }
        Err(format!(
            "node {node} holds version {version} with service {service:?}, added route {is_added}, dropped route {keeps_dropped}"
        ))
    }
}

/// Returns the routes of a version: one is moved to another service, one is added, that of the version before is dropped.
pub fn routes_of(version: u64, service: &str) -> RouteSet {
    let row = |name: String, prefix: String| RouteRow {
        name,
        host: "shop".to_owned(),
        prefix,
        repeat_kind: RepeatKind::Idempotent.into(),
        attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 500,
        urgency: 1,
        parts: vec![RoutePart {
            service: service.to_owned(),
            weight: 1,
        }],
    };
    let mut set = RouteSet {
        version,
        routes: vec![
            row("moved".to_owned(), "/moved/".to_owned()),
            row(format!("added-{version}"), format!("/added-{version}/")),
        ],
        services: vec![RouteService {
            name: service.to_owned(),
            connections: 10,
            health_path: String::new(),
        }],
        limits: None,
        document: bytes::Bytes::new(),
    };
    set.document = set.encode_to_vec().into();
    set
}
