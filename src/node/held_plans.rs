//! Plans that a node holds, and the time of their last confirmation.

use std::sync::Arc;
use std::time::Duration;

use crate::config::StalePlans;
use crate::plans::PlanBook;
use crate::types::TickTime;

/// Plans of one node with the time of their last confirmation.
#[derive(Debug)]
pub(crate) struct HeldPlans {
    book: Option<Arc<PlanBook>>,
    confirmed_at: Option<TickTime>,
    lease: Duration,
    stale_plans: StalePlans,
}

impl HeldPlans {
    /// Creates the record of a node that holds no plans yet.
    pub(crate) fn new(lease: Duration, stale_plans: StalePlans) -> Self {
        Self {
            book: None,
            confirmed_at: None,
            lease,
            stale_plans,
        }
    }

    /// Returns the version of the plans, or 0 if there are none.
    pub(crate) fn version(&self) -> u64 {
        self.book.as_ref().map_or(0, |book| book.version())
    }

    /// Replaces the plans if `book` is newer; returns whether it was.
    pub(crate) fn adopt(&mut self, book: PlanBook) -> bool {
        let is_newer = self
            .book
            .as_ref()
            .is_none_or(|held| held.version() < book.version());
        if is_newer {
            self.book = Some(Arc::new(book));
        }
        is_newer
    }

    /// Records that `version` was in force at the time `at`; ignored if the node holds another version. Returns whether the
    /// version is held.
    pub(crate) fn confirm(&mut self, version: u64, at: TickTime) -> bool {
        let is_held = self.book.is_some() && self.version() == version;
        if is_held {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        is_held
    }

    /// Returns the plans if work may be admitted under them: they are within the lease, or stale plans are configured to
    /// be served.
    pub(crate) fn usable(&self, now: TickTime) -> Option<Arc<PlanBook>> {
        let book = self.book.as_ref()?;
        let confirmed_at = self.confirmed_at?;
        let is_fresh = now.saturating_since(confirmed_at) < self.lease;
        (is_fresh || self.stale_plans == StalePlans::Serve).then(|| Arc::clone(book))
    }
}
