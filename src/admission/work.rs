//! Work as seen by admission, and the decisions about it.

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
    /// Hops since the entry; deeper work has more invested in it.
    pub depth: u8,
    /// Time after which the answer is of no use.
    pub deadline: TickTime,
}

/// Decision about offered work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// The work runs now and must be finished with [`super::AdmissionControl::finish`].
    Started(WorkKey),
    /// The work waits; a later action starts or refuses it.
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
    /// The target failed, broke off or did not answer in time.
    Failure,
    /// The target never got the work.
    NotStarted,
}
