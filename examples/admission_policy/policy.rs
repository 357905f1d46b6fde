//! The two policies under comparison.

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

/// What a policy does with requests, named by their index in the arrivals.
pub(crate) trait QueuePolicy {
    fn offer(&mut self, now: f64, index: usize, arrival: &Arrival) -> Vec<Verdict>;
    fn finish(&mut self, now: f64, index: usize, in_time: bool) -> Vec<Verdict>;
    fn tick(&mut self, now: f64) -> Vec<Verdict>;
    /// Level and limit.
    fn state(&self) -> (u16, u32);
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Verdict {
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

    fn verdicts(&mut self, actions: Vec<WorkAction>) -> Vec<Verdict> {
        let translate = |action| match action {
            WorkAction::Start(key) => Verdict::Start(self.by_key[&key]),
            WorkAction::Refuse(key, reason) => Verdict::Refuse(self.by_key[&key], reason),
        };
        actions.into_iter().map(translate).collect()
    }
}

impl QueuePolicy for Admission {
    fn offer(&mut self, now: f64, index: usize, arrival: &Arrival) -> Vec<Verdict> {
        let request = WorkRequest {
            priority: arrival.priority,
            depth: 0,
            deadline: tick_time(arrival.deadline),
        };
        let (decision, actions) = self.control.offer(tick_time(now), request);
        let mut verdicts = self.verdicts(actions);
        match decision {
            OfferDecision::Refused(reason) => verdicts.push(Verdict::Refuse(index, reason)),
            OfferDecision::Started(key) | OfferDecision::Queued(key) => {
                self.by_key.insert(key, index);
                self.by_index.insert(index, key);
                if matches!(decision, OfferDecision::Started(_)) {
                    verdicts.push(Verdict::Start(index));
                }
            }
        }
        verdicts
    }

    fn finish(&mut self, now: f64, index: usize, in_time: bool) -> Vec<Verdict> {
        let result = if in_time {
            WorkResult::Success
        } else {
            WorkResult::Failure
        };
        let actions = self
            .control
            .finish(tick_time(now), self.by_index[&index], result);
        self.verdicts(actions)
    }

    fn tick(&mut self, now: f64) -> Vec<Verdict> {
        let actions = self.control.tick(tick_time(now));
        self.verdicts(actions)
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
    fn offer(&mut self, _now: f64, index: usize, _arrival: &Arrival) -> Vec<Verdict> {
        if self.running < self.slots {
            self.running += 1;
            return vec![Verdict::Start(index)];
        }
        if self.queue.len() == FIFO_LIMIT {
            return vec![Verdict::Refuse(index, RefusalReason::QueueFull)];
        }
        self.queue.push_back(index);
        Vec::new()
    }

    fn finish(&mut self, _now: f64, _index: usize, _in_time: bool) -> Vec<Verdict> {
        let next = self.queue.pop_front();
        self.running -= usize::from(next.is_none());
        next.into_iter().map(Verdict::Start).collect()
    }

    fn tick(&mut self, _now: f64) -> Vec<Verdict> {
        Vec::new()
    }

    fn state(&self) -> (u16, u32) {
        (0, self.slots as u32)
    }
}
