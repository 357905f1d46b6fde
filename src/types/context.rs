//! Context that is passed along with an attempt.

use super::{
    AttemptId, CallerName, IdempotencyKey, PriorityClass, RequestId, RequestPriority, ServiceName,
    TickTime,
};

/// What a node knows about one attempt that it sends or receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptContext {
    /// Identifier of the request, the same over the whole chain of calls.
    pub request_id: RequestId,
    /// Identifier of this attempt, that is of one send over one hop.
    pub attempt_id: AttemptId,
    /// Caller that sent the entry request.
    pub origin: CallerName,
    /// Immediate caller: the origin at the entry, otherwise the caller name of the sending service.
    pub via: CallerName,
    /// Service that is called.
    pub service: ServiceName,
    /// First segment of the path within the service, with a leading slash.
    pub endpoint: String,
    /// Priority class inherited from the entry request.
    pub class: PriorityClass,
    /// Priority for load shedding, the same at every node.
    pub priority: RequestPriority,
    /// Number of attempts that the receiver may still make for its own calls.
    pub allowance: u8,
    /// Time on this process's clock after which the answer is useless to the caller.
    pub deadline: TickTime,
    /// Number of hops since the entry, 0 at the entry.
    pub depth: u8,
    /// Idempotency key of at-most-once work, `None` for repeatable work.
    pub claim_key: Option<IdempotencyKey>,
}
