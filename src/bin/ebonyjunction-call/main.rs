//! Entry point of `ebonyjunction-call`, a client that sends a single call.

use std::process::ExitCode;

use ebonyjunction::call::run_call;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match run_call(arguments).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("ebonyjunction-call: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
