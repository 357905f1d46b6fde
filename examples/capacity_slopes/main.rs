//! Measures real processes at several sizes for `docs/CAPACITY.md` and prints one `key=value` line per figure.
//!
//! Needs the release programs (`cargo build --release`). Runs the parts named as arguments, or all parts without
//! arguments: `directory`, `calls`, `edits`, `claims`.

mod announcers;
mod calls;
mod directory;
mod processes;
mod records;
mod relay;

fn main() {
    let parts: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| parts.is_empty() || parts.iter().any(|part| part == name);
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        if is_wanted("directory") {
            for size in [60, 200, 580] {
                directory::measure(size).await;
            }
        }
        if is_wanted("calls") {
            calls::measure(&[100, 360, 1_000]).await;
        }
        if is_wanted("edits") {
            for size in [100, 1_000, 10_000] {
                records::measure_edits(size).await;
            }
        }
        if is_wanted("claims") {
            for size in [1_000, 10_000, 100_000] {
                records::measure_claims(size).await;
            }
        }
        print_load("end");
    });
}

/// Prints one figure.
fn print_figure(part: &str, size: usize, name: &str, value: f64) {
    println!("{part}_{size}_{name}={value:.3}");
}

/// Prints the load average of the last minute.
fn print_load(when: &str) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load_{when}={}", load.split(' ').next().unwrap_or(""));
}
