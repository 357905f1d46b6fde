//! Matches replies of the core to the calls that wait for them.

use tokio::sync::oneshot;

use crate::consensus::PeerMessage;

/// Kind of a reply; replies to the two kinds of vote must not be mixed up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyKind {
    Vote { is_pre_vote: bool },
    Append,
    Snapshot,
    Join,
}

#[derive(Debug)]
struct WaitingCall {
    from: u64,
    kind: ReplyKind,
    reply: oneshot::Sender<PeerMessage>,
}

/// Calls of other replicas that wait for the core's reply, at most until the next flush.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    calls: Vec<WaitingCall>,
}

impl ReplyQueue {
    /// Notes the handler that waits for the reply to a message.
    pub(super) fn expect(
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
            self.calls.push(WaitingCall { from, kind, reply });
        }
    }

    /// Hands a reply to the oldest call that waits for it; returns messages that are no replies.
    pub(super) fn answer(&mut self, to: u64, message: PeerMessage) -> Option<PeerMessage> {
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
            // The caller may have given up.
            let _ = call.reply.send(message);
        }
        None
    }

    /// Ends the calls that the core left without a reply.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
    }
}
