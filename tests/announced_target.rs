//! Reports of a target that arrive late, out of order or from another incarnation.

use ebonyjunction::gateway::{AnnouncedTarget, ReportEffect, TargetReport};
use ebonyjunction::routing::TargetState;
use ebonyjunction::types::TickTime;

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn report(id: &str, born_ms: u64, sequence: u64, state: TargetState) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        born_ms,
        sequence,
        service: "orders".try_into().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 4,
        state,
    }
}

// Guards against a delayed report that makes a leaving target ready again.
#[test]
fn report_late_ready() {
    let mut target = AnnouncedTarget::default();
    target.report(at(0), report("a", 10, 1, TargetState::Ready));
    target.report(at(1), report("a", 10, 3, TargetState::Leaving));
    let late = target.report(at(2), report("a", 10, 2, TargetState::Ready));
    assert_eq!(late, ReportEffect::Outdated);
    let next = target.report(at(3), report("a", 10, 4, TargetState::Ready));
    assert_eq!(next, ReportEffect::Updated);
    assert!(target.ready(at(0)).is_none());
}

// Guards against work for an ended incarnation whose delayed report arrives after that of its successor.
#[test]
fn report_dead_incarnation() {
    let mut target = AnnouncedTarget::default();
    target.report(at(0), report("a", 10, 7, TargetState::Ready));
    let verdict = target.report(at(1), report("b", 20, 1, TargetState::Ready));
    assert_eq!(verdict, ReportEffect::NewIncarnation);
    let verdict = target.report(at(2), report("a", 10, 8, TargetState::Ready));
    assert_eq!(verdict, ReportEffect::Outdated);
    assert_eq!(target.ready(at(0)).map(|it| it.id.as_str()), Some("b"));
}

// Guards against taking a restarted target for its earlier incarnation because it kept its id and restarted its sequence
// numbers.
#[test]
fn report_same_id_reborn() {
    let mut target = AnnouncedTarget::default();
    target.report(at(0), report("a", 10, 50, TargetState::Leaving));
    let verdict = target.report(at(1), report("a", 20, 1, TargetState::Ready));
    assert_eq!(verdict, ReportEffect::NewIncarnation);
    assert!(target.ready(at(0)).is_some());
}

// Guards against a report that was sent before the target was removed and makes it ready again.
#[test]
fn remove_then_late_report() {
    let mut target = AnnouncedTarget::default();
    target.report(at(0), report("a", 10, 1, TargetState::Ready));
    assert!(target.remove("a", 1_000));
    let late = target.report(at(1), report("a", 10, 2, TargetState::Ready));
    assert_eq!(late, ReportEffect::Outdated);
}

// Guards against the same late report at a node that restarted and did not know the target when it was removed.
#[test]
fn remove_unknown_then_late_report() {
    let mut target = AnnouncedTarget::default();
    assert!(!target.remove("a", 1_000));
    let late = target.report(at(1), report("a", 10, 2, TargetState::Ready));
    assert_eq!(late, ReportEffect::Outdated);
    let restarted = target.report(at(2), report("a", 2_000, 1, TargetState::Ready));
    assert_eq!(restarted, ReportEffect::NewIncarnation);
}

// Guards against work for a target that no longer sends reports.
#[test]
fn ready_silent_target() {
    let mut target = AnnouncedTarget::default();
    target.report(at(100), report("a", 10, 1, TargetState::Ready));
    assert!(target.ready(at(100)).is_some());
    assert!(target.ready(at(101)).is_none());
}

const CONFIRM_AFTER: std::time::Duration = std::time::Duration::from_millis(750);

// Guards against a target that has left and is used again after its node restarted, because several earlier reports arrive
// late, shortly after each other.
#[test]
fn report_late_after_restart() {
    let mut target = AnnouncedTarget::after_restart(CONFIRM_AFTER);
    target.report(at(0), report("a", 10, 5, TargetState::Ready));
    target.report(at(20), report("a", 10, 6, TargetState::Ready));
    assert!(target.awaits_confirmation());
    assert!(target.ready(at(0)).is_none());
    target.report(at(1_500), report("a", 10, 8, TargetState::Leaving));
    assert!(target.ready(at(0)).is_none());
}

// Guards against a target in service that gets no work after its node restarted.
#[test]
fn report_confirmed_after_restart() {
    let mut target = AnnouncedTarget::after_restart(CONFIRM_AFTER);
    target.report(at(0), report("a", 10, 5, TargetState::Ready));
    target.confirm("a", 9);
    assert!(
        target.ready(at(0)).is_none(),
        "the confirmation is for another incarnation"
    );
    target.confirm("a", 10);
    assert!(target.ready(at(0)).is_some());
    let mut target = AnnouncedTarget::after_restart(CONFIRM_AFTER);
    target.report(at(0), report("a", 10, 5, TargetState::Ready));
    target.report(at(1_500), report("a", 10, 6, TargetState::Ready));
    assert!(target.ready(at(0)).is_some());
    target.report(at(2_000), report("b", 20, 1, TargetState::Ready));
    assert!(
        target.ready(at(0)).is_some(),
        "only the first incarnation needs confirmation"
    );
}
