//! Simulation of a control plane and the nodes that follow it, in one process, over in-memory streams and a paused clock.

#[path = "../simulation/disk.rs"]
mod disk;
mod faults;
mod network;
mod oracle;
mod processes;
mod trace;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, timeout};

pub use faults::FaultKind;
use faults::{FAULT_KINDS, LaterStep, log_uniform};
use network::StreamNetwork;
use oracle::{RouteOracle, routes_of};
use processes::{NodeMachine, ReplicaMachine, machine};

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which the first version is in force everywhere.
const START_TIME: Duration = Duration::from_secs(20);
/// Time within which all replicas have joined.
const JOIN_TIME: Duration = Duration::from_secs(6);
const FAULT_PERIOD: Duration = Duration::from_secs(40);
const CALM_PERIOD: Duration = Duration::from_secs(12);
/// Time after which an operator sends a change again, to another replica.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
const OPERATOR_PAUSE: Duration = Duration::from_millis(100);
/// Number of replicas in the settings of a process.
const SEEDS: usize = 3;
/// Interval between reports of a sound endpoint.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What a seed draws for its schedule.
#[derive(Debug)]
struct FaultPlan {
    kinds: Vec<FaultKind>,
    tolerance: usize,
    longest_fault_s: f64,
    longest_pause_s: f64,
    longest_change_pause_s: f64,
    loss: f64,
}

#[derive(Debug)]
struct SimulatedFleet {
    rng: SmallRng,
    plan: FaultPlan,
    network: StreamNetwork,
    replicas: Vec<ReplicaMachine>,
    nodes: Vec<NodeMachine>,
    oracle: RouteOracle,
    lost_until: BTreeMap<SocketAddr, Instant>,
    steps: BTreeMap<(Instant, u64), LaterStep>,
    last_step: u64,
    last_machine: u8,
    began_at: Instant,
    is_tracing: bool,
    failure: Option<String>,
}

/// What a schedule has shown.
#[derive(Debug, Clone, Copy)]
pub struct ScheduleReport {
    pub versions: u64,
    pub longest_stable: Duration,
    pub longest_unstable: Duration,
}

type SharedFleet = Arc<Mutex<SimulatedFleet>>;

fn lock(fleet: &SharedFleet) -> MutexGuard<'_, SimulatedFleet> {
    fleet.lock().unwrap()
}

/// Runs one schedule: a period with faults of the given kinds, or of kinds that the seed draws, then one without.
pub fn run_schedule(seed: u64, kinds: Option<&[FaultKind]>) -> Result<ScheduleReport, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let result = runtime.block_on(async {
        let fleet = Arc::new(Mutex::new(SimulatedFleet::new(seed, kinds)));
        let result = play(&fleet).await;
        result.map_err(|error| format!("seed {seed}: {error}"))
    });
    runtime.shutdown_background();
    result
}

async fn play(fleet: &SharedFleet) -> Result<ScheduleReport, String> {
    change_routes(fleet, false).await;
    lock(fleet).trace("first version acknowledged");
    let until = Instant::now() + START_TIME;
    while !lock(fleet).is_everywhere(1) {
        if Instant::now() > until {
            return Err("the first version is not in force everywhere".to_owned());
        }
        sleep(CHECK_INTERVAL).await;
    }
    sleep(JOIN_TIME).await;
    let faults_end = Instant::now() + FAULT_PERIOD;
    let end = faults_end + CALM_PERIOD;
    let operators = tokio::spawn(operate(Arc::clone(fleet), end));
    let mut next_fault = Instant::now();
    let mut next_report = Instant::now();
    while Instant::now() < end {
        sleep(CHECK_INTERVAL).await;
        let mut fleet = lock(fleet);
        let now = Instant::now();
        if now >= next_fault && now < faults_end {
            let longest = fleet.plan.longest_pause_s;
            next_fault = now + log_uniform(&mut fleet.rng, 0.1, longest);
            fleet.inject_fault();
        }
        if now >= next_report {
            next_report = now + REPORT_INTERVAL;
            for node in &mut fleet.nodes {
                node.report(ebonyjunction::routing::TargetState::Ready, false);
            }
        }
        fleet.run_due_steps(now);
        fleet.check()?;
    }
    let acknowledging = timeout(CALM_PERIOD, operators).await;
    let Ok(Ok(())) = acknowledging else {
        return Err("a change was not acknowledged after the faults ended".to_owned());
    };
    let mut fleet = lock(fleet);
    fleet.check()?;
    Ok(ScheduleReport {
        versions: fleet.oracle.newest_acknowledged(),
        longest_stable: fleet.oracle.longest_stable,
        longest_unstable: fleet.oracle.longest_unstable,
    })
}

async fn operate(fleet: SharedFleet, end: Instant) {
    while Instant::now() < end {
        let (pause, is_race) = {
            let mut fleet = lock(&fleet);
            let longest = fleet.plan.longest_change_pause_s;
            let pause = log_uniform(&mut fleet.rng, 0.02, longest);
            (pause, fleet.rng.random_bool(0.1))
        };
        sleep(pause).await;
        change_routes(&fleet, is_race).await;
    }
}

/// Sends a change until it is acknowledged. In a race, another operator sends a different one of the same version.
async fn change_routes(fleet: &SharedFleet, is_race: bool) {
    let base = lock(fleet).oracle.newest_acknowledged();
    let version = base + 1;
    let names: &[&str] = if is_race { &["a", "b"] } else { &["a"] };
    let sending = names
        .iter()
        .map(|name| send_change(fleet, base, version, format!("s{version}{name}")));
    let accepted = futures_util::future::join_all(sending).await;
    if !accepted.contains(&true) {
        let failure = format!("no change was accepted as version {version}");
        lock(fleet).failure.get_or_insert(failure);
    }
}

async fn send_change(fleet: &SharedFleet, base: u64, version: u64, service: String) -> bool {
    lock(fleet).oracle.record_sent(version, &service);
    loop {
        let routes = {
            let mut fleet = lock(fleet);
            let SimulatedFleet { replicas, rng, .. } = &mut *fleet;
            replicas
                .iter()
                .filter_map(ReplicaMachine::routes)
                .choose(rng)
        };
        if let Some(routes) = routes {
            let change = routes.apply(base, routes_of(version, &service));
            if let Ok(Ok(reply)) = timeout(OPERATOR_PATIENCE, change).await {
                if !reply.accepted {
                    return false;
                }
                let mut fleet = lock(fleet);
                fleet.trace(&format!("acknowledged {version} {service}"));
                if let Err(failure) = fleet.oracle.record_acknowledged(version, &service) {
                    fleet.failure.get_or_insert(failure);
                }
                return true;
            }
        }
        sleep(OPERATOR_PAUSE).await;
    }
}

impl SimulatedFleet {
    fn new(seed: u64, kinds: Option<&[FaultKind]>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = *[3, 5, 5, 8].choose(&mut rng).expect("a size");
        let count = rng.random_range(2..=FAULT_KINDS.len());
        let drawn = FAULT_KINDS.choose_multiple(&mut rng, count).copied();
        let drawn = drawn.collect::<Vec<FaultKind>>();
        let plan = FaultPlan {
            kinds: kinds.map_or(drawn, <[FaultKind]>::to_vec),
            tolerance: (size - 1) / 2,
            longest_fault_s: rng.random_range(1.0..15.0),
            longest_pause_s: rng.random_range(0.3..12.0),
            longest_change_pause_s: rng.random_range(0.1..8.0),
            loss: rng.random_range(0.01..0.3),
        };
        let base_delay = log_uniform(&mut rng, 0.000_3, 0.02);
        let network = StreamNetwork::new(rng.random(), base_delay);
        let seeds: Vec<SocketAddr> = (1..=SEEDS as u8).map(|number| machine(0, number)).collect();
        let mut replicas = Vec::new();
        for number in 1..=size as u8 {
            let disk_id = rng.random();
            let mut replica = ReplicaMachine::new(machine(0, number), &network, disk_id);
            replica.start(seeds.clone(), rng.random(), true);
            replicas.push(replica);
        }
        let nodes = (1..=4).map(|number| {
            NodeMachine::start(machine(1, number), seeds.clone(), &network, rng.random())
        });
        let nodes = nodes.collect();
        Self {
            rng,
            plan,
            network,
            replicas,
            nodes,
            oracle: RouteOracle::new(),
            lost_until: BTreeMap::new(),
            steps: BTreeMap::new(),
            last_step: 0,
            last_machine: size as u8,
            began_at: Instant::now(),
            is_tracing: trace::start(),
            failure: None,
        }
    }

    fn trace(&self, event: &str) {
        if self.is_tracing {
            println!("{} {event}", self.began_at.elapsed().as_millis());
        }
    }

    fn is_everywhere(&self, version: u64) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.gateway.state().book().version() >= version)
    }

    fn run_due_steps(&mut self, now: Instant) {
        while let Some(entry) = self.steps.first_entry()
            && entry.key().0 <= now
        {
            let step = entry.remove();
            self.run_step(step);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        for node in &self.nodes {
            let book = node.gateway.state().book();
            if let Err(failure) = self.oracle.check(node.address, &book) {
                self.trace(&failure);
                return Err(failure);
            }
        }
        Ok(())
    }
}
