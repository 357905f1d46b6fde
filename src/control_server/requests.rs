//! Inputs of the replica thread and the channels for their replies.

use std::sync::mpsc::{SyncSender, TrySendError};

use tokio::sync::oneshot;
use tonic::Status;

use crate::consensus::PeerMessage;
use crate::generated::{
    ApplyReply, ApplyRoutesReply, ClaimReply, Command, HeartbeatReply, HeartbeatRequest,
    SettleReply, ShowReply, ShowRoutesReply, StatusReply,
};

/// Returns the result of a call to its handler.
pub(super) type ReplySender<T> = oneshot::Sender<Result<T, Status>>;

/// One input of the replica thread.
#[derive(Debug)]
pub(super) enum ReplicaInput {
    /// Message of another replica. `reply` is set for a request, whose handler waits for the reply.
    Peer {
        from: u64,
        message: PeerMessage,
        reply: Option<oneshot::Sender<PeerMessage>>,
    },
    /// Heartbeat of a node.
    Heartbeat {
        request: Box<HeartbeatRequest>,
        reply: ReplySender<HeartbeatReply>,
    },
    /// Command to append to the replicated log.
    Propose {
        command: Command,
        reply: ProposalReply,
    },
    /// Read of the current routes.
    ShowRoutes { reply: ReplySender<ShowRoutesReply> },
    /// Read of the current plans.
    ShowPlans { reply: ReplySender<ShowReply> },
    /// Read of the state of replicas and nodes, as this replica knows it. It is also answered without a leader.
    Status { reply: ReplySender<StatusReply> },
    /// Stops the thread after all written entries are synced.
    Stop,
}

/// Channel to the handler that waits for the result of a proposed command.
#[derive(Debug)]
pub(super) enum ProposalReply {
    Apply(ReplySender<ApplyReply>),
    Routes(ReplySender<ApplyRoutesReply>),
    Claim(ReplySender<ClaimReply>),
    Settle(ReplySender<SettleReply>),
    /// The replica proposed the command itself and ignores the result.
    Ignored,
}

impl ProposalReply {
    pub(super) fn fail(self, status: Status) {
        // Sending fails if the caller has cancelled the call.
        match self {
            Self::Apply(reply) => drop(reply.send(Err(status))),
            Self::Routes(reply) => drop(reply.send(Err(status))),
            Self::Claim(reply) => drop(reply.send(Err(status))),
            Self::Settle(reply) => drop(reply.send(Err(status))),
            Self::Ignored => {}
        }
    }
}

/// Sends inputs to the replica thread without blocking.
#[derive(Debug, Clone)]
pub(super) struct InputSender {
    sender: SyncSender<ReplicaInput>,
}

impl InputSender {
    pub(super) fn new(sender: SyncSender<ReplicaInput>) -> Self {
        Self { sender }
    }

    /// Queues an input; fails if the queue is full or the thread has ended.
    pub(super) fn send(&self, input: ReplicaInput) -> Result<(), Status> {
        self.sender.try_send(input).map_err(|error| match error {
            TrySendError::Full(_) => Status::unavailable("the replica has too much work"),
            TrySendError::Disconnected(_) => Status::unavailable("the replica is stopping"),
        })
    }

    /// Queues an input and waits for its reply.
    pub(super) async fn ask<T>(
        &self,
        input: impl FnOnce(ReplySender<T>) -> ReplicaInput,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        self.send(input(reply))?;
        answer
            .await
            .unwrap_or_else(|_| Err(Status::unavailable("the replica gave no answer")))
    }
}
