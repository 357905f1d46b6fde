//! Entry point of `ebonyjunction-control`, one replica of the control plane.

use std::process::ExitCode;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    ebonyjunction::control_server::run_program(std::env::args_os().skip(1).collect())
}
