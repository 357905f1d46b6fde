//! Validated routes of one version, with the lookup by host and path.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::ServiceName;

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// Index of a route in its book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// One service of a route and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePart {
    /// Service that the requests go to.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// Route for the requests of a host whose path has a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name given by the operator.
    pub name: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the request paths.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub repeat_kind: RepeatKind,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// Longest time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: time within which an answer has its full value.
    pub objective: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub urgency: u32,
    /// Services of the route; at least one has a weight above 0.
    pub parts: Vec<RoutePart>,
}

/// Properties of the targets of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Connections that each target accepts from all callers.
    pub connections: u32,
    /// Path of the health check of a target; empty if it has none.
    pub health_path: String,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Longest time between the first byte of a head and its end.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
const DEFAULT_BODY_BYTES: u64 = 64 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Default for RouteLimits {
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_HEADER_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Returns the form of a host name by which routes are compared and looked up. Its case does not matter.
pub(super) fn host_key(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// All routes of one version and the services that they refer to.
#[derive(Debug, Clone, Default)]
pub struct RouteBook {
    pub(super) version: u64,
    pub(super) routes: Vec<RouteEntry>,
    pub(super) services: BTreeMap<ServiceName, ServiceEntry>,
    pub(super) limits: RouteLimits,
    by_host: BTreeMap<String, Vec<RouteKey>>,
}

impl RouteBook {
    pub(super) fn new(
        version: u64,
        routes: Vec<RouteEntry>,
        services: BTreeMap<ServiceName, ServiceEntry>,
        limits: RouteLimits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<RouteKey>> = BTreeMap::new();
        for (index, route) in routes.iter().enumerate() {
            let keys = by_host.entry(route.host.clone()).or_default();
            keys.push(RouteKey(index as u32));
        }
        for keys in by_host.values_mut() {
            let length = |key: &RouteKey| routes[key.0 as usize].prefix.len();
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        Self {
            version,
            routes,
            services,
            limits,
            by_host,
        }
    }

    /// Returns the version; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on what a client may send.
    pub fn limits(&self) -> &RouteLimits {
        &self.limits
    }

    /// Returns a service, if it is listed.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// Returns a route of this book.
    pub fn route(&self, key: RouteKey) -> &RouteEntry {
        &self.routes[key.0 as usize]
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Finds the route of a host with the longest prefix that matches the path. A port after the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let mut keys = self.by_host.get(host_key(host).as_ref())?.iter().copied();
        keys.find(|key| path.starts_with(&self.route(*key).prefix))
    }
}
