//! Totals over the work that occupies slots.

use std::time::Duration;

use crate::types::{PriorityClass, TickTime};

/// Number and age of running work.
#[derive(Debug, Default)]
pub(super) struct RunningWork {
    by_class: [usize; PriorityClass::ALL.len()],
    start_sum: Duration,
}

impl RunningWork {
    pub(super) fn add(&mut self, now: TickTime, class: PriorityClass) {
        self.by_class[class.index()] += 1;
        self.start_sum = self.start_sum.saturating_add(now.since_start());
    }

    pub(super) fn remove(&mut self, started: TickTime, class: PriorityClass) {
        let count = &mut self.by_class[class.index()];
        *count = count.saturating_sub(1);
        self.start_sum = self.start_sum.saturating_sub(started.since_start());
    }

    pub(super) fn len(&self) -> usize {
        self.by_class.iter().sum()
    }

    /// Returns how much running work has a class below the given one.
    pub(super) fn count_below(&self, class: PriorityClass) -> usize {
        self.by_class[..class.index()].iter().sum()
    }

    /// Returns the lowest class of running work.
    pub(super) fn lowest_class(&self) -> Option<PriorityClass> {
        PriorityClass::ALL
            .into_iter()
            .find(|class| self.by_class[class.index()] > 0)
    }

    /// Returns the mean time that running work has spent in its slot so far.
    pub(super) fn mean_age(&self, now: TickTime) -> Duration {
        let count = self.len();
        if count == 0 {
            return Duration::ZERO;
        }
        let mean_start = self.start_sum.div_f64(count as f64);
        now.since_start().saturating_sub(mean_start)
    }
}
