//! Exchange with the leader about incarnations of the local target that have left, so that a restart of the process does not
//! forget them.

use crate::generated::{DepartedTarget, HeartbeatReply, HeartbeatRequest};

/// Ids and starts of incarnations.
type Incarnations = Vec<(String, u64)>;

/// Departures that the leader has received, and whether this process has received those from before its start.
#[derive(Debug, Default)]
pub(super) struct DepartureReport {
    term: u64,
    received: Incarnations,
    has_asked: bool,
}

/// What a heartbeat said and asked about departures.
#[derive(Debug)]
pub(super) struct DepartureQuestion {
    reported: Incarnations,
    is_question: bool,
}

impl From<&HeartbeatRequest> for DepartureQuestion {
    fn from(request: &HeartbeatRequest) -> Self {
        Self {
            reported: incarnations(&request.departed),
            is_question: request.asks_departed,
        }
    }
}

impl DepartureReport {
    /// Adds to a heartbeat the departures that the leader may not know. They are sent again when they have changed and to each
    /// new leader.
    pub(super) fn fill(&self, departed: Incarnations, request: &mut HeartbeatRequest) {
        request.asks_departed = !self.has_asked;
        if self.received != departed {
            let targets = departed.into_iter();
            request.departed = targets
                .map(|(id, born_ms)| DepartedTarget { id, born_ms })
                .collect();
        }
    }

    /// Records what the leader has received. Returns the departures from before the start of this process, once.
    pub(super) fn apply(
        &mut self,
        question: DepartureQuestion,
        reply: &HeartbeatReply,
    ) -> Incarnations {
        if self.term != reply.term {
            // The next heartbeat tells the new leader.
            self.term = reply.term;
            self.received.clear();
        } else if !question.reported.is_empty() {
            self.received = question.reported;
        }
        if !question.is_question || self.has_asked {
            return Vec::new();
        }
        self.has_asked = true;
        log::info!("event=departures_received count={}", reply.departed.len());
        incarnations(&reply.departed)
    }
}

fn incarnations(targets: &[DepartedTarget]) -> Incarnations {
    let targets = targets.iter();
    targets.map(|it| (it.id.clone(), it.born_ms)).collect()
}
