//! Concurrency slots of one target and the queue of requests that wait for one, ordered by urgency. A target that names a limit
//! on its requests per second gets them at that rate.
//!
//! A *nested* request is a call made by a request that is already running elsewhere; all others are *outer* requests.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::types::{ChainRank, TickTime};

use super::request_limit::{RequestLimit, RequestRate};

new_key_type! {
    /// Handle of a waiting request.
    pub struct WaitKey;
}

/// Fraction of the slots that is never used. Some targets slow down when they are nearly full, and a last slot that slows
/// down all others loses more throughput than it adds.
const SPARE_SLOT_FRACTION: f64 = 0.06;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Lower bound on the mean service time, which keeps rates finite when a target answers immediately.
const MIN_SERVICE_TIME_S: f64 = 0.000_1;
/// Upper bound on an expected wait, far beyond any latency objective.
const MAX_WAIT_S: f64 = 600.0;
/// Fraction of the mean service time that must remain before the deadline when a request starts.
const MIN_SERVICE_FRACTION: f64 = 0.6;
/// Service time assumed before the first sample; it only has to be within the range of common requests.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Largest fraction of the slots that can be reserved for nested requests.
const MAX_RESERVED_FRACTION: f64 = 0.7;
/// Slots reserved for nested requests, as a multiple of the average number of them that run or wait. It is above 1 because
/// they arrive in bursts.
const NESTED_HEADROOM: f64 = 3.0;
/// Weight of one arrival in the moving average of nested requests that run or wait.
const NESTED_LOAD_WEIGHT: f64 = 0.05;
/// Time after the last nested request for which slots stay reserved.
const NESTED_RESERVATION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of waiting requests per slot. Any more would wait longer than any latency objective.
const MAX_WAITING_PER_SLOT: usize = 8;

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Whether the request is a call made by a running request, which holds a slot elsewhere while it waits.
    pub is_nested: bool,
    /// Rank of the route; 0 is the most urgent.
    pub urgency: u32,
    /// Order among equally urgent requests, derived from the call chain that the request belongs to.
    pub chain_rank: ChainRank,
    /// Latency objective: the time by which the answer should arrive.
    pub objective: TickTime,
    /// Deadline after which an answer is useless.
    pub deadline: TickTime,
}

/// Decision about a newly offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot and must be ended with [`SlotQueue::finish`].
    Start,
    /// The request waits; a later [`SlotAction`] starts or refuses it.
    Wait(WaitKey),
    /// The request is refused.
    Refuse {
        /// Expected time until a slot is free for a request like this one.
        wait: Duration,
    },
}

/// Decision about a request that has been waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAction {
    /// The request holds a slot and must be ended with [`SlotQueue::finish`].
    Start(WaitKey),
    /// The request is refused without having run; the duration is the expected wait of a request like this one.
    Refuse(WaitKey, Duration),
}

/// Position in the queue. The smallest rank starts first and the greatest is displaced first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitRank {
    urgency: u32,
    // Nested requests precede equally urgent outer ones, because their parents hold slots.
    is_outer: bool,
    // A chain succeeds only if all its calls do. The rank makes every overloaded target prefer the same chains.
    chain_rank: ChainRank,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct WaitEntry {
    request: SlotRequest,
    rank: WaitRank,
}

/// Slots of a target and the queue of requests that wait for one.
///
/// A request waits only while it can still start in time for its objective. Otherwise it is refused immediately, so that
/// the sender can try another target or tell the client when to retry.
#[derive(Debug)]
pub struct SlotQueue {
    slots: u32,
    running: u32,
    running_nested: u32,
    last_nested_at: Option<TickTime>,
    /// Moving average of the number of nested requests that run or wait.
    nested_load: f64,
    entries: SlotMap<WaitKey, WaitEntry>,
    /// Waiting nested requests, kept separately because they may use reserved slots.
    nested: BTreeMap<WaitRank, WaitKey>,
    /// Waiting outer requests.
    outer: BTreeMap<WaitRank, WaitKey>,
    sequence: u64,
    nested_time: ServiceTime,
    outer_time: ServiceTime,
    limit: Option<RequestLimit>,
}

/// Moving average of the time for which nested or outer requests hold a slot.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceTime {
    mean_s: Option<f64>,
}

impl ServiceTime {
    fn add(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        let mean_s = self.mean_s.get_or_insert(sample_s);
        *mean_s += SERVICE_TIME_WEIGHT * (sample_s - *mean_s);
        *mean_s = mean_s.max(MIN_SERVICE_TIME_S);
    }

    fn seconds(self) -> f64 {
        self.mean_s.unwrap_or(INITIAL_SERVICE_TIME.as_secs_f64())
    }
}

/// Numbers of waiting nested and outer requests.
#[derive(Debug, Clone, Copy, Default)]
struct WaitingCount {
    nested: usize,
    outer: usize,
}

impl WaitingCount {
    fn add(&mut self, is_nested: bool) {
        if is_nested {
            self.nested += 1;
        } else {
            self.outer += 1;
        }
    }
}

impl SlotQueue {
    /// Creates a queue for a target that announces `slots` slots, of which a small fraction stays unused.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: usable_slots(slots),
            running: 0,
            running_nested: 0,
            last_nested_at: None,
            nested_load: 0.0,
            entries: SlotMap::with_key(),
            nested: BTreeMap::new(),
            outer: BTreeMap::new(),
            sequence: 0,
            nested_time: ServiceTime::default(),
            outer_time: ServiceTime::default(),
            limit: None,
        }
    }

    /// Changes the number of slots. If it shrinks, the excess requests run to completion.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = usable_slots(slots);
    }

    /// Sets or removes the limit on requests per second. A limit that stays keeps the requests that it has counted.
    pub fn set_limit(&mut self, now: TickTime, rate: Option<RequestRate>) {
        match (rate, &mut self.limit) {
            (Some(rate), Some(limit)) => limit.set_rate(now, rate),
            (Some(rate), none) => *none = Some(RequestLimit::new(now, rate)),
            (None, limit) => *limit = None,
        }
    }

    /// Returns the limit on requests per second.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate())
    }

    /// Returns the time until the limit admits one more request than those that wait; `None` without a limit.
    pub fn limit_wait(&self, now: TickTime) -> Option<Duration> {
        let requests = self.entries.len() + 1;
        self.limit.map(|limit| limit.time_until(now, requests))
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.entries.len()
    }

    /// Returns the expected wait of a request that would be queued last among nested or outer requests. Nested requests
    /// overtake equally urgent outer ones, so a nested request is assumed to wait only for other nested ones.
    pub fn expected_wait(&self, now: TickTime, is_nested: bool) -> Duration {
        let nested = self.nested.len();
        let outer = if is_nested { 0 } else { self.outer.len() };
        let mut ahead = WaitingCount { nested, outer };
        if self.running < self.slots {
            ahead.add(is_nested);
            return self.time_until_admitted(now, ahead);
        }
        self.expected_wait_behind(now, ahead, is_nested)
    }

    fn queue_mut(&mut self, is_nested: bool) -> &mut BTreeMap<WaitRank, WaitKey> {
        if is_nested {
            &mut self.nested
        } else {
            &mut self.outer
        }
    }

    /// Decides whether a request starts, waits or is refused. The actions refuse waiting requests that it displaces.
    pub fn offer(
        &mut self,
        now: TickTime,
        request: SlotRequest,
    ) -> (SlotDecision, Vec<SlotAction>) {
        let mut actions = Vec::new();
        if request.deadline <= now {
            let wait = Duration::ZERO;
            return (SlotDecision::Refuse { wait }, actions);
        }
        if request.is_nested {
            self.record_nested_arrival(now);
        }
        let is_queue_empty = self.queue_mut(request.is_nested).is_empty();
        if self.may_start(now, request.is_nested) && is_queue_empty {
            self.occupy(now, request.is_nested);
            return (SlotDecision::Start, actions);
        }
        self.sequence += 1;
        let rank = WaitRank {
            urgency: request.urgency,
            is_outer: !request.is_nested,
            chain_rank: request.chain_rank,
            sequence: self.sequence,
        };
        let ahead = WaitingCount {
            nested: self.nested.range(..rank).count(),
            outer: self.outer.range(..rank).count(),
        };
        let wait = self.expected_wait_behind(now, ahead, request.is_nested);
        let can_start = now + wait <= self.latest_start(&request);
        if !can_start || !self.displace_if_full(now, rank, &mut actions) {
            return (SlotDecision::Refuse { wait }, actions);
        }
        let key = self.entries.insert(WaitEntry { request, rank });
        self.queue_mut(request.is_nested).insert(rank, key);
        (SlotDecision::Wait(key), actions)
    }

    /// Ends a request that held a slot and starts waiting requests in the freed slot. `service_time` is `None` if the
    /// request is no valid sample of the speed of the target.
    pub fn finish(
        &mut self,
        now: TickTime,
        is_nested: bool,
        service_time: Option<Duration>,
    ) -> Vec<SlotAction> {
        self.running = self.running.saturating_sub(1);
        if is_nested {
            self.running_nested = self.running_nested.saturating_sub(1);
        }
        if let Some(sample) = service_time {
            if is_nested {
                self.nested_time.add(sample);
            } else {
                self.outer_time.add(sample);
            }
        }
        self.start_waiting(now)
    }

    /// Removes a waiting request. Returns false if it was no longer waiting.
    pub fn cancel(&mut self, key: WaitKey) -> bool {
        let Some(entry) = self.entries.remove(key) else {
            return false;
        };
        self.queue_mut(entry.request.is_nested).remove(&entry.rank);
        true
    }

    /// Refuses waiting requests that can no longer start in time, because their latest start has passed or because
    /// other requests were queued ahead of them.
    pub fn expire(&mut self, now: TickTime) -> Vec<SlotAction> {
        let waiting = self.nested.iter().chain(&self.outer);
        let mut order: Vec<(WaitRank, WaitKey)> =
            waiting.map(|(rank, key)| (*rank, *key)).collect();
        order.sort_unstable();
        let mut ahead = WaitingCount::default();
        let mut late = Vec::new();
        for (_, key) in order {
            let Some(entry) = self.entries.get(key) else {
                continue;
            };
            let is_nested = entry.request.is_nested;
            let wait = self.time_to_start(now, ahead, is_nested);
            if now + wait > self.latest_start(&entry.request) {
                late.push(key);
            } else {
                ahead.add(is_nested);
            }
        }
        late.into_iter().map(|key| self.refuse(now, key)).collect()
    }

    /// Refuses all waiting requests, for use when the target leaves or the process stops.
    pub fn refuse_all(&mut self, now: TickTime) -> Vec<SlotAction> {
        let keys: Vec<WaitKey> = self.entries.keys().collect();
        keys.into_iter().map(|key| self.refuse(now, key)).collect()
    }

    /// Starts waiting requests while slots are free and the limit admits them.
    pub fn start_waiting(&mut self, now: TickTime) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        while let Some(key) = self.next_startable(now) {
            let Some(entry) = self.entries.get(key).copied() else {
                break;
            };
            self.cancel(key);
            if entry.request.deadline <= now {
                actions.push(SlotAction::Refuse(key, Duration::ZERO));
                continue;
            }
            self.occupy(now, entry.request.is_nested);
            actions.push(SlotAction::Start(key));
        }
        actions
    }

    /// Returns the first waiting request that may take a free slot.
    fn next_startable(&self, now: TickTime) -> Option<WaitKey> {
        let nested = self.nested.first_key_value();
        let nested = nested.filter(|_| self.may_start(now, true));
        let outer = self.outer.first_key_value();
        let outer = outer.filter(|_| self.may_start(now, false));
        let first = nested.into_iter().chain(outer).min();
        first.map(|(_, key)| *key)
    }

    /// Returns whether a request may take a free slot. While nested requests arrive, some slots are reserved for them, so
    /// that a nested call of 50 ms does not have to wait until one of many long outer requests ends.
    fn may_start(&self, now: TickTime, is_nested: bool) -> bool {
        let is_admitted = self.limit.is_none_or(|limit| limit.has_token(now));
        if self.running >= self.slots || !is_admitted {
            return false;
        }
        let has_recent_nested = self
            .last_nested_at
            .is_some_and(|at| now.saturating_since(at) <= NESTED_RESERVATION_TIME);
        if is_nested || !has_recent_nested {
            return true;
        }
        let wanted = (self.nested_load * NESTED_HEADROOM).ceil();
        let reserved = wanted.min(f64::from(self.slots) * MAX_RESERVED_FRACTION) as u32;
        self.running - self.running_nested < self.slots - reserved
    }

    fn record_nested_arrival(&mut self, now: TickTime) {
        self.last_nested_at = Some(now);
        let waiting = self.nested.len() as f64;
        let load = f64::from(self.running_nested) + waiting + 1.0;
        self.nested_load += NESTED_LOAD_WEIGHT * (load - self.nested_load);
    }

    fn occupy(&mut self, now: TickTime, is_nested: bool) {
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        self.running += 1;
        self.running_nested += u32::from(is_nested);
    }

    /// Returns the latest time at which a request may start. A later start would miss the objective, or would leave too
    /// little time to finish before the deadline. The latter bound uses only a fraction of the mean service time, because
    /// many requests take less than the mean.
    fn latest_start(&self, request: &SlotRequest) -> TickTime {
        let mean_s = if request.is_nested {
            self.nested_time.seconds()
        } else {
            self.outer_time.seconds()
        };
        let least = Duration::from_secs_f64(mean_s * MIN_SERVICE_FRACTION);
        let since_start = request.deadline.since_start().saturating_sub(least);
        let latest_for_deadline = TickTime::from_start(since_start);
        request
            .objective
            .min(request.deadline)
            .min(latest_for_deadline)
    }

    fn refuse(&mut self, now: TickTime, key: WaitKey) -> SlotAction {
        let entry = self.entries.get(key);
        let is_nested = entry.is_some_and(|entry| entry.request.is_nested);
        self.cancel(key);
        SlotAction::Refuse(key, self.expected_wait(now, is_nested))
    }

    /// Displaces the waiting request of the greatest rank if the queue is full and `rank` is smaller. Returns whether a
    /// request of that rank can be queued.
    fn displace_if_full(
        &mut self,
        now: TickTime,
        rank: WaitRank,
        actions: &mut Vec<SlotAction>,
    ) -> bool {
        let max_waiting = self.slots as usize * MAX_WAITING_PER_SLOT;
        if self.entries.len() < max_waiting {
            return true;
        }
        let last_entries = [self.nested.last_key_value(), self.outer.last_key_value()];
        match last_entries.into_iter().flatten().max() {
            Some((last, key)) if *last > rank => {
                let key = *key;
                actions.push(self.refuse(now, key));
                true
            }
            _ => false,
        }
    }

    /// Returns the expected wait of a request that is queued behind `ahead` other requests.
    fn expected_wait_behind(
        &self,
        now: TickTime,
        mut ahead: WaitingCount,
        is_nested: bool,
    ) -> Duration {
        ahead.add(is_nested);
        self.time_to_start(now, ahead, is_nested)
    }

    /// Returns the time until the limit has admitted the given numbers of waiting requests.
    fn time_until_admitted(&self, now: TickTime, ahead: WaitingCount) -> Duration {
        let requests = ahead.nested + ahead.outer;
        let wait = self.limit.map(|limit| limit.time_until(now, requests));
        wait.unwrap_or_default()
    }

    /// Returns the expected time until the given numbers of waiting requests have started.
    fn time_to_start(&self, now: TickTime, ahead: WaitingCount, is_nested: bool) -> Duration {
        let slot_wait = self.time_to_slot(ahead, is_nested);
        slot_wait.max(self.time_until_admitted(now, ahead))
    }

    fn time_to_slot(&self, ahead: WaitingCount, is_nested: bool) -> Duration {
        let (nested_s, outer_s) = (self.nested_time.seconds(), self.outer_time.seconds());
        let wait_s = if is_nested {
            // Nested requests may use every slot that is free or becomes free.
            let free = self.slots.saturating_sub(self.running) as usize;
            let waiting = (ahead.nested + ahead.outer).saturating_sub(free);
            let running_outer = self.running.saturating_sub(self.running_nested);
            let freed_per_s =
                f64::from(self.running_nested) / nested_s + f64::from(running_outer) / outer_s;
            waiting as f64 / freed_per_s.max(f64::EPSILON)
        } else {
            let work_s = nested_s * ahead.nested as f64 + outer_s * ahead.outer as f64;
            work_s / f64::from(self.slots.max(1))
        };
        Duration::from_secs_f64(wait_s.min(MAX_WAIT_S))
    }
}

fn usable_slots(slots: u32) -> u32 {
    let spare = (f64::from(slots) * SPARE_SLOT_FRACTION).round() as u32;
    slots - spare
}
