//! Totals of running work by class.

use std::time::Duration;

use crate::types::{PriorityClass, TickTime};

#[derive(Debug, Default, Clone, Copy)]
struct ClassTotal {
    count: usize,
    start_sum: Duration,
}

/// Number and age of running work by class.
#[derive(Debug, Default)]
pub(super) struct RunningWork {
    classes: [ClassTotal; PriorityClass::ALL.len()],
}

impl RunningWork {
    pub(super) fn add(&mut self, now: TickTime, class: PriorityClass) {
        let total = &mut self.classes[class.index()];
        total.count += 1;
        total.start_sum = total.start_sum.saturating_add(now.since_start());
    }

    pub(super) fn remove(&mut self, started: TickTime, class: PriorityClass) {
        let total = &mut self.classes[class.index()];
        total.count = total.count.saturating_sub(1);
        total.start_sum = total.start_sum.saturating_sub(started.since_start());
    }

    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(|total| total.count).sum()
    }

    /// Returns the number of running pieces of work with a class below the given one.
    pub(super) fn count_below(&self, class: PriorityClass) -> usize {
        let below = &self.classes[..class.index()];
        below.iter().map(|total| total.count).sum()
    }

    /// Returns the lowest class of running work.
    pub(super) fn lowest_class(&self) -> Option<PriorityClass> {
        PriorityClass::ALL
            .into_iter()
            .find(|class| self.classes[class.index()].count > 0)
    }

    /// Returns each class with running work, together with the number of pieces and their mean age.
    pub(super) fn ages(
        &self,
        now: TickTime,
    ) -> impl Iterator<Item = (PriorityClass, usize, Duration)> {
        let running = PriorityClass::ALL.into_iter().zip(&self.classes);
        running
            .filter(|(_, total)| total.count > 0)
            .map(move |(class, total)| {
                let mean_start = total.start_sum.div_f64(total.count as f64);
                let age = now.since_start().saturating_sub(mean_start);
                (class, total.count, age)
            })
    }
}
