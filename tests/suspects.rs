//! Requests under which targets have ended: which are held back, and which are cleared.

use std::time::Duration;

use ebonyjunction::suspects::{
    EndedRequest, ListPosition, RequestDigest, SuspectLedger, SuspectList, SuspectRow,
    SuspectSnapshot, TargetEnd,
};
use ebonyjunction::types::TickTime;

fn at(millis: u64) -> TickTime {
    TickTime::from_start(Duration::from_millis(millis))
}

fn digest(path: &str) -> RequestDigest {
    RequestDigest::of("GET", "h", path, b"")
}

/// End of an incarnation under requests, each with the time for which it had run.
fn end(incarnation: u64, requests: &[(&str, u64)]) -> TargetEnd {
    let requests = requests.iter().map(|(path, run_ms)| EndedRequest {
        digest: digest(path),
        run_time: Duration::from_millis(*run_ms),
    });
    TargetEnd {
        incarnation,
        age: Duration::ZERO,
        requests: requests.collect(),
    }
}

fn held(ledger: &SuspectLedger, now: TickTime) -> Vec<RequestDigest> {
    let rows = ledger.rows(now).into_iter();
    rows.filter(|row| row.hold.is_some())
        .map(|row| row.digest)
        .collect()
}

// Guards against a request that ends every target that reads it and is sent on and on.
#[test]
fn record_second_round_holds() {
    let mut ledger = SuspectLedger::default();
    ledger.record(at(1_000), &end(1, &[("/deadly", 80), ("/a", 200)]));
    assert!(held(&ledger, at(1_000)).is_empty());
    ledger.record(at(1_300), &end(2, &[("/deadly", 90), ("/b", 50)]));
    assert_eq!(held(&ledger, at(1_300)), [digest("/deadly")]);
    ledger.expire(at(1_300 + 119_000));
    assert_eq!(held(&ledger, at(120_300)), [digest("/deadly")]);
    ledger.expire(at(1_300 + 121_000));
    assert!(ledger.rows(at(122_300)).is_empty());
}

// Guards against a popular request that is held back because it was at work several times at a target that ended once.
#[test]
fn record_several_runs_under_one_end() {
    let mut ledger = SuspectLedger::default();
    ledger.record(at(1_000), &end(1, &[("/popular", 8), ("/popular", 3)]));
    assert!(held(&ledger, at(1_000)).is_empty());
    // A run that began after that end makes another round.
    ledger.record(at(1_300), &end(2, &[("/popular", 400), ("/popular", 90)]));
    assert_eq!(held(&ledger, at(1_300)), [digest("/popular")]);
}

// Guards against innocent requests that are held back because they ran beside a suspect.
#[test]
fn record_known_suspect_explains_end() {
    let mut ledger = SuspectLedger::default();
    ledger.record(at(1_000), &end(1, &[("/deadly", 80)]));
    ledger.record(at(1_300), &end(2, &[("/deadly", 90), ("/popular", 50)]));
    ledger.record(at(1_800), &end(3, &[("/deadly", 90), ("/popular", 50)]));
    assert_eq!(held(&ledger, at(1_800)), [digest("/deadly")]);
    assert_eq!(ledger.rows(at(1_800)).len(), 1);
}

// Guards against a popular path that is barred because several targets are lost at once for a cause of their own.
#[test]
fn record_targets_lost_together_holds_nothing() {
    let mut ledger = SuspectLedger::default();
    for incarnation in 1..=8 {
        let now = at(1_000 + incarnation * 10);
        ledger.record(now, &end(incarnation, &[("/popular", 200)]));
    }
    assert!(held(&ledger, at(1_100)).is_empty());
}

// Guards against a popular path that is barred by targets that are lost one after the other, although others answer it.
#[test]
fn clear_answered_request() {
    let mut ledger = SuspectLedger::default();
    for incarnation in 1..=8 {
        let now = incarnation * 1_000;
        ledger.record(at(now), &end(incarnation, &[("/popular", 200)]));
        assert!(held(&ledger, at(now)).is_empty(), "{incarnation}");
        ledger.clear(digest("/popular"));
    }
}

// Guards against one end that is counted as two because its node reports it again, as it does to a new leader.
#[test]
fn record_repeated_report() {
    let mut ledger = SuspectLedger::default();
    let reported = end(1, &[("/a", 10)]);
    ledger.record(at(1_000), &reported);
    let revision = ledger.revision();
    ledger.record(at(5_000), &reported);
    assert_eq!(ledger.revision(), revision);
    assert!(held(&ledger, at(5_000)).is_empty());
}

// Guards against unbounded memory, and against a table that drops the requests that are held back first.
#[test]
fn record_full_table_evicts_least_suspected() {
    let mut ledger = SuspectLedger::default();
    ledger.record(at(1_000), &end(1, &[("/deadly", 80)]));
    ledger.record(at(1_300), &end(2, &[("/deadly", 90)]));
    for incarnation in 3..60 {
        let paths: Vec<String> = (0..100).map(|it| format!("/{incarnation}/{it}")).collect();
        let requests: Vec<(&str, u64)> = paths.iter().map(|it| (it.as_str(), 10)).collect();
        ledger.record(at(1_300 + incarnation * 50), &end(incarnation, &requests));
    }
    assert_eq!(ledger.rows(at(5_000)).len(), 1_024);
    assert_eq!(held(&ledger, at(5_000)), [digest("/deadly")]);
}

// Guards against requests that differ only in their body, or that share the joined text of their parts, being taken for one.
#[test]
fn digest_of_different_requests() {
    let of = RequestDigest::of;
    assert_eq!(
        of("GET", "H.example", "/a?b=1", b""),
        of("GET", "h.example", "/a?b=1", b"")
    );
    assert_ne!(of("POST", "h", "/a", b"1"), of("POST", "h", "/a", b"2"));
    assert_ne!(of("GET", "h", "/a?b=1", b""), of("GET", "h", "/a?b=2", b""));
    assert_ne!(of("GET", "h", "/ab", b""), of("GET", "h/a", "b", b""));
}

fn list_of(position: (u64, u64), base: (u64, u64), rows: &[SuspectRow]) -> SuspectSnapshot {
    let position_of = |(term, revision)| ListPosition { term, revision };
    SuspectSnapshot {
        position: position_of(position),
        base: position_of(base),
        rows: rows.to_vec(),
        ends: Vec::new(),
    }
}

// Guards against a request that is sent again because the leader has changed and does not know of earlier ends yet.
#[test]
fn adopt_new_term_keeps_holds() {
    let mut list = SuspectList::default();
    let row = |path: &str, hold_s| SuspectRow {
        digest: digest(path),
        hold: Some(Duration::from_secs(hold_s)),
        rounds: 2,
        time_left: Duration::from_secs(hold_s),
    };
    let rows = [row("/deadly", 100), row("/short", 1)];
    list.adopt(at(0), &list_of((3, 5), (0, 0), &rows));
    list.adopt(at(2_000), &list_of((4, 0), (0, 0), &[]));
    assert!(list.hold(at(2_000), digest("/deadly")).is_some());
    assert!(list.hold(at(2_000), digest("/short")).is_none());
    // A late reply of the earlier term changes nothing.
    list.adopt(at(2_000), &list_of((3, 6), (0, 0), &[]));
    assert!(list.hold(at(2_000), digest("/deadly")).is_some());
    list.adopt(at(3_000), &list_of((4, 1), (0, 0), &[]));
    assert!(list.is_empty());
}

// Guards against a request that a node holds back for two minutes, although the new leader has taken a later list in which it
// is cleared.
#[test]
fn adopt_new_term_that_includes_list() {
    let mut list = SuspectList::default();
    let row = SuspectRow {
        digest: digest("/popular"),
        hold: Some(Duration::from_secs(100)),
        rounds: 2,
        time_left: Duration::from_secs(100),
    };
    list.adopt(at(0), &list_of((3, 5), (0, 0), &[row]));
    list.adopt(at(2_000), &list_of((4, 0), (3, 6), &[]));
    assert!(list.is_empty());
}

/// Leader of the next term that takes the list of a node.
fn next_leader(now: TickTime, term: u64, node: &SuspectList) -> SuspectLedger {
    let mut ledger = SuspectLedger::new(term, now);
    assert!(ledger.needs(node.position()));
    ledger.inherit(now, &node.snapshot(now));
    ledger
}

// Guards against a request that is held back by a new leader, although targets answered it after each end that nodes report
// again.
#[test]
fn inherit_answered_request_stays_cleared() {
    let ends = [end(1, &[("/popular", 10)]), end(2, &[("/popular", 10)])];
    let mut former = SuspectLedger::new(3, at(0));
    for (index, ended) in ends.iter().enumerate() {
        former.record(at(1_000 + index as u64 * 3_000), ended);
        former.clear(digest("/popular"));
    }
    let mut node = SuspectList::default();
    node.adopt(at(5_000), &former.snapshot(at(5_000)));
    // The new leader's process starts later than the targets ended.
    let mut ledger = next_leader(at(200), 4, &node);
    for (ended, age_s) in ends.iter().zip([9, 6]) {
        let age = Duration::from_secs(age_s);
        ledger.record(
            at(300),
            &TargetEnd {
                age,
                ..ended.clone()
            },
        );
    }
    assert!(ledger.rows(at(300)).is_empty());
}

// Guards against a request that is sent again because the node beside the targets that it ended is gone when the leader
// changes.
#[test]
fn inherit_held_request_stays_held() {
    let mut former = SuspectLedger::new(3, at(0));
    former.record(at(1_000), &end(1, &[("/deadly", 80)]));
    former.record(at(1_300), &end(2, &[("/deadly", 90)]));
    let mut node = SuspectList::default();
    node.adopt(at(1_300), &former.snapshot(at(1_300)));
    let mut ledger = next_leader(at(21_300), 4, &node);
    assert_eq!(held(&ledger, at(21_300)), [digest("/deadly")]);
    let mut restarted_node = SuspectList::default();
    restarted_node.adopt(at(50), &ledger.snapshot(at(21_300)));
    assert!(restarted_node.hold(at(50), digest("/deadly")).is_some());
    // The hold lasts from the end, not from the change of the leader.
    ledger.expire(at(1_300 + 119_000));
    assert_eq!(held(&ledger, at(1_300 + 119_000)), [digest("/deadly")]);
    ledger.expire(at(1_300 + 121_000));
    assert!(ledger.rows(at(1_300 + 121_000)).is_empty());
}

// Guards against a new leader that counts from the start, so that a request ends one more target than it must.
#[test]
fn inherit_first_round_counts() {
    let mut former = SuspectLedger::new(3, at(0));
    former.record(at(1_000), &end(1, &[("/deadly", 80)]));
    let mut node = SuspectList::default();
    node.adopt(at(1_000), &former.snapshot(at(1_000)));
    let mut ledger = next_leader(at(2_000), 4, &node);
    ledger.record(at(2_300), &end(2, &[("/deadly", 90), ("/innocent", 90)]));
    assert_eq!(held(&ledger, at(2_300)), [digest("/deadly")]);
}

// Guards against a leader that depends on which node reports first: the list of one that is behind comes before the end and
// the answer that the other nodes report.
#[test]
fn inherit_later_list_after_reports() {
    let mut former = SuspectLedger::new(3, at(0));
    let (mut early, mut late) = (SuspectList::default(), SuspectList::default());
    former.record(at(1_000), &end(1, &[("/popular", 80), ("/slow", 80)]));
    early.adopt(at(1_000), &former.snapshot(at(1_000)));
    former.record(at(1_300), &end(2, &[("/deadly", 90)]));
    former.record(at(1_600), &end(3, &[("/deadly", 90)]));
    former.clear(digest("/popular"));
    late.adopt(at(1_700), &former.snapshot(at(1_700)));
    let mut ledger = next_leader(at(2_000), 4, &early);
    ledger.record(at(2_300), &end(4, &[("/popular", 90)]));
    ledger.clear(digest("/slow"));
    assert!(ledger.needs(late.position()));
    ledger.inherit(at(2_400), &late.snapshot(at(2_400)));
    assert_eq!(held(&ledger, at(2_400)), [digest("/deadly")]);
    let rows = ledger.rows(at(2_400)).into_iter();
    let listed: Vec<(RequestDigest, u32)> = rows.map(|row| (row.digest, row.rounds)).collect();
    assert!(listed.contains(&(digest("/popular"), 1)), "{listed:?}");
    assert!(!listed.iter().any(|row| row.0 == digest("/slow")));
    // An earlier list is not taken any more.
    assert!(!ledger.needs(early.position()));
}

// Guards against a deadly request that is let go because the list of a leader that was lost before it had got the list of its
// predecessor counts as later than that.
#[test]
fn inherit_list_of_lost_leader() {
    let mut former = SuspectLedger::new(3, at(0));
    former.record(at(1_000), &end(1, &[("/deadly", 80)]));
    former.record(at(1_300), &end(2, &[("/deadly", 90)]));
    let mut node = SuspectList::default();
    node.adopt(at(1_300), &former.snapshot(at(1_300)));
    let lost = SuspectLedger::new(4, at(2_000));
    let mut restarted_node = SuspectList::default();
    restarted_node.adopt(at(2_100), &lost.snapshot(at(2_100)));
    let mut ledger = next_leader(at(3_000), 5, &restarted_node);
    assert!(ledger.needs(node.position()));
    ledger.inherit(at(3_000), &node.snapshot(at(3_000)));
    assert_eq!(held(&ledger, at(3_000)), [digest("/deadly")]);
}

// Guards against a request that is held back because targets ended under it twice while no leader could be told that others
// answered it in between.
#[test]
fn record_ends_reported_together() {
    let mut ledger = SuspectLedger::new(4, at(0));
    for (incarnation, age_s) in [(1, 9), (2, 6), (3, 2)] {
        let age = Duration::from_secs(age_s);
        let ended = end(incarnation, &[("/popular", 15)]);
        ledger.record(at(500), &TargetEnd { age, ..ended });
    }
    assert!(held(&ledger, at(500)).is_empty());
    // A run after that counts.
    ledger.record(at(900), &end(4, &[("/popular", 100)]));
    assert_eq!(held(&ledger, at(900)), [digest("/popular")]);
}

// Guards against requests that are held back because they were repeated together with the one that ends targets.
#[test]
fn record_together_with_deadly_request() {
    let mut ledger = SuspectLedger::default();
    let crowd = [("/deadly", 80), ("/a", 80), ("/b", 80), ("/c", 80)];
    ledger.record(at(1_000), &end(1, &crowd));
    ledger.record(at(1_160), &end(2, &crowd));
    assert!(held(&ledger, at(1_160)).is_empty());
    ledger.clear(digest("/a"));
    ledger.record(at(1_400), &end(3, &[("/deadly", 80), ("/d", 80)]));
    assert_eq!(held(&ledger, at(1_400)), [digest("/deadly")]);
    ledger.clear(digest("/b"));
    ledger.clear(digest("/c"));
    assert_eq!(ledger.rows(at(1_400)).len(), 1);
}

// Guards against a new leader whose memory grows with the reports that it keeps for later lists.
#[test]
fn record_many_reports_closes_inheritance() {
    let mut ledger = SuspectLedger::new(4, at(0));
    let held_list = ListPosition {
        term: 3,
        revision: 9,
    };
    assert!(ledger.needs(held_list));
    for incarnation in 0..400 {
        let paths: Vec<String> = (0..100).map(|it| format!("/{incarnation}/{it}")).collect();
        let requests: Vec<(&str, u64)> = paths.iter().map(|it| (it.as_str(), 10)).collect();
        ledger.record(at(1_000 + incarnation * 50), &end(incarnation, &requests));
    }
    assert!(!ledger.needs(held_list));
}

// Guards against a list of ends that grows as long as targets end.
#[test]
fn expire_forgets_ends() {
    let mut ledger = SuspectLedger::new(4, at(0));
    ledger.record(at(1_000), &end(1, &[("/a", 10)]));
    ledger.expire(at(122_000));
    assert_eq!(ledger.snapshot(at(122_000)).ends, [1]);
    ledger.expire(at(152_000));
    assert!(ledger.snapshot(at(152_000)).ends.is_empty());
}

// Guards against requests that are refused after a plain crash, and against several that may be deadly and run together
// again.
#[test]
fn is_ambiguous_from_second_round() {
    let mut ledger = SuspectLedger::new(4, at(0));
    let mut list = SuspectList::default();
    let crowd = [("/deadly", 80), ("/a", 80)];
    ledger.record(at(1_000), &end(1, &crowd));
    list.adopt(at(1_000), &ledger.snapshot(at(1_000)));
    assert!(!list.is_ambiguous(digest("/deadly")));
    ledger.record(at(1_200), &end(2, &crowd));
    list.adopt(at(1_200), &ledger.snapshot(at(1_200)));
    assert!(list.is_ambiguous(digest("/deadly")) && list.is_ambiguous(digest("/a")));
    ledger.record(at(1_500), &end(3, &[("/deadly", 80)]));
    list.adopt(at(1_500), &ledger.snapshot(at(1_500)));
    assert!(!list.is_ambiguous(digest("/deadly")));
    assert!(list.hold(at(1_500), digest("/deadly")).is_some());
    assert!(list.is_ambiguous(digest("/a")));
}
