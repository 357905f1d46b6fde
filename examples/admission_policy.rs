//! Compares admission control with a first-in first-out queue on one simulated target.
//!
//! Both policies get the same arrivals and service demands in simulated time. One `key=value` line is printed per
//! figure; every figure is a mean over the seeds, except `goodput_ratio_min` and `recovery_s_max`.

use std::collections::BTreeMap;

#[path = "admission_policy/figures.rs"]
mod figures;
#[path = "admission_policy/policy.rs"]
mod policy;
#[path = "admission_policy/scenario.rs"]
mod scenario;
#[path = "admission_policy/simulation.rs"]
mod simulation;

use policy::{Admission, Fifo, QueuePolicy};
use scenario::SCENARIOS;
use simulation::Simulation;

const SEEDS: u64 = 10;

fn main() {
    for scenario in SCENARIOS {
        for policy_name in ["fifo", "admission"] {
            let mut totals: BTreeMap<String, f64> = BTreeMap::new();
            let mut worst: BTreeMap<String, f64> = BTreeMap::new();
            for seed in 0..SEEDS {
                let arrivals = scenario.arrivals(seed);
                let mut policy: Box<dyn QueuePolicy> = match policy_name {
                    "fifo" => Box::new(Fifo::new(scenario.slots)),
                    _ => Box::new(Admission::new(scenario.slots)),
                };
                let simulation = Simulation::run(scenario, &arrivals, policy.as_mut());
                for (key, value) in simulation.figures() {
                    add_worst(&mut worst, &key, value);
                    *totals.entry(key).or_default() += value / SEEDS as f64;
                }
            }
            totals.append(&mut worst);
            for (key, value) in totals {
                println!("{}.{policy_name}.{key}={value:.3}", scenario.name);
            }
        }
    }
}

/// Updates the worst value over all seeds of the figures that have a target value.
fn add_worst(worst: &mut BTreeMap<String, f64>, key: &str, value: f64) {
    match key {
        "goodput_ratio" => {
            let least = worst.entry(format!("{key}_min")).or_insert(value);
            *least = least.min(value);
        }
        "recovery_s" => {
            let most = worst.entry(format!("{key}_max")).or_insert(value);
            *most = most.max(value);
        }
        _ => {}
    }
}
