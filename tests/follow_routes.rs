//! Nodes that follow the routes of a control plane under random mixes of faults.

mod following;

use std::time::Duration;

use following::run_schedule;

/// Schedules of a normal run; `FOLLOWING_SEEDS` overrides it for a longer search, as `COUNT` or `FIRST..END`.
const SCHEDULES: u64 = 24;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("FOLLOWING_SEEDS") else {
        return 0..SCHEDULES;
    };
    let (first, end) = text.split_once("..").unwrap_or(("0", &text));
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against nodes in touch that handle requests by an older version than was acknowledged, that go back to one, or that
/// hold another one than was sent, while replicas, nodes and links fail.
#[test]
fn schedules_follow_acknowledged_versions() {
    let mut versions = 0;
    let mut longest = Duration::ZERO;
    let mut failures = Vec::new();
    for seed in seeds() {
        match run_schedule(seed) {
            Ok(report) => {
                versions += report.versions;
                longest = longest.max(report.longest_stable);
                println!(
                    "seed={seed} versions={} stable_ms={} unstable_ms={}",
                    report.versions,
                    report.longest_stable.as_millis(),
                    report.longest_unstable.as_millis()
                );
            }
            Err(failure) => {
                println!("{failure}");
                failures.push(failure);
            }
        }
    }
    println!(
        "versions={versions} longest_stable_ms={}",
        longest.as_millis()
    );
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert!(versions > 0, "no version was acknowledged");
}
