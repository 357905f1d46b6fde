//! Measures target choice and rate shares in simulated time, and the processor time and memory that they need.
//!
//! `cargo run --release --example routing_policy` prints one `key=value` line per figure.

#[path = "routing_policy/choose_cost.rs"]
mod choose_cost;
#[path = "routing_policy/share_moves.rs"]
mod share_moves;
#[path = "routing_policy/target_faults.rs"]
mod target_faults;

fn main() {
    target_faults::measure_slow_target();
    target_faults::measure_shared_fault();
    share_moves::measure_moved_demand();
    share_moves::measure_contention();
    share_moves::measure_slow_caller();
    share_moves::measure_renewal();
    choose_cost::measure_time();
    choose_cost::measure_memory();
}
