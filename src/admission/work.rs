//! Types of offered work and of the decisions about it.

use slotmap::new_key_type;

use crate::types::{RefusalReason, RequestPriority, TickTime};

new_key_type! {
    /// Handle of admitted work, from its offer until it finishes, is refused or is cancelled.
    pub struct WorkKey;
}

/// Work offered to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkRequest {
    /// Class and shedding order.
    pub priority: RequestPriority,
    /// Number of hops since the entry node. More work has already been done for a deeper request.
    pub depth: u8,
    /// Deadline after which the answer is useless.
    pub deadline: TickTime,
}

/// Decision about offered work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// The work runs now and must be finished with [`super::AdmissionControl::finish`].
    Started(WorkKey),
    /// The work waits; a later [`WorkAction`] starts or refuses it.
    Queued(WorkKey),
    /// The work is refused and has no key.
    Refused(RefusalReason),
}

/// Decision about work that was queued before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkAction {
    /// The work runs now and must be finished with [`super::AdmissionControl::finish`].
    Start(WorkKey),
    /// The work is refused without having run; its key is no longer valid.
    Refuse(WorkKey, RefusalReason),
}

/// How running work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkResult {
    /// The target answered in time.
    Success,
    /// The target failed, broke off its answer or did not answer in time.
    Failure,
    /// The work never reached the target.
    NotStarted,
}
