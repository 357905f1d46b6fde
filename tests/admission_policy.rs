//! Goodput, recovery and priorities of admission control at a simulated target. The example `admission_policy` prints
//! the same figures for more seeds.

use std::collections::BTreeMap;

#[path = "../examples/admission_policy/figures.rs"]
mod figures;
#[path = "../examples/admission_policy/policy.rs"]
mod policy;
#[path = "../examples/admission_policy/scenario.rs"]
mod scenario;
#[path = "../examples/admission_policy/simulation.rs"]
mod simulation;

use policy::{Admission, Fifo, QueuePolicy};
use scenario::{SCENARIOS, Scenario};
use simulation::Simulation;

const SEED: u64 = 1;

fn find_scenario(name: &str) -> &'static Scenario {
    let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
    found.expect("the scenario exists")
}

fn figures_of(scenario: &Scenario, policy: &mut dyn QueuePolicy) -> BTreeMap<String, f64> {
    let arrivals = scenario.arrivals(SEED);
    let simulation = Simulation::run(scenario, &arrivals, policy);
    simulation.figures().into_iter().collect()
}

fn admission_figures(name: &str) -> BTreeMap<String, f64> {
    let scenario = find_scenario(name);
    figures_of(scenario, &mut Admission::new(scenario.slots))
}

// Guards against goodput that collapses under overload, overload that lasts longer than its cause, and critical work that
// is shed while reads run, whether or not callers hold back requests below the admission level.
#[test]
fn surge_goodput_and_recovery() {
    for name in ["surge", "surge_upstream", "surge_shared", "surge_reads"] {
        let figures = admission_figures(name);
        assert!(figures["goodput_ratio"] >= 0.9, "{name}: {figures:?}");
        assert!(figures["recovery_s"] <= 2.0, "{name}: {figures:?}");
        assert!(figures["success_outside"] >= 0.99, "{name}: {figures:?}");
        assert!(
            figures["critical_shed_while_reads_ran"] < 0.5,
            "{name}: {figures:?}"
        );
    }
}

// Guards against a scenario that any queue would pass: a FIFO queue must fail it.
#[test]
fn surge_fifo_collapses() {
    let scenario = find_scenario("surge");
    let figures = figures_of(scenario, &mut Fifo::new(scenario.slots));
    assert!(figures["goodput_ratio"] < 0.2, "{figures:?}");
}

// Guards against a concurrency limit that collapses because service times vary, or because a target starts cold.
#[test]
fn limit_survives_noise_and_cold_start() {
    for name in ["steady_noisy", "cold_start"] {
        let figures = admission_figures(name);
        assert!(figures["limit_min"] >= 17.0, "{name}: {figures:?}");
        assert!(figures["success_outside"] >= 0.99, "{name}: {figures:?}");
    }
}

// Guards against a concurrency limit that stays at the number of slots although the target answers sooner when it runs
// fewer requests at a time.
#[test]
fn limit_falls_when_concurrency_slows_the_target() {
    let figures = admission_figures("surge_thrashing");
    assert!(figures["limit_min"] <= 21.0, "{figures:?}");
    assert!(
        figures["goodput_ratio"] >= 0.7,
        "a fixed limit reaches 0.58: {figures:?}"
    );
    assert!(figures["success_outside"] >= 0.99, "{figures:?}");
}

// Guards against quick failures of an overloaded target that hit critical work as often as reads.
#[test]
fn limit_falls_when_the_target_fails_excess_work() {
    let figures = admission_figures("surge_failing");
    assert!(
        figures["critical_success"] >= 0.6,
        "a fixed limit reaches 0.21: {figures:?}"
    );
}

// Guards against requests that are refused without overload.
#[test]
fn low_load_is_served() {
    let figures = admission_figures("low_load");
    assert!(figures["success_before"] >= 0.999, "{figures:?}");
    assert!(figures["success_outside"] >= 0.999, "{figures:?}");
}
