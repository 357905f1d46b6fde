//! Outgoing replication messages, one sender task per replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tonic::Status;

use crate::consensus::PeerMessage;
use crate::control_client::{MAX_MESSAGE_BYTES, MeshChannel};
use crate::generated::ReplicaInfo;
use crate::generated::replication_client::ReplicationClient;

use super::links::ReplicaChannels;
use super::requests::{InputSender, ReplicaInput};

// Messages beyond this are dropped; the core resends what is not acknowledged.
const PEER_QUEUE_CAPACITY: usize = 256;
// Covers the appends that the core sends without waiting for a reply, and heartbeats.
const MAX_CALLS_IN_FLIGHT: usize = 96;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Queues of outgoing messages by replica address.
#[derive(Debug)]
pub(super) struct PeerQueues {
    runtime: Handle,
    links: ReplicaChannels,
    inputs: InputSender,
    queues: BTreeMap<String, mpsc::Sender<PeerMessage>>,
}

impl PeerQueues {
    pub(super) fn new(runtime: Handle, links: ReplicaChannels, inputs: InputSender) -> Self {
        Self {
            runtime,
            links,
            inputs,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message without blocking.
    pub(super) fn send(&mut self, to: ReplicaInfo, message: PeerMessage) {
        let queue = self.queues.entry(to.address.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let sending = send_queued(to, receiver, self.links.clone(), self.inputs.clone());
            self.runtime.spawn(sending);
            sender
        });
        // The message is dropped if the queue is full, which means that the replica is slow or not reachable.
        let _ = queue.try_send(message);
    }
}

async fn send_queued(
    to: ReplicaInfo,
    mut queue: mpsc::Receiver<PeerMessage>,
    links: ReplicaChannels,
    inputs: InputSender,
) {
    let permits = Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    while let Some(message) = queue.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (to, links, inputs) = (to.clone(), links.clone(), inputs.clone());
        tokio::spawn(async move {
            if let Ok(Some(reply)) = send_message(&links, &to.address, message).await {
                let input = ReplicaInput::Peer {
                    from: to.replica_id,
                    message: reply,
                    reply: None,
                };
                // The core repeats its request if the reply is lost.
                let _ = inputs.send(input);
            }
            drop(permit);
        });
    }
}

async fn send_message(
    links: &ReplicaChannels,
    address: &str,
    message: PeerMessage,
) -> Result<Option<PeerMessage>, Status> {
    match message {
        PeerMessage::Vote(request) => {
            let is_pre_vote = request.pre_vote;
            let call = |channel| async move { replication(channel).vote(request).await };
            let reply = links.call(address, CALL_TIMEOUT, call).await?;
            Ok(Some(PeerMessage::VoteReply(reply, is_pre_vote)))
        }
        PeerMessage::Append(request) => {
            let call = |channel| async move { replication(channel).append(request).await };
            let reply = links.call(address, CALL_TIMEOUT, call).await?;
            Ok(Some(PeerMessage::AppendReply(reply)))
        }
        PeerMessage::Snapshot(chunk) => {
            let call = |channel| async move { replication(channel).install_snapshot(chunk).await };
            let reply = links.call(address, SNAPSHOT_TIMEOUT, call).await?;
            Ok(Some(PeerMessage::SnapshotReply(reply)))
        }
        PeerMessage::Join(request) => {
            let call = |channel| async move { replication(channel).join(request).await };
            let reply = links.call(address, CALL_TIMEOUT, call).await?;
            Ok(Some(PeerMessage::JoinReply(reply)))
        }
        // Replies are sent as gRPC responses, see `ReplyQueue`.
        PeerMessage::VoteReply(..)
        | PeerMessage::AppendReply(_)
        | PeerMessage::SnapshotReply(_)
        | PeerMessage::JoinReply(_) => Ok(None),
    }
}

fn replication(channel: MeshChannel) -> ReplicationClient<MeshChannel> {
    ReplicationClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}
