//! Input events and output actions of a replica.

use bytes::Bytes;

use crate::generated::{
    AppendReply, AppendRequest, Command, JoinReply, JoinRequest, ReplicaInfo, SnapshotChunk,
    SnapshotReply, VoteReply, VoteRequest,
};
use crate::storage::SnapshotMeta;

/// Role of a replica in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Receives the log but does not vote.
    Learner,
    /// Votes and follows a leader.
    Follower,
    /// Requests pre-votes to check whether an election could succeed, without changing its term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Appends to the log and replicates it.
    Leader,
}

/// Message between replicas.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Request for a vote or pre-vote.
    Vote(VoteRequest),
    /// Answer to a vote request, and whether it was a pre-vote.
    VoteReply(VoteReply, bool),
    /// Entries or heartbeat of the leader.
    Append(AppendRequest),
    /// Answer to an append.
    AppendReply(AppendReply),
    /// Chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Request to join, from a replica that is not yet an established member.
    Join(JoinRequest),
    /// Answer to a join request.
    JoinReply(JoinReply),
}

/// Input of a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// Periodic timer event; expected at least every few tens of milliseconds.
    Tick,
    /// A message arrived.
    Message {
        /// Replica that sent it.
        from: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The replicas listed in the settings changed to these. Join requests are sent to them, but the first
    /// configuration is still created by the replicas that were listed at the start.
    Contacts(Vec<ReplicaInfo>),
    /// Request to append a command to the log.
    Propose {
        /// Token that identifies the proposal in the resulting action.
        token: u64,
        /// The command. Membership commands are dropped, since the leader itself appends all membership changes.
        command: Command,
    },
    /// The caller serialised the applied state up to a log position as a `ControlSnapshot`.
    SnapshotReady {
        /// Last applied entry that the data covers.
        meta: SnapshotMeta,
        /// The serialised state.
        data: Bytes,
    },
}

/// Output of a replica, in the order in which it must be carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaAction {
    /// Send a message; it may be lost.
    Send {
        /// Receiver. The address is empty if only the replica id is known. The message is then the reply to
        /// a request and must be returned in the same exchange.
        to: ReplicaInfo,
        /// The message.
        message: PeerMessage,
    },
    /// Apply a committed entry.
    Commit {
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
        /// The command.
        command: Command,
        /// Token of the proposal made on this replica that became this entry.
        token: Option<u64>,
    },
    /// Report that a proposal was not accepted, or that this replica is no longer the leader. In the latter case the
    /// proposal may still be committed later.
    RejectProposal {
        /// Token that identifies the proposal.
        token: u64,
    },
    /// Replace the applied state by a snapshot.
    Restore {
        /// Position that the snapshot covers.
        meta: SnapshotMeta,
        /// The serialised state.
        data: Bytes,
    },
    /// Serialise the applied state and pass it back as [`ReplicaEvent::SnapshotReady`].
    CreateSnapshot {
        /// Index of the last applied entry.
        up_to: u64,
    },
    /// The role or the term changed.
    RoleChanged {
        /// New role.
        role: ReplicaRole,
        /// New term.
        term: u64,
    },
}
