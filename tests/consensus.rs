//! Invariants of the replicated log under random mixes of network, disk and clock faults.

mod simulation;

use simulation::{ReplacementPlan, Simulation};

/// Series of replacements per cluster size; `SIMULATION_SEEDS` overrides it.
const REPLACEMENT_SERIES: u64 = 5;

/// Schedules per cluster size in a normal run; `SIMULATION_SEEDS` overrides it for a longer search.
const SCHEDULES: u64 = 300;

fn seeds_or(default: u64) -> u64 {
    let count = std::env::var("SIMULATION_SEEDS").ok();
    count
        .and_then(|count| count.parse().ok())
        .unwrap_or(default)
}

fn run_schedules(size: u64) {
    let schedules = seeds_or(SCHEDULES);
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

/// Guards against a quorum that grows with each VM that is lost and replaced at another address, until too few of its
/// voters are left.
#[test]
fn replacements_keep_quorum() {
    for size in [3, 4, 5, 7] {
        let plan = ReplacementPlan {
            size,
            count: 2 * size,
            successor_delay: 1_000_000,
            min_recovery: 4_000_000,
            max_gap: 12_000_000,
        };
        for seed in 0..seeds_or(REPLACEMENT_SERIES) {
            if let Err(error) = Simulation::run_replacements(seed, plan) {
                panic!("{error}");
            }
        }
    }
}
