//! Limits on call chains: learnt from refused calls of the local target, and reported by the nodes that serve the
//! requests of this node's clients.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::admission::{ChainLimit, ChainPosition, ReportedLimit};
use crate::types::{ServiceName, TickTime};

use super::state::lock;

/// Limits known to one node.
#[derive(Debug, Default)]
pub(super) struct ChainLimits {
    /// By service that the local target calls.
    learnt: Mutex<BTreeMap<ServiceName, ChainLimit>>,
    /// By name of a route on which clients of this node send. Only routes with a limit have an entry.
    reported: Mutex<BTreeMap<String, ReportedLimit>>,
}

impl ChainLimits {
    /// Records whether a call of the local target was refused, and returns the limit for calls of that service.
    pub(super) fn record_call(
        &self,
        now: TickTime,
        service: &ServiceName,
        position: ChainPosition,
        is_refused: bool,
    ) -> Option<ChainPosition> {
        let mut learnt = lock(&self.learnt);
        let limit = match learnt.get_mut(service) {
            Some(limit) => limit,
            None => learnt
                .entry(service.clone())
                .or_insert_with(|| ChainLimit::new(now)),
        };
        limit.record(now, position, is_refused);
        limit.current(now)
    }

    /// Records the limit that came with an answer on a route.
    pub(super) fn report(&self, now: TickTime, route: &str, limit: Option<ChainPosition>) {
        let mut reported = lock(&self.reported);
        match limit {
            Some(limit) => {
                reported.insert(route.to_owned(), ReportedLimit::new(now, limit));
            }
            None => {
                reported.remove(route);
            }
        }
    }

    /// Returns the limit that a client request on a route exceeds, if its chain is not likely to complete.
    pub(super) fn exceeded(
        &self,
        now: TickTime,
        route: &str,
        position: ChainPosition,
    ) -> Option<ReportedLimit> {
        let limit = lock(&self.reported).get(route).copied();
        limit.filter(|limit| !limit.admits(now, position))
    }
}

/// Returns the more restrictive of two limits.
pub(super) fn tighter(
    one: Option<ChainPosition>,
    other: Option<ChainPosition>,
) -> Option<ChainPosition> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
