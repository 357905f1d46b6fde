//! Simulated targets with faults, called by several nodes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use ebonyjunction::routing::{
    DirectoryUpdate, EjectionBound, LoadReport, RouteDecision, RouteRequest, RoutingSettings,
    SendResult, TargetKey, TargetRecord, TargetState, TargetTable,
};
use ebonyjunction::types::{NodeId, RefusalReason, RequestPriority, ServiceName, TickTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TARGETS: usize = 6;
const CALLERS: usize = 4;
const SLOTS: u32 = 10;
const QUEUE_LIMIT: usize = 64;
const SERVICE_MS: f64 = 10.0;
/// 60% of the capacity of the six targets.
const CALLS_PER_S: f64 = 3_600.0;
const WARM_UP_MS: u64 = 20_000;
const FAULT_MS: u64 = 20_000;
const AFTER_MS: u64 = 30_000;
const WINDOW_MS: u64 = 200;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChoicePolicy {
    Table(EjectionBound),
    Random,
}

/// Fault of the first `targets` targets during the fault period.
#[derive(Debug, Clone, Copy)]
struct TargetFault {
    targets: usize,
    slowdown: f64,
    failure_ratio: f64,
}

#[derive(Debug, Clone, Copy)]
struct CallInFlight {
    caller: usize,
    key: TargetKey,
    sent_us: u64,
    in_fault: bool,
}

#[derive(Debug, Default)]
struct SimTarget {
    busy: u32,
    queue: VecDeque<CallInFlight>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    Done { target: usize, call: usize },
}

/// Figures of one run.
#[derive(Debug, Default)]
struct FaultFigures {
    sent_in_fault: usize,
    sent_to_first: usize,
    offered_in_fault: usize,
    good_in_fault: usize,
    latencies_us: Vec<u64>,
    // Calls to the first target, by arrival window.
    first_target_calls: Vec<usize>,
    // Offered and successful calls, by arrival window.
    windows: Vec<(usize, usize)>,
}

struct FaultSim {
    policy: ChoicePolicy,
    fault: TargetFault,
    rng: SmallRng,
    service: ServiceName,
    tables: Vec<(TargetTable, Vec<TargetKey>)>,
    targets: Vec<SimTarget>,
    calls: Vec<CallInFlight>,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    figures: FaultFigures,
}

impl FaultSim {
    fn new(policy: ChoicePolicy, fault: TargetFault) -> Self {
        let ejection_bound = match policy {
            ChoicePolicy::Table(bound) => bound,
            ChoicePolicy::Random => EjectionBound::None,
        };
        let tables = (0..CALLERS).map(|_| new_table(ejection_bound));
        Self {
            policy,
            fault,
            rng: SmallRng::seed_from_u64(20_261_204),
            service: parse_name("orders"),
            tables: tables.collect(),
            targets: (0..TARGETS).map(|_| SimTarget::default()).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            figures: FaultFigures::default(),
        }
    }

    fn run(mut self) -> FaultFigures {
        self.events.push(Reverse((0, SimEvent::Arrival)));
        let end_us = (WARM_UP_MS + FAULT_MS + AFTER_MS) * 1_000;
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            if now_us >= end_us {
                break;
            }
            match event {
                SimEvent::Arrival => self.arrive(now_us),
                SimEvent::Done { target, call } => self.finish(now_us, target, call),
            }
        }
        self.figures
    }

    fn arrive(&mut self, now_us: u64) {
        let gap_us = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / CALLS_PER_S;
        let next = now_us + gap_us as u64 + 1;
        self.events.push(Reverse((next, SimEvent::Arrival)));
        let in_fault = is_in_fault(now_us);
        self.figures.offered_in_fault += usize::from(in_fault);
        self.window(now_us).0 += 1;
        let caller = self.rng.random_range(0..CALLERS);
        let Some(key) = self.choose(now_us, caller) else {
            return;
        };
        let (table, keys) = &mut self.tables[caller];
        table.start(key);
        let target = keys.iter().position(|other| *other == key).unwrap_or(0);
        self.figures.sent_in_fault += usize::from(in_fault);
        self.figures.sent_to_first += usize::from(in_fault && target == 0);
        if target == 0 {
            self.figures.count_first_target_call(now_us);
        }
        let call = CallInFlight {
            caller,
            key,
            sent_us: now_us,
            in_fault,
        };
        self.offer(now_us, target, call);
    }

    fn choose(&mut self, now_us: u64, caller: usize) -> Option<TargetKey> {
        let (table, keys) = &mut self.tables[caller];
        if self.policy == ChoicePolicy::Random {
            return Some(keys[self.rng.random_range(0..keys.len())]);
        }
        let request = RouteRequest {
            service: &self.service,
            endpoint: "/list",
            priority: RequestPriority::from_raw(100),
            acceptable_completion_time: std::time::Duration::ZERO,
            is_nested: false,
            body_bytes: 0,
            excluded: &[],
        };
        match table.choose(tick(now_us), &request, &mut self.rng) {
            RouteDecision::Send(choice) => Some(choice.key),
            RouteDecision::Refuse { .. } => None,
        }
    }

    fn offer(&mut self, now_us: u64, target: usize, call: CallInFlight) {
        if self.targets[target].busy < SLOTS {
            self.start_service(now_us, target, call);
        } else if self.targets[target].queue.len() < QUEUE_LIMIT {
            self.targets[target].queue.push_back(call);
        } else {
            let result = SendResult::Refused(RefusalReason::QueueFull);
            self.record(now_us, target, call, result);
        }
    }

    fn start_service(&mut self, now_us: u64, target: usize, call: CallInFlight) {
        self.targets[target].busy += 1;
        let is_slow = target < self.fault.targets && is_in_fault(now_us);
        let factor = if is_slow { self.fault.slowdown } else { 1.0 };
        let spread = 0.5 + self.rng.random::<f64>();
        let end_us = now_us + (SERVICE_MS * factor * spread * 1e3) as u64;
        self.calls.push(call);
        let call = self.calls.len() - 1;
        self.events
            .push(Reverse((end_us, SimEvent::Done { target, call })));
    }

    fn finish(&mut self, now_us: u64, target: usize, call: usize) {
        let call = self.calls[call];
        self.targets[target].busy -= 1;
        let may_fail = target < self.fault.targets && is_in_fault(now_us);
        let is_failure = may_fail && self.rng.random::<f64>() < self.fault.failure_ratio;
        let result = if is_failure {
            SendResult::Failed
        } else {
            SendResult::Answered
        };
        self.record(now_us, target, call, result);
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start_service(now_us, target, next);
        }
    }

    fn record(&mut self, now_us: u64, target: usize, call: CallInFlight, result: SendResult) {
        let queued = self.targets[target].queue.len() as f64;
        let report = LoadReport {
            queue_wait: Some(Duration::from_secs_f64(
                queued * SERVICE_MS / f64::from(SLOTS) / 1e3,
            )),
            ..LoadReport::default()
        };
        let latency_us = now_us - call.sent_us;
        let latency = Duration::from_micros(latency_us);
        let (table, _) = &mut self.tables[call.caller];
        table.record(tick(now_us), call.key, "/list", latency, result, &report);
        if result == SendResult::Answered {
            self.window(call.sent_us).1 += 1;
            self.figures.good_in_fault += usize::from(call.in_fault);
        }
        if call.in_fault {
            self.figures.latencies_us.push(latency_us);
        }
    }

    fn window(&mut self, now_us: u64) -> &mut (usize, usize) {
        let index = (now_us / 1_000 / WINDOW_MS) as usize;
        let windows = &mut self.figures.windows;
        if windows.len() <= index {
            windows.resize(index + 1, (0, 0));
        }
        &mut windows[index]
    }
}

impl FaultFigures {
    fn count_first_target_call(&mut self, now_us: u64) {
        let index = (now_us / 1_000 / WINDOW_MS) as usize;
        if self.first_target_calls.len() <= index {
            self.first_target_calls.resize(index + 1, 0);
        }
        self.first_target_calls[index] += 1;
    }

    /// Returns the seconds from the end of the fault until the first target gets at least half of an even share of calls.
    fn regain_s(&self) -> f64 {
        let first = ((WARM_UP_MS + FAULT_MS) / WINDOW_MS) as usize;
        let half = CALLS_PER_S * WINDOW_MS as f64 / 1e3 / TARGETS as f64 / 2.0;
        let windows = self.first_target_calls.iter().skip(first);
        let low = windows.take_while(|calls| (**calls as f64) < half).count();
        (low as u64 * WINDOW_MS) as f64 / 1e3
    }

    fn p99_ms(&mut self) -> f64 {
        self.latencies_us.sort_unstable();
        let index = self.latencies_us.len() * 99 / 100;
        let value = self.latencies_us.get(index).copied().unwrap_or(0);
        value as f64 / 1e3
    }

    /// Returns the seconds from the end of the fault to the first window in which at least 95% of the calls succeed.
    fn recovery_s(&self) -> f64 {
        let first = ((WARM_UP_MS + FAULT_MS) / WINDOW_MS) as usize;
        let windows = self.windows.iter().skip(first);
        let is_bad = |(offered, good): &(usize, usize)| *good * 100 < *offered * 95;
        let bad = windows.take_while(|window| is_bad(window)).count();
        (bad as u64 * WINDOW_MS) as f64 / 1e3
    }
}

fn is_in_fault(now_us: u64) -> bool {
    (WARM_UP_MS..WARM_UP_MS + FAULT_MS).contains(&(now_us / 1_000))
}

fn tick(now_us: u64) -> TickTime {
    TickTime::from_start(Duration::from_micros(now_us))
}

fn parse_name<T: for<'a> TryFrom<&'a str>>(raw: &str) -> T {
    let Ok(name) = T::try_from(raw) else {
        unreachable!("{raw} is a valid name");
    };
    name
}

/// Returns a table that holds all targets, and the keys of the targets in index order.
fn new_table(ejection_bound: EjectionBound) -> (TargetTable, Vec<TargetKey>) {
    let settings = RoutingSettings {
        ejection_bound,
        ..RoutingSettings::default()
    };
    let mut table = TargetTable::new(settings, parse_name("east-1"), parse_name("east"));
    let update = DirectoryUpdate {
        changed: (0..TARGETS).map(target_record).collect(),
        ..DirectoryUpdate::default()
    };
    table.apply_update(TickTime::default(), update);
    let keys = (0..TARGETS).filter_map(|index| table.key_of(node_id(index)));
    let keys = keys.collect();
    (table, keys)
}

fn node_id(index: usize) -> NodeId {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&index.to_be_bytes());
    let Ok(id) = NodeId::try_from(bytes.as_slice()) else {
        unreachable!("an identifier has 16 bytes");
    };
    id
}

fn target_record(index: usize) -> TargetRecord {
    TargetRecord {
        node_id: node_id(index),
        service: parse_name("orders"),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        zone: parse_name("east-1"),
        region: parse_name("east"),
        slots: SLOTS,
        connections: 100,
        state: TargetState::Ready,
    }
}

const POLICIES: [(&str, ChoicePolicy); 4] = [
    ("bounded", ChoicePolicy::Table(EjectionBound::Third)),
    ("unbounded", ChoicePolicy::Table(EjectionBound::All)),
    ("no_ejection", ChoicePolicy::Table(EjectionBound::None)),
    ("random", ChoicePolicy::Random),
];

/// Measures one of six targets at a tenth of its speed, first with all answers correct, then with half of them failing.
pub(crate) fn measure_slow_target() {
    for (fault_name, failure_ratio) in [("slow", 0.0), ("slow_and_failing", 0.5)] {
        let fault = TargetFault {
            targets: 1,
            slowdown: 10.0,
            failure_ratio,
        };
        for (policy_name, policy) in POLICIES {
            let mut figures = FaultSim::new(policy, fault).run();
            let prefix = format!("{fault_name}.{policy_name}");
            let share = figures.sent_to_first as f64 * 100.0 / figures.sent_in_fault as f64;
            let goodput = figures.good_in_fault as f64 * 100.0 / figures.offered_in_fault as f64;
            println!("{prefix}.share_percent={share:.2}");
            println!("{prefix}.p99_ms={:.1}", figures.p99_ms());
            println!("{prefix}.regain_s={:.1}", figures.regain_s());
            println!("{prefix}.goodput_percent={goodput:.2}");
        }
    }
}

/// Measures a fault of all targets at once, failing 60% of the calls and then all of them.
pub(crate) fn measure_shared_fault() {
    for (fault_name, failure_ratio) in [("shared_60", 0.6), ("shared_100", 1.0)] {
        let fault = TargetFault {
            targets: TARGETS,
            slowdown: 1.0,
            failure_ratio,
        };
        for (policy_name, policy) in POLICIES {
            let figures = FaultSim::new(policy, fault).run();
            let prefix = format!("{fault_name}.{policy_name}");
            let goodput = figures.good_in_fault as f64 * 100.0 / figures.offered_in_fault as f64;
            println!("{prefix}.goodput_percent={goodput:.2}");
            println!("{prefix}.recovery_s={:.1}", figures.recovery_s());
        }
    }
}
