//! Invariants of the replicated log under random mixes of network, disk and clock faults.

mod simulation;

use simulation::Simulation;

/// Schedules per cluster size in a normal run; `SIMULATION_SEEDS` overrides it for a longer search.
const SCHEDULES: u64 = 300;

fn run_schedules(size: u64) {
    let schedules = std::env::var("SIMULATION_SEEDS")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(SCHEDULES);
    let mut acknowledged = 0;
    for seed in 0..schedules {
        match Simulation::run(seed, size) {
            Ok(count) => acknowledged += count,
            Err(error) => panic!("{error}"),
        }
    }
    println!("size={size} schedules={schedules} acknowledged={acknowledged}");
    assert!(acknowledged > 0, "no schedule acknowledged a proposal");
}

/// Guards against lost or diverging entries, two leaders in one term, votes of wiped disks, stale leases and a lasting loss
/// of progress with three replicas.
#[test]
fn schedules_three_replicas() {
    run_schedules(3);
}

/// Guards against the same faults with five replicas, where two quorums may share fewer replicas than either contains.
#[test]
fn schedules_five_replicas() {
    run_schedules(5);
}

/// Guards against a recovery that takes longer than the bound of the simulation, with the schedule of seed 1780.
#[test]
fn schedule_slow_recovery_1780() {
    for size in [3, 5] {
        if let Err(error) = Simulation::run(1780, size) {
            panic!("{error}");
        }
    }
}
