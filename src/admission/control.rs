//! Admission control of one target.

use std::time::Duration;

use rand::{Rng, RngCore};
use slotmap::SlotMap;

use crate::types::{PriorityClass, RefusalReason, RequestPriority, TickTime};

use super::level::LevelControl;
use super::limit::ConcurrencyLimit;
use super::queue::{QueueRank, WorkQueue};
use super::running::RunningWork;
use super::service_time::ServiceTimes;
use super::settings::AdmissionSettings;
use super::work::{OfferDecision, WorkAction, WorkKey, WorkRequest, WorkResult};

/// Mean time after which a refused caller may retry, in addition to the expected wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Relative jitter of the retry time in both directions, which spreads out the retries of refused callers.
const RETRY_JITTER: f64 = 0.5;

/// Lower bound on an expected service time, needed because work that has just started has an age of zero.
const MIN_SERVICE_TIME_S: f64 = 0.000_01;

#[derive(Debug, Clone, Copy)]
enum WorkState {
    Queued(QueueRank),
    Running {
        since: TickTime,
        cohort: Option<u32>,
    },
}

#[derive(Debug, Clone, Copy)]
struct WorkEntry {
    request: WorkRequest,
    state: WorkState,
}

/// Decides which work a target runs, queues or refuses.
#[derive(Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    entries: SlotMap<WorkKey, WorkEntry>,
    queue: WorkQueue,
    running: RunningWork,
    times: ServiceTimes,
    limit: ConcurrencyLimit,
    level: LevelControl,
    sequence: u64,
    service_time: Duration,
    slot_free_interval: Duration,
}

impl AdmissionControl {
    /// Creates the admission control of a target with the announced number of slots.
    pub fn new(settings: AdmissionSettings, slots: u32) -> Self {
        Self {
            settings,
            entries: SlotMap::with_key(),
            queue: WorkQueue::default(),
            running: RunningWork::default(),
            times: ServiceTimes::default(),
            limit: ConcurrencyLimit::new(slots),
            level: LevelControl::new(),
            sequence: 0,
            service_time: Duration::ZERO,
            slot_free_interval: Duration::ZERO,
        }
    }

    /// Decides whether new work runs, waits or is refused. The actions concern queued work that is displaced or can now
    /// start.
    pub fn offer(
        &mut self,
        now: TickTime,
        request: WorkRequest,
    ) -> (OfferDecision, Vec<WorkAction>) {
        let mut actions = Vec::new();
        self.level.record_offer(request.priority);
        self.update_estimates(now);
        self.start_queued(now, &mut actions);
        let decision = match self.check_deadline(now, &request) {
            Err(reason) => OfferDecision::Refused(reason),
            Ok(()) if self.has_free_slot() => self.offer_to_free_slot(now, request),
            Ok(()) => self.offer_to_queue(now, request, &mut actions),
        };
        (decision, actions)
    }

    /// Ends running work and starts queued work in the freed slot. Unknown keys are ignored.
    pub fn finish(&mut self, now: TickTime, key: WorkKey, result: WorkResult) -> Vec<WorkAction> {
        let mut actions = Vec::new();
        let Some(entry) = self.entries.get(key).copied() else {
            return actions;
        };
        let WorkState::Running { since, cohort } = entry.state else {
            return actions;
        };
        self.entries.remove(key);
        let class = entry.request.priority.class();
        self.running.remove(since, class);
        let log_ratio = self.record_service_time(now, class, now - since, result);
        if let Some(cohort) = cohort {
            self.limit.finish(cohort, log_ratio, result);
        }
        self.update_estimates(now);
        self.start_queued(now, &mut actions);
        actions
    }

    /// Removes queued work. Returns true if the work was still queued, so it did not run and never will. Running work is
    /// not affected.
    pub fn cancel(&mut self, _now: TickTime, key: WorkKey) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let WorkState::Queued(rank) = entry.state else {
            return false;
        };
        self.queue.remove(rank);
        self.entries.remove(key);
        true
    }

    /// Refuses expired work and adapts the concurrency limit and the admission level. Must be called every 20 ms.
    pub fn tick(&mut self, now: TickTime) -> Vec<WorkAction> {
        let mut actions = Vec::new();
        self.update_estimates(now);
        self.refuse_infeasible(now, &mut actions);
        self.adapt_limit(now);
        self.sample_level();
        let cap = self.level_cap();
        self.level.update(now, self.settings.level_period, cap);
        self.start_queued(now, &mut actions);
        actions
    }

    /// Refuses all queued work because the process stops. Work offered later is still admitted by the usual rules.
    pub fn drain(&mut self) -> Vec<WorkAction> {
        let keys: Vec<WorkKey> = self.queue.keys().collect();
        self.queue = WorkQueue::default();
        keys.into_iter()
            .map(|key| self.refuse(key, RefusalReason::Stopping))
            .collect()
    }

    /// Changes the number of slots. If it shrinks, excess work runs to completion. If it grows, the next offer, finish or
    /// tick starts queued work in the new slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    /// Returns the admission level: requests of a lower priority are refused.
    pub fn level(&self) -> RequestPriority {
        self.level.get()
    }

    /// Returns the expected wait of the last entry of the queue.
    pub fn expected_wait(&self) -> Duration {
        self.slot_free_interval
            .saturating_mul(u32::try_from(self.queue.len()).unwrap_or(u32::MAX))
    }

    /// Returns the number of running pieces of work.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued pieces of work.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the adaptive concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns a jittered time after which refused work may be offered again.
    pub fn retry_after(&self, rng: &mut dyn RngCore) -> Duration {
        let mean = RETRY_AFTER + self.expected_wait();
        mean.mul_f64(rng.random_range(1.0 - RETRY_JITTER..1.0 + RETRY_JITTER))
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    /// Updates the expected service time and the expected time between two slots becoming free.
    fn update_estimates(&mut self, now: TickTime) {
        self.service_time = self.expected_slot_time(now);
        self.slot_free_interval = self.service_time / self.limit.get().max(1);
    }

    /// Returns the expected time for which work holds a slot: the number of running pieces divided by the rate at which
    /// they finish. Unlike a plain mean, it is not dominated by a few long uploads while the other slots turn over quickly.
    fn expected_slot_time(&self, now: TickTime) -> Duration {
        let overall = self.times.expected_overall(now);
        let mut finish_rate = 0.0;
        for (class, count, age) in self.running.ages(now) {
            // The age of running work reveals a slowdown before the first slow work finishes.
            let known = self.times.expected(now, class);
            let expected = if known.is_zero() { overall } else { known };
            let service_time = expected.max(age);
            let service_s = service_time.as_secs_f64().max(MIN_SERVICE_TIME_S);
            finish_rate += count as f64 / service_s;
        }
        if finish_rate == 0.0 {
            return overall;
        }
        Duration::from_secs_f64(self.running.len() as f64 / finish_rate)
    }

    fn check_deadline(&self, now: TickTime, request: &WorkRequest) -> Result<(), RefusalReason> {
        self.check_deadline_with_wait(now, Duration::ZERO, request)
    }

    fn check_deadline_with_wait(
        &self,
        now: TickTime,
        wait: Duration,
        request: &WorkRequest,
    ) -> Result<(), RefusalReason> {
        if request.deadline <= now {
            return Err(RefusalReason::DeadlineExceeded);
        }
        let service = self.times.expected(now, request.priority.class());
        if now + wait + service > request.deadline {
            return Err(RefusalReason::DeadlineInfeasible);
        }
        Ok(())
    }

    /// Starts work in a free slot unless its whole class is below the admission level. While a slot is free, refusing part
    /// of a class saves nothing, but a lower class must not run while the level refuses work of a higher class.
    fn offer_to_free_slot(&mut self, now: TickTime, request: WorkRequest) -> OfferDecision {
        if request.priority.class() < self.level.get().class() {
            return OfferDecision::Refused(RefusalReason::AdmissionLevel);
        }
        let state = self.occupy(now, request.priority.class());
        let key = self.entries.insert(WorkEntry { request, state });
        OfferDecision::Started(key)
    }

    fn offer_to_queue(
        &mut self,
        now: TickTime,
        request: WorkRequest,
        actions: &mut Vec<WorkAction>,
    ) -> OfferDecision {
        self.sequence += 1;
        let rank = QueueRank::new(&request, self.sequence);
        let ahead = u32::try_from(self.queue.count_before(rank)).unwrap_or(u32::MAX);
        let wait = self
            .slot_free_interval
            .saturating_mul(ahead.saturating_add(1));
        if let Err(reason) = self.check_deadline_with_wait(now, wait, &request) {
            return OfferDecision::Refused(reason);
        }
        if let Err(reason) = self.ensure_queue_room(rank, &request, actions) {
            return OfferDecision::Refused(reason);
        }
        let state = WorkState::Queued(rank);
        let key = self.entries.insert(WorkEntry { request, state });
        self.queue.push(rank, key);
        OfferDecision::Queued(key)
    }

    /// Makes room in the queue for new work, displacing work of a lower rank if the queue is full.
    ///
    /// While requests of lower classes run, the limit is `queue_limit` plus their number, because the class gets their
    /// slots next. Otherwise it is `max_queue_len()`, or 0 for a request below the admission level. A
    /// higher class is therefore refused only when queued work already claims all slots that lower classes hold.
    fn ensure_queue_room(
        &mut self,
        rank: QueueRank,
        request: &WorkRequest,
        actions: &mut Vec<WorkAction>,
    ) -> Result<(), RefusalReason> {
        let level = self.level.get();
        if request.priority.class() < level.class() {
            return Err(RefusalReason::AdmissionLevel);
        }
        let is_below_level = request.priority < level;
        let lower_running = self.running.count_below(rank.class());
        let bound = match (lower_running, is_below_level) {
            (1.., _) => self.settings.queue_limit,
            (0, true) => 0,
            (0, false) => self.max_queue_len(),
        };
        if self.queue.len() < bound + lower_running {
            return Ok(());
        }
        let can_displace = self.queue.lowest().is_some_and(|lowest| {
            lowest.class() < rank.class() || (!is_below_level && lowest < rank)
        });
        if !can_displace {
            return Err(if is_below_level {
                RefusalReason::AdmissionLevel
            } else {
                RefusalReason::QueueFull
            });
        }
        if let Some(key) = self.queue.pop_lowest() {
            actions.push(self.refuse(key, RefusalReason::Displaced));
        }
        Ok(())
    }

    fn max_queue_len(&self) -> usize {
        let limit = self.limit.get() as usize;
        if limit == 0 {
            return 0;
        }
        if self.slot_free_interval.is_zero() {
            return self.settings.queue_limit;
        }
        let scaled_wait = self.service_time.mul_f64(self.settings.max_wait_factor);
        let max_wait = self.settings.max_wait.max(scaled_wait);
        let max_waiting = max_wait.as_secs_f64() / self.slot_free_interval.as_secs_f64();
        (max_waiting.ceil() as usize).min(self.settings.queue_limit)
    }

    fn start_queued(&mut self, now: TickTime, actions: &mut Vec<WorkAction>) {
        while self.has_free_slot() {
            let Some(key) = self.queue.pop_first() else {
                return;
            };
            let action = self.start(now, key);
            actions.extend(action);
        }
    }

    fn start(&mut self, now: TickTime, key: WorkKey) -> Option<WorkAction> {
        let request = self.entries.get(key)?.request;
        if let Err(reason) = self.check_deadline(now, &request) {
            return Some(self.refuse(key, reason));
        }
        let state = self.occupy(now, request.priority.class());
        self.entries.get_mut(key)?.state = state;
        Some(WorkAction::Start(key))
    }

    fn occupy(&mut self, now: TickTime, class: PriorityClass) -> WorkState {
        self.running.add(now, class);
        WorkState::Running {
            since: now,
            cohort: self.limit.start(now, self.running.len()),
        }
    }

    fn refuse(&mut self, key: WorkKey, reason: RefusalReason) -> WorkAction {
        self.entries.remove(key);
        WorkAction::Refuse(key, reason)
    }

    /// Refuses queued work that has expired or can no longer meet its deadline.
    fn refuse_infeasible(&mut self, now: TickTime, actions: &mut Vec<WorkAction>) {
        let keys: Vec<WorkKey> = self.queue.keys().collect();
        for key in keys {
            let Some(entry) = self.entries.get(key).copied() else {
                continue;
            };
            let verdict = self.check_deadline(now, &entry.request);
            if let (Err(reason), WorkState::Queued(rank)) = (verdict, entry.state) {
                self.queue.remove(rank);
                actions.push(self.refuse(key, reason));
            }
        }
    }

    /// Returns the highest allowed admission level. It may refuse work of the lowest class that runs or waits, but none of a
    /// higher class.
    fn level_cap(&self) -> RequestPriority {
        let waiting = self.queue.lowest().map(QueueRank::class);
        let lowest = waiting.into_iter().chain(self.running.lowest_class()).min();
        let above = PriorityClass::ALL
            .into_iter()
            .find(|class| lowest.is_some_and(|lowest| *class > lowest));
        above.map_or(
            RequestPriority::from_raw(u16::MAX),
            RequestPriority::lowest_of,
        )
    }

    fn record_service_time(
        &mut self,
        now: TickTime,
        class: PriorityClass,
        service_time: Duration,
        result: WorkResult,
    ) -> Option<f64> {
        if result == WorkResult::NotStarted {
            return None;
        }
        self.level.record_finish();
        // A fast failure is no sample of the service time; a slow one is a lower bound of it.
        let is_sample =
            result == WorkResult::Success || service_time > self.times.expected(now, class);
        is_sample.then(|| self.times.record(now, class, service_time))
    }

    fn adapt_limit(&mut self, now: TickTime) {
        if let Some(ready) = self.limit.ready_cohort() {
            for entry in self.entries.values() {
                if let WorkState::Running { since, cohort } = entry.state
                    && cohort == Some(ready)
                {
                    let class = entry.request.priority.class();
                    self.limit
                        .add_unfinished(self.times.log_ratio(class, now - since));
                }
            }
        }
        self.limit.evaluate(now);
    }

    fn sample_level(&mut self) {
        let limit = self.limit.get().max(1);
        let scaled_wait = self.service_time.mul_f64(self.settings.wait_factor);
        let bound = self.settings.wait_bound.max(scaled_wait);
        let bound_s = bound.as_secs_f64().max(f64::MIN_POSITIVE);
        let wait_ratio = self.expected_wait().as_secs_f64() / bound_s;
        let utilisation = self.running.len() as f64 / f64::from(limit);
        self.level.sample(wait_ratio, utilisation);
    }
}
