//! Nodes that follow the routes of a control plane under random mixes of faults.

mod following;

use std::ops::Range;
use std::time::Duration;

use following::{FaultKind, run_schedule};

/// Seeds of a normal run; `FOLLOWING_SEEDS`, as `FIRST..END`, overrides them for a longer search.
const SEEDS: Range<u64> = 0..16;

fn seeds_or(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("FOLLOWING_SEEDS") else {
        return default;
    };
    let (first, end) = text.split_once("..").unwrap_or(("0", &text));
    first.parse().unwrap()..end.parse().unwrap()
}

fn run_schedules(seeds: Range<u64>, kinds: Option<&[FaultKind]>) {
    let mut versions = 0;
    let mut longest = Duration::ZERO;
    let mut failures = Vec::new();
    for seed in seeds {
        match run_schedule(seed, kinds) {
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

/// Guards against nodes in touch that handle requests by an older version than was acknowledged, that go back to one, or that
/// hold another one than was sent, while replicas, nodes and links fail.
#[test]
fn schedules_follow_acknowledged_versions() {
    run_schedules(seeds_or(SEEDS), None);
}

/// Guards against nodes that wait for replicas whose connections have gone silent, their own or those to the leader, until
/// each call reaches its limit.
#[test]
fn schedules_silent_connections() {
    let kinds = [FaultKind::Silence, FaultKind::NodeReset];
    run_schedules(seeds_or(SEEDS), Some(&kinds));
}
