//! Work handed to the replica thread.

use std::sync::mpsc::{SyncSender, TrySendError};

use tokio::sync::oneshot;
use tonic::Status;

use crate::consensus::PeerMessage;
use crate::generated::{
    ApplyReply, ApplyRoutesReply, ClaimReply, Command, HeartbeatReply, HeartbeatRequest,
    SettleReply, ShowReply, ShowRoutesReply, StatusReply,
};

/// Sends the answer of a call back to its handler.
pub(super) type Reply<T> = oneshot::Sender<Result<T, Status>>;

/// One input of the replica thread.
#[derive(Debug)]
pub(super) enum ReplicaInput {
    /// Message of another replica; requests have a handler that waits for the reply.
    Peer {
        from: u64,
        message: PeerMessage,
        reply: Option<oneshot::Sender<PeerMessage>>,
    },
    /// Heartbeat of a node.
    Heartbeat {
        request: HeartbeatRequest,
        reply: Reply<HeartbeatReply>,
    },
    /// Command to be logged.
    Propose {
        command: Command,
        reply: ProposalReply,
    },
    /// Question for the routes in force.
    ShowRoutes { reply: Reply<ShowRoutesReply> },
    /// Question for the lists in force.
    Show { reply: Reply<ShowReply> },
    /// Question for the state of the mesh; a replica without a leader answers for itself.
    Status { reply: Reply<StatusReply> },
    /// Ends the thread after everything written is synced.
    Stop,
}

/// Handler that waits for the result of a logged command.
#[derive(Debug)]
pub(super) enum ProposalReply {
    Apply(Reply<ApplyReply>),
    Routes(Reply<ApplyRoutesReply>),
    Claim(Reply<ClaimReply>),
    Settle(Reply<SettleReply>),
    /// The replica's own commands.
    Nobody,
}

impl ProposalReply {
    pub(super) fn fail(self, status: Status) {
        // A handler whose caller went away no longer listens.
        match self {
            Self::Apply(reply) => drop(reply.send(Err(status))),
            Self::Routes(reply) => drop(reply.send(Err(status))),
            Self::Claim(reply) => drop(reply.send(Err(status))),
            Self::Settle(reply) => drop(reply.send(Err(status))),
            Self::Nobody => {}
        }
    }
}

/// Hands work to the replica thread without waiting.
#[derive(Debug, Clone)]
pub(super) struct InputSender {
    sender: SyncSender<ReplicaInput>,
}

impl InputSender {
    pub(super) fn new(sender: SyncSender<ReplicaInput>) -> Self {
        Self { sender }
    }

    /// Refuses work when the thread is behind or gone.
    pub(super) fn send(&self, input: ReplicaInput) -> Result<(), Status> {
        self.sender.try_send(input).map_err(|error| match error {
            TrySendError::Full(_) => Status::unavailable("the replica has too much work"),
            TrySendError::Disconnected(_) => Status::unavailable("the replica is stopping"),
        })
    }

    /// Sends work and waits for its answer.
    pub(super) async fn ask<T>(
        &self,
        input: impl FnOnce(Reply<T>) -> ReplicaInput,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        self.send(input(reply))?;
        answer
            .await
            .unwrap_or_else(|_| Err(Status::unavailable("the replica gave no answer")))
    }
}
