//! Discrete-event simulation of one target and its queueing policy.

use ebonyjunction::types::{PriorityClass, RefusalReason};

use crate::policy::{QueueAction, QueuePolicy};
use crate::scenario::{Arrival, Scenario};

const TICK_S: f64 = 0.02;
/// Work that the target spends on a request that it fails immediately.
const FAILURE_WORK_S: f64 = 0.001;
/// Delay until the upstream node knows a new admission level of the target.
const LEVEL_DELAY_S: f64 = 0.05;

#[derive(Debug)]
pub(crate) struct RunningJob {
    index: usize,
    work_left: f64,
    is_failing: bool,
}

pub(crate) struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) running: Vec<RunningJob>,
    pub(crate) answered: Vec<Option<f64>>,
    pub(crate) refused: Vec<Option<RefusalReason>>,
    pub(crate) shed_upstream: usize,
    pub(crate) critical_shed_while_reads_ran: usize,
    /// Time, admission level and concurrency limit at each tick.
    pub(crate) states: Vec<(f64, u16, u32)>,
}

impl<'a> Simulation<'a> {
    pub(crate) fn run(
        scenario: &'a Scenario,
        arrivals: &'a [Arrival],
        policy: &mut dyn QueuePolicy,
    ) -> Self {
        let mut simulation = Self {
            scenario,
            arrivals,
            running: Vec::new(),
            answered: vec![None; arrivals.len()],
            refused: vec![None; arrivals.len()],
            shed_upstream: 0,
            critical_shed_while_reads_ran: 0,
            states: Vec::new(),
        };
        simulation.process_events(policy);
        simulation
    }

    fn process_events(&mut self, policy: &mut dyn QueuePolicy) {
        let mut now = 0.0;
        let mut next_arrival = 0;
        let mut next_tick = TICK_S;
        while next_arrival < self.arrivals.len() {
            let speed = self.scenario.speed(now, self.running.len());
            let done = self
                .running
                .iter()
                .map(|job| job.work_left)
                .fold(f64::INFINITY, f64::min);
            let next_done = now + done / speed;
            let at = next_done.min(next_tick).min(self.arrivals[next_arrival].at);
            for job in &mut self.running {
                job.work_left -= (at - now) * speed;
            }
            now = at;
            let queue_actions = if now >= next_done {
                self.complete(now, policy)
            } else if now >= next_tick {
                next_tick += TICK_S;
                let queue_actions = policy.tick(now);
                let (level, limit) = policy.state();
                self.states.push((now, level, limit));
                queue_actions
            } else {
                next_arrival += 1;
                self.arrive(now, next_arrival - 1, policy)
            };
            self.apply(&queue_actions);
        }
    }

    fn arrive(&mut self, now: f64, index: usize, policy: &mut dyn QueuePolicy) -> Vec<QueueAction> {
        let arrival = &self.arrivals[index];
        let known = self
            .states
            .iter()
            .rev()
            .find(|state| state.0 <= now - LEVEL_DELAY_S);
        let level = known.map_or(0, |state| state.1);
        let is_below_level = self.scenario.has_upstream && arrival.priority.as_raw() < level;
        if is_below_level && !arrival.is_probe {
            self.shed_upstream += 1;
            return vec![QueueAction::Refuse(index, RefusalReason::AdmissionLevel)];
        }
        policy.offer(now, index, arrival)
    }

    fn complete(&mut self, now: f64, policy: &mut dyn QueuePolicy) -> Vec<QueueAction> {
        let compare_work_left = |a: &(usize, &RunningJob), b: &(usize, &RunningJob)| {
            a.1.work_left.total_cmp(&b.1.work_left)
        };
        let Some((position, _)) = self.running.iter().enumerate().min_by(compare_work_left) else {
            return Vec::new();
        };
        let job = self.running.swap_remove(position);
        if job.is_failing {
            return policy.finish(now, job.index, false);
        }
        self.answered[job.index] = Some(now);
        policy.finish(now, job.index, now <= self.arrivals[job.index].deadline)
    }

    fn apply(&mut self, queue_actions: &[QueueAction]) {
        for queue_action in queue_actions {
            match *queue_action {
                QueueAction::Start(index) => self.start(index),
                QueueAction::Refuse(index, reason) => self.refuse(index, reason),
            }
        }
    }

    fn start(&mut self, index: usize) {
        let working = self.running.iter().filter(|job| !job.is_failing).count();
        let is_failing = self.scenario.fails(working);
        let work = self.arrivals[index].work;
        self.running.push(RunningJob {
            index,
            work_left: if is_failing { FAILURE_WORK_S } else { work },
            is_failing,
        });
    }

    fn refuse(&mut self, index: usize, reason: RefusalReason) {
        self.refused[index] = Some(reason);
        let is_overload_reason = matches!(
            reason,
            RefusalReason::QueueFull | RefusalReason::Displaced | RefusalReason::AdmissionLevel
        );
        let class_of = |index: usize| self.arrivals[index].priority.class();
        let reads_run = self
            .running
            .iter()
            .any(|job| class_of(job.index) == PriorityClass::Read);
        if is_overload_reason && reads_run && class_of(index) == PriorityClass::Critical {
            self.critical_shed_while_reads_ran += 1;
        }
    }
}
