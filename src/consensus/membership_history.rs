//! Memberships recorded in the log. The latest one is in effect, whether or not it is committed.

use prost::Message;

use crate::error::{MeshError, Result};
use crate::generated::command::Change;
use crate::generated::{Command, ControlSnapshot, LogEntry, Membership, ReplicaInfo};
use crate::storage::LogStore;

/// Memberships by the index of their entry, in ascending order.
#[derive(Debug)]
pub(super) struct MembershipHistory {
    /// Membership without voters, in effect while the log holds none.
    empty: Membership,
    records: Vec<(u64, Membership)>,
}

impl MembershipHistory {
    /// Reads the memberships of the snapshot and of the entries after it.
    pub(super) fn load(store: &dyn LogStore) -> Result<Self> {
        let mut history = Self {
            empty: Membership::default(),
            records: Vec::new(),
        };
        let mut next_index = store.first_index();
        if let Some((meta, data)) = store.snapshot() {
            let membership = snapshot_membership(&data)?;
            history.records.push((meta.last_index, membership));
            next_index = meta.last_index + 1;
        }
        for index in next_index..=store.last_index() {
            if let Some(entry) = store.entry(index) {
                history.record_entry(&entry);
            }
        }
        Ok(history)
    }

    pub(super) fn current(&self) -> &Membership {
        self.records
            .last()
            .map_or(&self.empty, |(_, membership)| membership)
    }

    /// Returns the index of the entry of the current membership.
    pub(super) fn current_index(&self) -> u64 {
        self.records.last().map_or(0, |(index, _)| *index)
    }

    pub(super) fn at(&self, index: u64) -> &Membership {
        self.records
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.empty, |(_, membership)| membership)
    }

    /// Records the membership of an appended entry, and returns whether the entry holds one.
    pub(super) fn record_entry(&mut self, entry: &LogEntry) -> bool {
        let Some(Change::Membership(membership)) = command_change(entry.command.as_ref()) else {
            return false;
        };
        self.records.push((entry.index, membership.clone()));
        true
    }

    /// Removes the memberships of entries from index `from` on, which were removed from the log.
    pub(super) fn truncate(&mut self, from: u64) {
        self.records.retain(|(index, _)| *index < from);
    }

    /// Removes memberships that a later one replaced at or before `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let replaced = self.records.partition_point(|(at, _)| *at <= index);
        self.records.drain(..replaced.saturating_sub(1));
    }
}

fn command_change(command: Option<&Command>) -> Option<&Change> {
    command.and_then(|command| command.change.as_ref())
}

/// Fields of a `ControlSnapshot` that the replicated log needs. Decoding skips the other fields.
#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotHeader {
    #[prost(message, optional, tag = "2")]
    membership: Option<Membership>,
    #[prost(uint64, tag = "6")]
    last_index: u64,
    #[prost(uint64, tag = "7")]
    last_term: u64,
}

fn decode_error(error: &prost::DecodeError) -> MeshError {
    MeshError::invalid("snapshot", error.to_string())
}

/// Returns the membership in a serialised `ControlSnapshot`.
pub(super) fn snapshot_membership(data: &[u8]) -> Result<Membership> {
    let header = SnapshotHeader::decode(data).map_err(|error| decode_error(&error))?;
    Ok(header.membership.unwrap_or_default())
}

/// Sets the membership and the log position in a serialised `ControlSnapshot` if they differ.
pub(super) fn with_membership(
    data: bytes::Bytes,
    membership: &Membership,
    position: (u64, u64),
) -> Result<bytes::Bytes> {
    let header = SnapshotHeader::decode(&data[..]).map_err(|error| decode_error(&error))?;
    let is_same = header.membership.as_ref() == Some(membership)
        && (header.last_index, header.last_term) == position;
    if is_same {
        return Ok(data);
    }
    let mut snapshot = ControlSnapshot::decode(data).map_err(|error| decode_error(&error))?;
    snapshot.membership = Some(membership.clone());
    (snapshot.last_index, snapshot.last_term) = position;
    Ok(snapshot.encode_to_vec().into())
}

/// Returns the number of voters that form a majority.
pub(super) fn quorum_size(membership: &Membership) -> usize {
    membership.voters.len() / 2 + 1
}

/// Returns whether a voter record belongs to a lost disk, because the same replica rejoined as a learner with
/// another disk.
///
/// Such a record still counts towards the quorum size, but no messages are sent to it.
pub(super) fn is_superseded(membership: &Membership, voter: &ReplicaInfo) -> bool {
    membership
        .learners
        .iter()
        .any(|learner| learner.replica_id == voter.replica_id && learner.disk_id != voter.disk_id)
}

/// Returns the members that messages are sent to, without `own`.
pub(super) fn reachable_peers<'a>(
    membership: &'a Membership,
    own: &'a ReplicaInfo,
) -> impl Iterator<Item = &'a ReplicaInfo> {
    let voters = membership
        .voters
        .iter()
        .filter(|voter| !is_superseded(membership, voter));
    voters
        .chain(&membership.learners)
        .filter(|info| info.disk_id != own.disk_id)
}
