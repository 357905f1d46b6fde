//! Events that a replica handles and actions that it asks for.

use bytes::Bytes;

use crate::generated::{
    AppendReply, AppendRequest, Command, JoinReply, JoinRequest, ReplicaInfo, SnapshotChunk,
    SnapshotReply, VoteReply, VoteRequest,
};
use crate::storage::SnapshotMeta;

/// Part that a replica plays in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Receives the log but does not vote.
    Learner,
    /// Votes and follows a leader.
    Follower,
    /// Asks whether an election could succeed, without changing its term.
    PreCandidate,
    /// Asks for votes in a new term.
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
    /// Part of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a part of a snapshot.
    SnapshotReply(SnapshotReply),
    /// Request of a replica that is no member.
    Join(JoinRequest),
    /// Answer to a join request.
    JoinReply(JoinReply),
}

/// Input of a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// Time has passed; expected at least every few tens of milliseconds.
    Tick,
    /// A message arrived.
    Message {
        /// Replica that sent it.
        from: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The settings name these replicas now. They are asked for the membership; a first configuration is still created
    /// by the replicas of the start.
    Contacts(Vec<ReplicaInfo>),
    /// A command is to be added to the log.
    Propose {
        /// Name of the proposal in the answer.
        token: u64,
        /// The command; membership commands are dropped, since replicas join by themselves.
        command: Command,
    },
    /// The applied state up to a position was serialised as a `ControlSnapshot`.
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
        /// Receiver. The address is empty if only the identity is known; the message then answers
        /// a request and belongs on the same exchange.
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
        /// Own proposal that became this entry.
        token: Option<u64>,
    },
    /// Answer a proposal that was not accepted or lost its leader; it may still be committed later.
    Drop {
        /// Name of the proposal.
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
    WantSnapshot {
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
