//! Replication service: passes each message to the replica thread and returns its reply.

use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use crate::consensus::PeerMessage;
use crate::generated::replication_server::Replication;
use crate::generated::{
    AppendReply, AppendRequest, JoinReply, JoinRequest, SnapshotChunk, SnapshotReply, VoteReply,
    VoteRequest,
};

use super::requests::{InputSender, ReplicaInput};

/// Handlers of the replication service.
#[derive(Debug, Clone)]
pub(super) struct ReplicationService {
    pub(super) inputs: InputSender,
}

impl ReplicationService {
    async fn send_and_wait(&self, from: u64, message: PeerMessage) -> Result<PeerMessage, Status> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(ReplicaInput::Peer {
            from,
            message,
            reply: Some(reply),
        })?;
        let no_reply = |_| Status::unavailable("the replica gave no reply");
        answer.await.map_err(no_reply)
    }
}

#[tonic::async_trait]
impl Replication for ReplicationService {
    async fn vote(&self, request: Request<VoteRequest>) -> Result<Response<VoteReply>, Status> {
        let request = request.into_inner();
        let candidate = request.candidate.as_ref();
        let from = candidate
            .ok_or_else(|| Status::invalid_argument("the candidate is missing"))?
            .replica_id;
        match self.send_and_wait(from, PeerMessage::Vote(request)).await? {
            PeerMessage::VoteReply(reply, _) => Ok(Response::new(reply)),
            _ => Err(unexpected_reply()),
        }
    }

    async fn append(
        &self,
        request: Request<AppendRequest>,
    ) -> Result<Response<AppendReply>, Status> {
        let request = request.into_inner();
        if !are_entries_valid(&request) {
            return Err(Status::invalid_argument(
                "the entries do not follow each other",
            ));
        }
        let from = request.leader_id;
        match self
            .send_and_wait(from, PeerMessage::Append(request))
            .await?
        {
            PeerMessage::AppendReply(reply) => Ok(Response::new(reply)),
            _ => Err(unexpected_reply()),
        }
    }

    async fn install_snapshot(
        &self,
        request: Request<SnapshotChunk>,
    ) -> Result<Response<SnapshotReply>, Status> {
        let chunk = request.into_inner();
        let from = chunk.leader_id;
        match self
            .send_and_wait(from, PeerMessage::Snapshot(chunk))
            .await?
        {
            PeerMessage::SnapshotReply(reply) => Ok(Response::new(reply)),
            _ => Err(unexpected_reply()),
        }
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<JoinReply>, Status> {
        let request = request.into_inner();
        let replica = request.replica.as_ref();
        let from = replica
            .ok_or_else(|| Status::invalid_argument("the replica is missing"))?
            .replica_id;
        match self.send_and_wait(from, PeerMessage::Join(request)).await? {
            PeerMessage::JoinReply(reply) => Ok(Response::new(reply)),
            _ => Err(unexpected_reply()),
        }
    }
}

/// Returns whether the entries are consecutive, not from a later term, and have a command each. The core treats other
/// entries as corruption of its log, which would stop the replica.
fn are_entries_valid(request: &AppendRequest) -> bool {
    let next_index = request.previous_index.checked_add(1);
    let mut expected = next_index.into_iter().flat_map(|first| first..);
    request.entries.iter().all(|entry| {
        expected.next() == Some(entry.index)
            && entry.term <= request.term
            && entry.command.is_some()
    })
}

fn unexpected_reply() -> Status {
    Status::internal("the reply does not belong to the message")
}
