//! Matches replies of the core to the gRPC calls that wait for them.

use tokio::sync::oneshot;

use crate::consensus::PeerMessage;

/// Kind of a reply. Replies to votes and to pre-votes must not be confused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyKind {
    Vote { is_pre_vote: bool },
    Append,
    Snapshot,
    Join,
}

#[derive(Debug)]
struct PendingCall {
    from: u64,
    kind: ReplyKind,
    reply: oneshot::Sender<PeerMessage>,
}

/// Calls of other replicas that wait for a reply of the core, at most until its next flush.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    calls: Vec<PendingCall>,
}

impl ReplyQueue {
    /// Registers the handler that waits for the reply to a message.
    pub(super) fn register(
        &mut self,
        from: u64,
        message: &PeerMessage,
        reply: Option<oneshot::Sender<PeerMessage>>,
    ) {
        let kind = match message {
            PeerMessage::Vote(request) => ReplyKind::Vote {
                is_pre_vote: request.pre_vote,
            },
            PeerMessage::Append(_) => ReplyKind::Append,
            PeerMessage::Snapshot(_) => ReplyKind::Snapshot,
            PeerMessage::Join(_) => ReplyKind::Join,
            _ => return,
        };
        if let Some(reply) = reply {
            self.calls.push(PendingCall { from, kind, reply });
        }
    }

    /// Sends a reply to the oldest call that waits for it. Returns the message if it is not a reply.
    pub(super) fn deliver(&mut self, to: u64, message: PeerMessage) -> Option<PeerMessage> {
        let kind = match &message {
            PeerMessage::VoteReply(_, is_pre_vote) => ReplyKind::Vote {
                is_pre_vote: *is_pre_vote,
            },
            PeerMessage::AppendReply(_) => ReplyKind::Append,
            PeerMessage::SnapshotReply(_) => ReplyKind::Snapshot,
            PeerMessage::JoinReply(_) => ReplyKind::Join,
            _ => return Some(message),
        };
        let mut calls = self.calls.iter();
        if let Some(position) = calls.position(|call| call.from == to && call.kind == kind) {
            let call = self.calls.remove(position);
            // Sending fails if the caller has cancelled the call.
            let _ = call.reply.send(message);
        }
        None
    }

    /// Fails the calls that the core did not reply to.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
    }
}
