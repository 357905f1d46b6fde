//! Entry point of `ebonyjunction`, the operator command.

use std::process::ExitCode;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    ebonyjunction::command::run_command(std::env::args_os().skip(1).collect())
}
