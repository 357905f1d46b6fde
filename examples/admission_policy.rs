//! Compares admission control with a first-in first-out queue on one simulated target.
//!
//! Both policies get the same arrivals and service demands in simulated time. One `key=value` line is printed per
//! figure; figures are means over the seeds unless the key says otherwise.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebonyjunction::admission::{
    AdmissionControl, AdmissionSettings, OfferDecision, WorkAction, WorkKey, WorkRequest,
    WorkResult,
};
use ebonyjunction::types::{PriorityClass, RefusalReason, RequestPriority, TickTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 5;
const TICK_S: f64 = 0.02;
const FIFO_LIMIT: usize = 1_000;
const PROBE_SHARE: f64 = 0.02;
/// Time until a caller knows the level of an answer.
const LEVEL_DELAY_S: f64 = 0.05;
const RECOVERED: f64 = 0.95;
const RECOVERY_WINDOW_S: f64 = 0.5;
/// Share of read, interactive, upload and critical requests.
const MIX: [f64; 4] = [0.5, 0.2, 0.1, 0.2];
const DEADLINES_S: [f64; 4] = [1.0, 1.0, 2.0, 2.0];

/// How service time depends on concurrency.
#[derive(Debug, Clone, Copy)]
enum TargetModel {
    /// Every request runs at full speed.
    Independent,
    /// Requests above this number share the speed.
    Shared(f64),
    /// As `Shared`, and the total speed falls with the square root of the excess.
    Thrashing(f64),
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    slots: u32,
    service_s: f64,
    /// Standard deviation of the logarithm of the service time.
    noise: f64,
    load: f64,
    model: TargetModel,
    slow_from_s: f64,
    slow_until_s: f64,
    slow_speed: f64,
    demand_factor: f64,
    cold_s: f64,
    end_s: f64,
    has_upstream: bool,
}

const SURGE: Scenario = Scenario {
    name: "surge",
    slots: 35,
    service_s: 0.05,
    noise: 0.8,
    load: 0.6,
    model: TargetModel::Independent,
    slow_from_s: 10.0,
    slow_until_s: 30.0,
    slow_speed: 0.25,
    demand_factor: 2.0,
    cold_s: 0.0,
    end_s: 45.0,
    has_upstream: false,
};

const SCENARIOS: &[Scenario] = &[
    SURGE,
    Scenario {
        name: "surge_upstream",
        has_upstream: true,
        ..SURGE
    },
    Scenario {
        name: "surge_small",
        slots: 10,
        service_s: 0.2,
        ..SURGE
    },
    Scenario {
        name: "surge_shared",
        model: TargetModel::Shared(12.0),
        service_s: 0.02,
        ..SURGE
    },
    Scenario {
        name: "surge_thrashing",
        model: TargetModel::Thrashing(12.0),
        service_s: 0.02,
        ..SURGE
    },
    Scenario {
        name: "steady_noisy",
        noise: 1.6,
        load: 0.7,
        slow_until_s: 10.0,
        ..SURGE
    },
    Scenario {
        name: "cold_start",
        cold_s: 10.0,
        load: 0.5,
        slow_until_s: 10.0,
        ..SURGE
    },
    Scenario {
        name: "low_load",
        slots: 10,
        load: 0.02,
        slow_until_s: 10.0,
        ..SURGE
    },
];

impl Scenario {
    fn is_slow(&self, now: f64) -> bool {
        (self.slow_from_s..self.slow_until_s).contains(&now)
    }

    /// Requests per second that the target can carry at full speed.
    fn capacity(&self) -> f64 {
        let parallel = match self.model {
            TargetModel::Independent => f64::from(self.slots),
            TargetModel::Shared(cores) | TargetModel::Thrashing(cores) => cores,
        };
        parallel / self.service_s
    }

    fn speed(&self, now: f64, running: usize) -> f64 {
        let shared = match self.model {
            TargetModel::Independent => 1.0,
            TargetModel::Shared(cores) => (cores / running.max(1) as f64).min(1.0),
            TargetModel::Thrashing(cores) => (cores / running.max(1) as f64).min(1.0).powf(1.5),
        };
        let slowed = if self.is_slow(now) {
            self.slow_speed
        } else {
            1.0
        };
        let warm = if now < self.cold_s {
            0.2 + 0.8 * now / self.cold_s
        } else {
            1.0
        };
        shared * slowed * warm
    }

    fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut now = 0.0;
        while now < self.end_s {
            let factor = if self.is_slow(now) {
                self.demand_factor
            } else {
                1.0
            };
            let rate = self.capacity() * self.load * factor;
            now -= (1.0 - rng.random::<f64>()).ln() / rate;
            let class = pick_class(rng.random());
            // Mean of the lognormal distribution is 1 with this shift.
            let shift = -self.noise * self.noise / 2.0;
            let work = self.service_s * (normal(&mut rng) * self.noise + shift).exp();
            let hash: u16 = rng.random::<u16>() >> 2;
            arrivals.push(Arrival {
                at: now,
                deadline: now + DEADLINES_S[class.index()],
                priority: RequestPriority::from_raw(((class as u16) << 14) | hash),
                is_probe: rng.random_bool(PROBE_SHARE),
                work,
            });
        }
        arrivals
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: f64,
    deadline: f64,
    priority: RequestPriority,
    is_probe: bool,
    work: f64,
}

fn pick_class(mut point: f64) -> PriorityClass {
    for class in PriorityClass::ALL {
        if point < MIX[class.index()] {
            return class;
        }
        point -= MIX[class.index()];
    }
    PriorityClass::Critical
}

fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn tick_time(now: f64) -> TickTime {
    TickTime::from_start(Duration::from_secs_f64(now))
}

/// What a policy does with requests, named by their index in the arrivals.
trait QueuePolicy {
    fn offer(&mut self, now: f64, index: usize, arrival: &Arrival) -> Vec<Verdict>;
    fn finish(&mut self, now: f64, index: usize, in_time: bool) -> Vec<Verdict>;
    fn tick(&mut self, now: f64) -> Vec<Verdict>;
    /// Level and limit.
    fn state(&self) -> (u16, u32);
}

#[derive(Debug, Clone, Copy)]
enum Verdict {
    Start(usize),
    Refuse(usize, RefusalReason),
}

struct Admission {
    control: AdmissionControl,
    by_key: BTreeMap<WorkKey, usize>,
    by_index: BTreeMap<usize, WorkKey>,
}

impl Admission {
    fn new(slots: u32) -> Self {
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

struct Fifo {
    slots: usize,
    running: usize,
    queue: VecDeque<usize>,
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

#[derive(Debug)]
struct RunningJob {
    index: usize,
    work_left: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    running: Vec<RunningJob>,
    answered: Vec<Option<f64>>,
    refused: Vec<Option<RefusalReason>>,
    shed_upstream: usize,
    critical_shed_while_reads_ran: usize,
    states: Vec<(f64, u16, u32)>,
}

impl<'a> Simulation<'a> {
    fn run(scenario: &'a Scenario, arrivals: &'a [Arrival], policy: &mut dyn QueuePolicy) -> Self {
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
        simulation.drive(policy);
        simulation
    }

    fn drive(&mut self, policy: &mut dyn QueuePolicy) {
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
            let verdicts = if now >= next_done {
                self.complete(now, policy)
            } else if now >= next_tick {
                next_tick += TICK_S;
                let verdicts = policy.tick(now);
                let (level, limit) = policy.state();
                self.states.push((now, level, limit));
                verdicts
            } else {
                next_arrival += 1;
                self.arrive(now, next_arrival - 1, policy)
            };
            self.apply(&verdicts);
        }
    }

    fn arrive(&mut self, now: f64, index: usize, policy: &mut dyn QueuePolicy) -> Vec<Verdict> {
        let arrival = &self.arrivals[index];
        let known = self
            .states
            .iter()
            .rev()
            .find(|state| state.0 <= now - LEVEL_DELAY_S);
        let level = known.map_or(0, |state| state.1);
        let is_shut_out = self.scenario.has_upstream && arrival.priority.as_raw() < level;
        if is_shut_out && !arrival.is_probe {
            self.shed_upstream += 1;
            return vec![Verdict::Refuse(index, RefusalReason::AdmissionLevel)];
        }
        policy.offer(now, index, arrival)
    }

    fn complete(&mut self, now: f64, policy: &mut dyn QueuePolicy) -> Vec<Verdict> {
        let by_work = |a: &(usize, &RunningJob), b: &(usize, &RunningJob)| {
            a.1.work_left.total_cmp(&b.1.work_left)
        };
        let Some((position, _)) = self.running.iter().enumerate().min_by(by_work) else {
            return Vec::new();
        };
        let job = self.running.swap_remove(position);
        self.answered[job.index] = Some(now);
        policy.finish(now, job.index, now <= self.arrivals[job.index].deadline)
    }

    fn apply(&mut self, verdicts: &[Verdict]) {
        for verdict in verdicts {
            match *verdict {
                Verdict::Start(index) => self.running.push(RunningJob {
                    index,
                    work_left: self.arrivals[index].work,
                }),
                Verdict::Refuse(index, reason) => self.refuse(index, reason),
            }
        }
    }

    fn refuse(&mut self, index: usize, reason: RefusalReason) {
        self.refused[index] = Some(reason);
        let is_for_room = matches!(
            reason,
            RefusalReason::QueueFull | RefusalReason::Displaced | RefusalReason::AdmissionLevel
        );
        let class_of = |index: usize| self.arrivals[index].priority.class();
        let reads_run = self
            .running
            .iter()
            .any(|job| class_of(job.index) == PriorityClass::Read);
        if is_for_room && reads_run && class_of(index) == PriorityClass::Critical {
            self.critical_shed_while_reads_ran += 1;
        }
    }

    fn is_good(&self, index: usize) -> bool {
        self.answered[index].is_some_and(|at| at <= self.arrivals[index].deadline)
    }

    /// Timely answers given in a period, per second.
    fn goodput(&self, from: f64, until: f64) -> f64 {
        let in_period = |index: &usize| {
            self.answered[*index].is_some_and(|at| (from..until).contains(&at))
                && self.is_good(*index)
        };
        (0..self.arrivals.len()).filter(in_period).count() as f64 / (until - from)
    }

    /// Share of the requests that arrive in a period and are answered in time.
    fn success(&self, from: f64, until: f64, class: Option<PriorityClass>) -> f64 {
        let arrived: Vec<usize> = (0..self.arrivals.len())
            .filter(|&index| (from..until).contains(&self.arrivals[index].at))
            .filter(|&index| {
                class.is_none_or(|class| self.arrivals[index].priority.class() == class)
            })
            .collect();
        let good = arrived.iter().filter(|&&index| self.is_good(index)).count();
        good as f64 / arrived.len().max(1) as f64
    }

    /// Time after the slowdown until a window of arrivals is served to 95%.
    fn recovery(&self) -> f64 {
        let mut start = self.scenario.slow_until_s;
        while start < self.scenario.end_s - 3.0 {
            if self.success(start, start + RECOVERY_WINDOW_S, None) >= RECOVERED {
                return start - self.scenario.slow_until_s;
            }
            start += 0.05;
        }
        f64::INFINITY
    }

    fn figures(&self) -> Vec<(String, f64)> {
        let scenario = self.scenario;
        let mut figures = Vec::new();
        let mut add = |key: &str, value: f64| figures.push((key.to_owned(), value));
        let has_slowdown = scenario.slow_until_s > scenario.slow_from_s;
        if has_slowdown {
            let slowed = scenario.capacity() * scenario.slow_speed;
            add(
                "goodput_ratio",
                self.goodput(scenario.slow_from_s, scenario.slow_until_s) / slowed,
            );
            add("recovery_s", self.recovery());
            let critical = Some(PriorityClass::Critical);
            add(
                "critical_success",
                self.success(scenario.slow_from_s, scenario.slow_until_s, critical),
            );
        }
        add(
            "success_outside",
            self.success(scenario.slow_until_s + 2.0, scenario.end_s - 3.0, None),
        );
        add(
            "success_before",
            self.success(0.0, scenario.slow_from_s, None),
        );
        for class in PriorityClass::ALL {
            let is_refused = |&index: &usize| {
                self.refused[index].is_some() && self.arrivals[index].priority.class() == class
            };
            let count = (0..self.arrivals.len()).filter(is_refused).count();
            add(&format!("refused_{class}"), count as f64);
        }
        add("shed_upstream", self.shed_upstream as f64);
        let late = (0..self.arrivals.len())
            .filter(|&index| self.answered[index].is_some() && !self.is_good(index));
        add("answered_late", late.count() as f64);
        add(
            "critical_shed_while_reads_ran",
            self.critical_shed_while_reads_ran as f64,
        );
        let limits = self.states.iter().map(|state| f64::from(state.2));
        add("limit_min", limits.fold(f64::INFINITY, f64::min));
        if has_slowdown {
            let steady = scenario.slow_from_s + 5.0..scenario.slow_until_s;
            let levels: Vec<f64> = self
                .states
                .iter()
                .filter(|state| steady.contains(&state.0))
                .map(|state| f64::from(state.1) / 16_384.0)
                .collect();
            let mean = levels.iter().sum::<f64>() / levels.len() as f64;
            let variance = levels
                .iter()
                .map(|level| (level - mean).powi(2))
                .sum::<f64>()
                / levels.len() as f64;
            add("level_mean", mean);
            add("level_deviation", variance.sqrt());
            add("level_max", levels.iter().copied().fold(0.0, f64::max));
        }
        figures
    }
}

fn main() {
    for scenario in SCENARIOS {
        for policy_name in ["fifo", "admission"] {
            let mut totals: BTreeMap<String, f64> = BTreeMap::new();
            for seed in 0..SEEDS {
                let arrivals = scenario.arrivals(seed);
                let mut policy: Box<dyn QueuePolicy> = match policy_name {
                    "fifo" => Box::new(Fifo {
                        slots: scenario.slots as usize,
                        running: 0,
                        queue: VecDeque::new(),
                    }),
                    _ => Box::new(Admission::new(scenario.slots)),
                };
                let simulation = Simulation::run(scenario, &arrivals, policy.as_mut());
                for (key, value) in simulation.figures() {
                    *totals.entry(key).or_default() += value / SEEDS as f64;
                }
            }
            for (key, value) in totals {
                println!("{}.{policy_name}.{key}={value:.3}", scenario.name);
            }
        }
    }
}
