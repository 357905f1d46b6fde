//! Differences between two route versions, so that only the changed routes are sent to the nodes.

use std::collections::BTreeMap;

use crate::generated::{RouteDelta, RouteRow, RouteSet};

/// Returns the delta from `base` to `current`, or all routes if there is no base.
pub fn route_delta(base: Option<&RouteSet>, current: &RouteSet) -> RouteDelta {
    let held: BTreeMap<&str, &RouteRow> = base
        .into_iter()
        .flat_map(|set| &set.routes)
        .map(|row| (row.name.as_str(), row))
        .collect();
    let listed: BTreeMap<&str, &RouteRow> = current
        .routes
        .iter()
        .map(|row| (row.name.as_str(), row))
        .collect();
    let is_changed = |row: &&RouteRow| held.get(row.name.as_str()) != Some(row);
    let removed = held.keys().filter(|name| !listed.contains_key(*name));
    RouteDelta {
        base_version: base.map_or(0, |set| set.version),
        version: current.version,
        changed: current.routes.iter().filter(is_changed).cloned().collect(),
        removed: removed.map(|name| (*name).to_owned()).collect(),
        services: current.services.clone(),
        limits: current.limits,
    }
}

/// Applies a delta to `held`. Returns `None` if the delta is based on another version.
pub fn apply_delta(held: &RouteSet, delta: &RouteDelta) -> Option<RouteSet> {
    let is_whole = delta.base_version == 0;
    if !is_whole && delta.base_version != held.version {
        return None;
    }
    let mut rows: BTreeMap<String, RouteRow> = BTreeMap::new();
    if !is_whole {
        let held_rows = held.routes.iter().cloned();
        rows.extend(held_rows.map(|row| (row.name.clone(), row)));
    }
    for name in &delta.removed {
        rows.remove(name);
    }
    for row in &delta.changed {
        rows.insert(row.name.clone(), row.clone());
    }
    Some(RouteSet {
        version: delta.version,
        routes: rows.into_values().collect(),
        services: delta.services.clone(),
        limits: delta.limits,
        document: bytes::Bytes::new(),
    })
}
