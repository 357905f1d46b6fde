//! A call that further replicas are asked to answer while the earlier ones take long.
//!
//! A replica that answers late is told from one that does not answer only by waiting. Giving the late one up would drop an
//! answer that is on its way, and a caller whose link or processor is busy would get no answer from any replica.

use tokio::task::JoinSet;
use tokio::time::Instant;
use tonic::{Response, Status};

use super::channels::ReplicaChannel;

/// Largest number of replicas that one call waits for.
const MAX_PENDING_CALLS: usize = 8;

/// Replica that a call was sent to.
#[derive(Debug, Clone)]
pub(super) struct AskedReplica {
    pub(super) channel: ReplicaChannel,
    pub(super) asked_at: Instant,
}

/// Result of the call to one replica.
#[derive(Debug)]
pub(super) struct CallEnd<T> {
    pub(super) asked: AskedReplica,
    pub(super) result: Result<T, Status>,
}

/// Calls that are not answered yet, in the order in which they began. Dropping it cancels them.
#[derive(Debug)]
pub(super) struct PendingCalls<T> {
    tasks: JoinSet<CallEnd<T>>,
    asked: Vec<AskedReplica>,
}

impl<T: Send + 'static> PendingCalls<T> {
    pub(super) fn new() -> Self {
        Self {
            tasks: JoinSet::new(),
            asked: Vec::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    pub(super) fn has_room(&self) -> bool {
        self.asked.len() < MAX_PENDING_CALLS
    }

    /// Returns whether a call is pending on a channel.
    pub(super) fn contains(&self, channel: &ReplicaChannel) -> bool {
        let mut asked = self.asked.iter();
        asked.any(|asked| asked.channel.number == channel.number)
    }

    /// Returns the replica that was asked last among those that have not answered.
    pub(super) fn latest(&self) -> Option<&ReplicaChannel> {
        self.asked.last().map(|asked| &asked.channel)
    }

    pub(super) fn start<F>(&mut self, channel: ReplicaChannel, call: F)
    where
        F: Future<Output = Result<Response<T>, Status>> + Send + 'static,
    {
        let asked = AskedReplica {
            channel,
            asked_at: Instant::now(),
        };
        self.asked.push(asked.clone());
        self.tasks.spawn(async move {
            let result = call.await.map(Response::into_inner);
            CallEnd { asked, result }
        });
    }

    /// Waits for the next end of a call; `None` if no call is pending.
    pub(super) async fn next_end(&mut self) -> Option<CallEnd<T>> {
        let end = self.tasks.join_next().await?;
        // The tasks are cancelled only when all of them are dropped.
        let end = end.expect("a call to a replica does not panic");
        let number = end.asked.channel.number;
        self.asked.retain(|asked| asked.channel.number != number);
        Some(end)
    }

    /// Returns the replicas that have not answered.
    pub(super) fn into_unanswered(self) -> Vec<AskedReplica> {
        self.asked
    }
}
