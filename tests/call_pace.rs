//! Pace of requests whose calls meet the limits of the called service's targets, without a network.

use std::time::Duration;

use ebonyjunction::admission::CallPace;
use ebonyjunction::types::TickTime;

const URGENCY: u32 = 1;
const STEP_MS: u64 = 5;

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

/// Requests that started and calls that were served, while all nodes offer a request in each step.
fn play(paces: &mut [CallPace], from_s: u64, until_s: u64, limit_per_s: f64) -> (u32, u32) {
    let (mut started, mut served, mut tokens) = (0, 0, 0.0_f64);
    for now in (from_s * 1_000..until_s * 1_000).step_by(STEP_MS as usize) {
        tokens = (tokens + limit_per_s * STEP_MS as f64 / 1_000.0).min(2.0);
        let nodes = paces.len();
        for index in 0..nodes {
            // A different node comes first in each step.
            let pace = &mut paces[(index + now as usize / STEP_MS as usize) % nodes];
            if pace.admit(at(now), URGENCY).is_err() {
                continue;
            }
            started += 1;
            if tokens >= 1.0 {
                tokens -= 1.0;
                served += 1;
                pace.record_served(URGENCY);
            } else {
                pace.record_refused(at(now), URGENCY);
            }
        }
    }
    (started, served)
}

// Limited service: guards against many requests that start although only a few of their calls can be served, and against a pace
// so slow that it leaves the limit unused.
#[test]
fn admit_follows_limit() {
    for (nodes, limit_per_s) in [(1, 5.0), (6, 5.0), (6, 40.0), (24, 20.0)] {
        let mut paces: Vec<CallPace> = (0..nodes).map(|_| CallPace::default()).collect();
        play(&mut paces, 0, 10, limit_per_s);
        let (started, served) = play(&mut paces, 10, 40, limit_per_s);
        let possible = limit_per_s * 30.0;
        let (started, served) = (f64::from(started), f64::from(served));
        assert!(
            started <= possible * 2.0,
            "{nodes} nodes, limit {limit_per_s}: {started} started, {possible} possible"
        );
        assert!(
            served >= possible * 0.7,
            "{nodes} nodes, limit {limit_per_s}: {served} served, {possible} possible"
        );
    }
}

// Guards against requests that are still held back when the limits have ended.
#[test]
fn admit_after_limit_ends() {
    let mut paces: Vec<CallPace> = (0..6).map(|_| CallPace::default()).collect();
    play(&mut paces, 0, 10, 5.0);
    for pace in &mut paces {
        pace.clear();
        assert_eq!(pace.admit(at(10_000), URGENCY), Ok(()));
        assert_eq!(pace.admit(at(10_000), URGENCY), Ok(()));
        assert!(!pace.is_in_force(at(10_000)));
    }
    let mut forgotten = CallPace::default();
    forgotten.record_refused(at(0), URGENCY);
    assert!(forgotten.admit(at(50), URGENCY).is_err());
    assert_eq!(forgotten.admit(at(6_000), URGENCY), Ok(()));
    assert!(!forgotten.is_in_force(at(6_000)));
}

// Guards against a pace that stays in force for good when no request that it applies to comes any more.
#[test]
fn is_in_force_without_requests() {
    let mut pace = CallPace::default();
    assert!(!pace.is_in_force(at(0)));
    pace.record_refused(at(0), URGENCY);
    assert!(pace.is_in_force(at(4_900)));
    assert!(!pace.is_in_force(at(5_100)));
}

// Guards against urgent requests that are held back because calls of less urgent ones were refused.
#[test]
fn admit_by_urgency() {
    let mut pace = CallPace::default();
    pace.record_refused(at(0), 2);
    assert!(pace.admit(at(10), 2).is_err());
    for _ in 0..3 {
        assert_eq!(pace.admit(at(10), 0), Ok(()));
    }
    assert!(pace.admit(at(10), 2) <= Err(Duration::from_millis(100)));
}
