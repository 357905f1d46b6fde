//! Context that an attempt carries down the chain.

use super::{
    AttemptId, CallerName, IdempotencyKey, PriorityClass, RequestId, RequestPriority, ServiceName,
    TickTime,
};

/// What a node knows about one attempt that it sends or receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptContext {
    /// Request that the whole chain serves.
    pub request_id: RequestId,
    /// This send over one hop.
    pub attempt_id: AttemptId,
    /// Caller that sent the entry request.
    pub origin: CallerName,
    /// Immediate caller: the origin at the entry, else the caller of the sending service.
    pub via: CallerName,
    /// Service that is called.
    pub service: ServiceName,
    /// First segment of the path within the service, with a leading slash.
    pub endpoint: String,
    /// Class inherited from the entry request.
    pub class: PriorityClass,
    /// Shedding order, the same at every node.
    pub priority: RequestPriority,
    /// Attempts that the receiver may still spend on its own calls.
    pub allowance: u8,
    /// Time on this process's clock after which the answer is of no use.
    pub deadline: TickTime,
    /// Hops since the entry, 0 at the entry.
    pub depth: u8,
    /// Key of at-most-once work; absent for repeatable work.
    pub claim_key: Option<IdempotencyKey>,
}
