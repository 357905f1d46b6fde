//! The leader's directory of announced nodes and their leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::error::Result;
use crate::generated::{DirectoryDelta, NodeInfo, NodeStatus};
use crate::routing::TargetRecord;
use crate::types::{NodeId, ServiceName, TickTime};

use super::digest::entry_digest;

/// Lifetime of an announcement that is not renewed.
pub const TARGET_LEASE: Duration = Duration::from_secs(3);

/// Removals kept for deltas. A node that is further behind gets the full directory. The number is
/// about seven times the entries of a directory of the design size.
const MAX_REMOVALS: usize = 4_096;

/// Directory of one leader term.
///
/// Each change of an entry gets the next revision. A renewal without changes does not increase the revision.
#[derive(Debug)]
pub struct LeaseTable {
    term: u64,
    // Time from which every live node has had time to announce itself.
    complete_at: TickTime,
    revision: u64,
    entries: BTreeMap<NodeId, LeaseEntry>,
    removals: VecDeque<Removal>,
    // Revision of the last removal that was dropped from `removals`.
    last_dropped_revision: u64,
}

#[derive(Debug)]
struct LeaseEntry {
    info: NodeInfo,
    digest: u64,
    service: Option<ServiceName>,
    revision: u64,
    plan_version: u64,
    sequence: u64,
    heartbeat_at: TickTime,
}

#[derive(Debug)]
struct Removal {
    revision: u64,
    node_id: NodeId,
    service: ServiceName,
}

impl LeaseTable {
    /// Creates the empty directory of a leader whose term begins now.
    pub fn new(term: u64, now: TickTime) -> Self {
        Self {
            term,
            complete_at: now + TARGET_LEASE,
            revision: 0,
            entries: BTreeMap::new(),
            removals: VecDeque::new(),
            last_dropped_revision: 0,
        }
    }

    /// Returns whether every live node has had time to announce itself in this term. Until then a
    /// heartbeat reply must not contain a directory.
    pub fn is_complete(&self, now: TickTime) -> bool {
        now >= self.complete_at
    }

    /// Returns the leader term of this directory.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Stores the announcement of a node and renews its lease. An announcement with a lower `sequence` than the stored one is
    /// outdated and has no effect: a relay may have delayed it.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is invalid.
    pub fn announce(
        &mut self,
        now: TickTime,
        info: NodeInfo,
        plan_version: u64,
        sequence: u64,
    ) -> Result<()> {
        let record = TargetRecord::from_node(&info)?;
        let node_id = NodeId::try_from(info.node_id.as_ref())?;
        let service = record.map(|record| record.service);
        let previous = self.entries.get(&node_id);
        if let Some(entry) = previous.filter(|entry| entry.sequence > sequence) {
            let latest = entry.sequence;
            log::info!(event = "announcement-outdated", node:% = node_id, sequence, latest; "");
            return Ok(());
        }
        let is_changed = previous.is_none_or(|entry| entry.info != info);
        let old_service = previous.and_then(|entry| entry.service.clone());
        let mut revision = previous.map_or(0, |entry| entry.revision);
        let mut digest = previous.map_or(0, |entry| entry.digest);
        if is_changed {
            self.revision += 1;
            revision = self.revision;
            digest = entry_digest(&info);
        }
        if let Some(old_service) = old_service
            && Some(&old_service) != service.as_ref()
        {
            self.push_removal(node_id, old_service);
        }
        let entry = LeaseEntry {
            info,
            digest,
            service,
            revision,
            plan_version,
            sequence,
            heartbeat_at: now,
        };
        self.entries.insert(node_id, entry);
        Ok(())
    }

    /// Removes the nodes whose lease has expired.
    pub fn expire(&mut self, now: TickTime) {
        let ended = self
            .entries
            .extract_if(.., |_, entry| entry.is_expired(now))
            .collect::<Vec<_>>();
        for (node_id, entry) in ended {
            let Some(service) = entry.service else {
                continue;
            };
            self.revision += 1;
            self.push_removal(node_id, service);
        }
    }

    fn push_removal(&mut self, node_id: NodeId, service: ServiceName) {
        if self.removals.len() == MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.last_dropped_revision = oldest.revision;
        }
        self.removals.push_back(Removal {
            revision: self.revision,
            node_id,
            service,
        });
    }

    /// Returns an update without changes if the node's directory has the same digest as this one, whatever the term in
    /// which the node received it.
    pub fn delta_for_digest(&self, digest: u64) -> Option<DirectoryDelta> {
        let listed = self
            .entries
            .values()
            .filter(|entry| entry.service.is_some());
        let own_digest = listed.fold(0, |digest, entry| digest ^ entry.digest);
        (own_digest == digest).then(|| DirectoryDelta {
            term: self.term,
            revision: self.revision,
            ..DirectoryDelta::default()
        })
    }

    /// Returns the changes for the services since the revision that the node holds, or the full
    /// directory if that revision belongs to another term or is too old.
    ///
    /// A node whose set of services has grown must request changes since revision 0, because the
    /// revision does not record which services were left out before.
    pub fn delta_since(
        &self,
        term: u64,
        revision: u64,
        services: Option<&BTreeSet<ServiceName>>,
    ) -> DirectoryDelta {
        let is_known = (self.last_dropped_revision.max(1)..=self.revision).contains(&revision);
        let full = term != self.term || !is_known;
        let since = if full { 0 } else { revision };
        DirectoryDelta {
            term: self.term,
            revision: self.revision,
            full,
            changed: self.changed_since(since, services),
            removed: if full {
                Vec::new()
            } else {
                self.removed_since(since, services)
            },
        }
    }

    fn changed_since(&self, since: u64, services: Option<&BTreeSet<ServiceName>>) -> Vec<NodeInfo> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.revision > since)
            .filter(|entry| matches_services(entry.service.as_ref(), services))
            .map(|entry| entry.info.clone())
            .collect()
    }

    fn removed_since(
        &self,
        since: u64,
        services: Option<&BTreeSet<ServiceName>>,
    ) -> Vec<bytes::Bytes> {
        let start = self
            .removals
            .partition_point(|removal| removal.revision <= since);
        let removals = self.removals.iter().skip(start);
        let removed = removals
            .filter(|removal| matches_services(Some(&removal.service), services))
            .filter(|removal| !self.is_currently_listed(removal.node_id, services))
            .map(|removal| removal.node_id)
            .collect::<BTreeSet<_>>();
        let ids = removed.iter();
        ids.map(|id| bytes::Bytes::copy_from_slice(id.as_bytes()))
            .collect()
    }

    // A node that is in the directory again is sent as changed instead of removed.
    fn is_currently_listed(
        &self,
        node_id: NodeId,
        services: Option<&BTreeSet<ServiceName>>,
    ) -> bool {
        let entry = self.entries.get(&node_id);
        entry.is_some_and(|entry| matches_services(entry.service.as_ref(), services))
    }

    /// Returns the status of every node, for the operator.
    pub fn statuses(&self, now: TickTime) -> Vec<NodeStatus> {
        let entries = self.entries.values();
        entries.map(|entry| entry.status(now)).collect()
    }
}

impl LeaseEntry {
    fn is_expired(&self, now: TickTime) -> bool {
        now.saturating_since(self.heartbeat_at) >= TARGET_LEASE
    }

    fn status(&self, now: TickTime) -> NodeStatus {
        let age = now.saturating_since(self.heartbeat_at);
        NodeStatus {
            node: Some(self.info.clone()),
            plan_version: self.plan_version,
            last_heartbeat_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

// Nodes without a target have no service and are not part of a node's directory.
fn matches_services(
    service: Option<&ServiceName>,
    services: Option<&BTreeSet<ServiceName>>,
) -> bool {
    service.is_some_and(|service| services.is_none_or(|selected| selected.contains(service)))
}
