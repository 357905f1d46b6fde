//! Detection of times in which the process did not run.

use std::time::Duration;

use ebonyjunction::gateway::PauseDetector;
use ebonyjunction::types::TickTime;

const TICK_MS: u64 = 50;

fn detector_ticked_until(end_ms: u64) -> PauseDetector {
    let mut detector = PauseDetector::default();
    for at in (0..=end_ms).step_by(TICK_MS as usize) {
        detector.tick(TickTime::from_millis(at));
    }
    detector
}

// Guards against shortening the deadlines of requests when a tick is only a little late.
#[test]
fn unread_for_late_tick() {
    let detector = detector_ticked_until(1_000);
    let unread = detector.max_unread_time(TickTime::from_millis(1_400));
    assert_eq!(unread, Duration::ZERO);
}

// Guards against missing the waiting time of a message that arrived during a pause and is read before the first tick
// after it.
#[test]
fn unread_for_before_tick() {
    let detector = detector_ticked_until(1_000);
    let unread = detector.max_unread_time(TickTime::from_millis(6_000));
    assert_eq!(unread, Duration::from_secs(5));
}

// Guards against missing that time when the message is read after the tick, and against subtracting it from messages that
// arrive later.
#[test]
fn unread_for_after_tick() {
    let mut detector = detector_ticked_until(1_000);
    detector.tick(TickTime::from_millis(6_000));
    let unread = detector.max_unread_time(TickTime::from_millis(6_020));
    assert_eq!(unread, Duration::from_secs(5));
    let later = detector.max_unread_time(TickTime::from_millis(6_200));
    assert_eq!(later, Duration::ZERO);
}

// Guards against slow answers being put down to the link while the process did not run.
#[test]
fn take_longest_gap_once() {
    let mut detector = detector_ticked_until(1_000);
    detector.tick(TickTime::from_millis(1_700));
    detector.tick(TickTime::from_millis(1_750));
    let now = TickTime::from_millis(1_800);
    let gaps = [
        detector.take_longest_gap(now),
        detector.take_longest_gap(now),
    ];
    assert_eq!(
        gaps,
        [Duration::from_millis(700), Duration::from_millis(50)]
    );
}
