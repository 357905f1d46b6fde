//! Storing of snapshots, and their transfer to members that need entries the leader no longer holds.

use bytes::Bytes;

use super::membership_history::{MembershipHistory, with_membership};
use super::peer_progress::OutgoingSnapshot;
use super::{PeerMessage, ReplicaAction, ReplicaCore};
use crate::error::{MeshError, Result};
use crate::generated::{SnapshotChunk, SnapshotReply};
use crate::storage::SnapshotMeta;
use crate::types::TickTime;

/// Value of `next_offset` in the reply of a member that needs no further chunks: it has the whole snapshot on disk
/// or has already committed past it.
const SNAPSHOT_COMPLETE: u64 = u64::MAX;

/// Partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl ReplicaCore {
    /// Stores a snapshot of the applied state and drops the entries it covers.
    pub(super) fn store_snapshot(&mut self, meta: SnapshotMeta, data: Bytes) -> Result<()> {
        let stored_index = self.store.snapshot().map_or(0, |(meta, _)| meta.last_index);
        if meta.last_index <= stored_index {
            return Ok(());
        }
        let is_applied = meta.last_index <= self.applied_index;
        if !is_applied || self.store.term_at(meta.last_index) != Some(meta.last_term) {
            let detail = format!("position {} was not applied", meta.last_index);
            return Err(MeshError::invalid("snapshot", detail));
        }
        let membership = self.members.at(meta.last_index);
        let data = with_membership(data, membership, (meta.last_index, meta.last_term))?;
        self.store.save_snapshot(meta, &data)?;
        self.members.compact(meta.last_index);
        Ok(())
    }

    /// Starts sending the stored snapshot to a member.
    pub(super) fn start_snapshot(&mut self, now: TickTime, disk_id: &Bytes) {
        let Some((meta, data)) = self.store.snapshot() else {
            return;
        };
        if let Some(peer) = self.peer_mut(disk_id) {
            peer.transfer = Some(OutgoingSnapshot {
                meta,
                data,
                offset: 0,
                sent_at: now,
                sequence: 0,
            });
        }
        self.send_chunk(now, disk_id);
    }

    fn send_chunk(&mut self, now: TickTime, disk_id: &Bytes) {
        let term = self.term();
        let leader_id = self.own.replica_id;
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let sequence = leader_state.next_sequence();
        let Some(peer) = leader_state.peers.get_mut(disk_id) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        let end = (transfer.offset + chunk_bytes).min(transfer.data.len());
        transfer.sequence = sequence;
        transfer.sent_at = now;
        let chunk = SnapshotChunk {
            term,
            leader_id,
            last_index: transfer.meta.last_index,
            last_term: transfer.meta.last_term,
            offset: transfer.offset as u64,
            data: transfer.data.slice(transfer.offset..end),
            done: end == transfer.data.len(),
            sequence,
            receiver_disk_id: disk_id.clone(),
        };
        let to = peer.info.clone();
        self.send(to, PeerMessage::Snapshot(chunk));
    }

    /// Resends unanswered chunks to members that answer heartbeats.
    pub(super) fn resend_snapshots(&mut self, now: TickTime) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let retry_after = self.settings.election_timeout_min;
        let is_due =
            |transfer: &OutgoingSnapshot| now.saturating_since(transfer.sent_at) >= retry_after;
        let due: Vec<Bytes> = leader_state
            .peers
            .iter()
            .filter(|(_, peer)| peer.transfer.as_ref().is_some_and(is_due))
            .filter(|(_, peer)| self.is_responsive(now, peer))
            .map(|(disk_id, _)| disk_id.clone())
            .collect();
        for disk_id in due {
            self.send_chunk(now, &disk_id);
        }
    }

    /// Handles the reply to the latest chunk: sends the next chunk, or resumes appends if the snapshot is complete.
    pub(super) fn on_snapshot_reply(&mut self, now: TickTime, reply: &SnapshotReply) -> Result<()> {
        if reply.term > self.term() {
            return self.become_follower(now, reply.term);
        }
        let is_current = reply.term == self.term();
        let Some(peer) = self.peer_mut(&reply.disk_id).filter(|_| is_current) else {
            return Ok(());
        };
        let Some(transfer) = &mut peer.transfer else {
            return Ok(());
        };
        if transfer.sequence != reply.sequence {
            return Ok(());
        }
        if reply.next_offset == SNAPSHOT_COMPLETE {
            let index = transfer.meta.last_index;
            peer.transfer = None;
            peer.advance_match_index(index);
            peer.next_index = peer.match_index + 1;
            self.advance_commit();
            self.send_append(now, &reply.disk_id, false);
        } else {
            transfer.offset = (reply.next_offset as usize).min(transfer.data.len());
            self.send_chunk(now, &reply.disk_id);
        }
        Ok(())
    }

    /// Adds a chunk to the incoming snapshot, and installs the snapshot once it is complete.
    pub(super) fn on_snapshot_chunk(&mut self, now: TickTime, chunk: &SnapshotChunk) -> Result<()> {
        let next_offset = if chunk.term < self.term() {
            0
        } else {
            self.follow_leader(now, chunk.term, chunk.leader_id)?;
            self.collect_chunk(chunk)?
        };
        let reply = SnapshotReply {
            term: self.term(),
            next_offset,
            sequence: chunk.sequence,
            disk_id: self.own.disk_id.clone(),
        };
        let to = self.replica_info(chunk.leader_id);
        self.send(to, PeerMessage::SnapshotReply(reply));
        Ok(())
    }

    fn collect_chunk(&mut self, chunk: &SnapshotChunk) -> Result<u64> {
        let meta = SnapshotMeta {
            last_index: chunk.last_index,
            last_term: chunk.last_term,
        };
        if meta.last_index <= self.commit_index {
            self.incoming = None;
            return Ok(SNAPSHOT_COMPLETE);
        }
        let mut incoming = self
            .incoming
            .take()
            .filter(|incoming| incoming.meta == meta && chunk.offset > 0)
            .unwrap_or_else(|| IncomingSnapshot {
                meta,
                data: Vec::new(),
            });
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
            if chunk.done {
                self.install_snapshot(meta, incoming.data.into())?;
                return Ok(SNAPSHOT_COMPLETE);
            }
        }
        let next_offset = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        Ok(next_offset)
    }

    fn install_snapshot(&mut self, meta: SnapshotMeta, data: Bytes) -> Result<()> {
        self.store.save_snapshot(meta, &data)?;
        self.store.sync()?;
        self.synced_index = self.store.last_index();
        self.held_replies.clear();
        self.members = MembershipHistory::load(self.store.as_ref())?;
        self.refresh_role();
        self.commit_index = meta.last_index;
        self.applied_index = meta.last_index;
        self.requested_snapshot_index = meta.last_index;
        self.push_action(ReplicaAction::Restore { meta, data });
        Ok(())
    }
}
