//! Current routes, earlier versions and digests of accepted changes.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use crate::generated::{RouteChange, RouteDelta, RouteSet};
use crate::routes::{RouteBook, route_delta};

/// Number of earlier versions kept to compute differences. A node with an older version gets all routes. Nodes send
/// heartbeats every second, and operators apply a few versions per second at most.
const MAX_VERSIONS: usize = 16;
/// Maximum encoded size of the earlier versions.
const MAX_VERSION_BYTES: usize = 4 * 1024 * 1024;
/// Number of digests kept to recognise a resent change; several days of changes at the design size.
const MAX_DIGESTS: usize = 2_048;

/// Result of one change to the routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteResult {
    /// Whether the change is accepted now or was accepted before.
    pub accepted: bool,
    /// Version of the routes after the change.
    pub version: u64,
}

/// Current routes, with recent versions and digests.
#[derive(Debug, Default)]
pub(super) struct RouteHistory {
    current: RouteSet,
    earlier: VecDeque<RouteSet>,
    digests: VecDeque<Bytes>,
}

impl RouteHistory {
    pub(super) fn from_parts(current: RouteSet, digests: Vec<Bytes>) -> Self {
        Self {
            current,
            earlier: VecDeque::new(),
            digests: digests.into(),
        }
    }

    pub(super) fn current(&self) -> &RouteSet {
        &self.current
    }

    pub(super) fn digests(&self) -> Vec<Bytes> {
        self.digests.iter().cloned().collect()
    }

    /// Applies a change if its base version is the current one. A document that was accepted before is accepted again
    /// without effect.
    pub(super) fn apply(&mut self, change: &RouteChange) -> RouteResult {
        let is_resend = self.digests.contains(&change.digest);
        let accepted = is_resend || self.replace(change);
        RouteResult {
            accepted,
            version: self.current.version,
        }
    }

    fn replace(&mut self, change: &RouteChange) -> bool {
        let Some(routes) = &change.routes else {
            return false;
        };
        let is_next = change.base_version == self.current.version
            && routes.version > self.current.version
            && RouteBook::try_from(routes).is_ok();
        if !is_next {
            return false;
        }
        let mut replaced = std::mem::replace(&mut self.current, routes.clone());
        replaced.document = Bytes::new();
        self.keep_earlier(replaced);
        // A clone would keep the whole message in memory from which the digest was decoded.
        self.digests
            .push_back(Bytes::copy_from_slice(&change.digest));
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
        true
    }

    /// Keeps a replaced version, and drops the oldest ones beyond the limits on their number and size.
    fn keep_earlier(&mut self, replaced: RouteSet) {
        self.earlier.push_back(replaced);
        let sizes = self.earlier.iter().rev().map(Message::encoded_len);
        let totals = sizes.scan(0, |total, size| {
            *total += size;
            Some(*total)
        });
        let kept = totals
            .take(MAX_VERSIONS)
            .take_while(|total| *total <= MAX_VERSION_BYTES)
            .count();
        self.earlier.drain(..self.earlier.len() - kept);
    }

    pub(super) fn delta_since(&self, held_version: u64) -> RouteDelta {
        let base = self
            .earlier
            .iter()
            .find(|set| held_version > 0 && set.version == held_version);
        route_delta(base, &self.current)
    }
}
