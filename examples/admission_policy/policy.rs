//! The two queueing policies that are compared.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebonyjunction::admission::{
    AdmissionControl, AdmissionSettings, OfferDecision, WorkAction, WorkKey, WorkRequest,
    WorkResult,
};
use ebonyjunction::types::{RefusalReason, TickTime};

use crate::scenario::Arrival;

const FIFO_LIMIT: usize = 1_000;

pub(crate) fn tick_time(now: f64) -> TickTime {
    TickTime::from_start(Duration::from_secs_f64(now))
}

/// Queueing policy of one target. A request is identified by its index in the arrivals.
pub(crate) trait QueuePolicy {
    fn offer(&mut self, now: f64, index: usize, arrival: &Arrival) -> Vec<QueueAction>;
    fn finish(&mut self, now: f64, index: usize, in_time: bool) -> Vec<QueueAction>;
    fn tick(&mut self, now: f64) -> Vec<QueueAction>;
    /// Returns the admission level and the concurrency limit.
    fn state(&self) -> (u16, u32);
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum QueueAction {
    Start(usize),
    Refuse(usize, RefusalReason),
}

pub(crate) struct Admission {
    control: AdmissionControl,
    by_key: BTreeMap<WorkKey, usize>,
    by_index: BTreeMap<usize, WorkKey>,
}

impl Admission {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            control: AdmissionControl::new(AdmissionSettings::default(), slots),
            by_key: BTreeMap::new(),
            by_index: BTreeMap::new(),
        }
    }

    fn queue_actions(&mut self, actions: Vec<WorkAction>) -> Vec<QueueAction> {
        let translate = |action| match action {
            WorkAction::Start(key) => QueueAction::Start(self.by_key[&key]),
            WorkAction::Refuse(key, reason) => QueueAction::Refuse(self.by_key[&key], reason),
        };
        actions.into_iter().map(translate).collect()
    }
}

impl QueuePolicy for Admission {
    fn offer(&mut self, now: f64, index: usize, arrival: &Arrival) -> Vec<QueueAction> {
        let request = WorkRequest {
            priority: arrival.priority,
            depth: 0,
            deadline: tick_time(arrival.deadline),
        };
        let (decision, actions) = self.control.offer(tick_time(now), request);
        let mut queue_actions = self.queue_actions(actions);
        match decision {
            OfferDecision::Refused(reason) => {
                queue_actions.push(QueueAction::Refuse(index, reason));
            }
            OfferDecision::Started(key) | OfferDecision::Queued(key) => {
                self.by_key.insert(key, index);
                self.by_index.insert(index, key);
                if matches!(decision, OfferDecision::Started(_)) {
                    queue_actions.push(QueueAction::Start(index));
                }
            }
        }
        queue_actions
    }

    fn finish(&mut self, now: f64, index: usize, in_time: bool) -> Vec<QueueAction> {
        let result = if in_time {
            WorkResult::Success
        } else {
            WorkResult::Failure
        };
        let actions = self
            .control
            .finish(tick_time(now), self.by_index[&index], result);
        self.queue_actions(actions)
    }

    fn tick(&mut self, now: f64) -> Vec<QueueAction> {
        let actions = self.control.tick(tick_time(now));
        self.queue_actions(actions)
    }

    fn state(&self) -> (u16, u32) {
        (self.control.level().as_raw(), self.control.limit())
    }
}

pub(crate) struct Fifo {
    slots: usize,
    running: usize,
    queue: VecDeque<usize>,
}

impl Fifo {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: 0,
            queue: VecDeque::new(),
        }
    }
}

impl QueuePolicy for Fifo {
    fn offer(&mut self, _now: f64, index: usize, _arrival: &Arrival) -> Vec<QueueAction> {
        if self.running < self.slots {
            self.running += 1;
            return vec![QueueAction::Start(index)];
        }
        if self.queue.len() == FIFO_LIMIT {
            return vec![QueueAction::Refuse(index, RefusalReason::QueueFull)];
        }
        self.queue.push_back(index);
        Vec::new()
    }

    fn finish(&mut self, _now: f64, _index: usize, _in_time: bool) -> Vec<QueueAction> {
        let next = self.queue.pop_front();
        self.running -= usize::from(next.is_none());
        next.into_iter().map(QueueAction::Start).collect()
    }

    fn tick(&mut self, _now: f64) -> Vec<QueueAction> {
        Vec::new()
    }

    fn state(&self) -> (u16, u32) {
        (0, self.slots as u32)
    }
}
