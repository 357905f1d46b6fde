//! Requests under which targets have ended: which are held back, and which are cleared.

use std::time::Duration;

use ebonyjunction::suspects::{
    EndedRequest, RequestDigest, SuspectLedger, SuspectList, SuspectRow, TargetEnd,
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

// Guards against a request that is sent again because the leader has changed and does not know of earlier ends yet.
#[test]
fn adopt_new_term_keeps_holds() {
    let mut list = SuspectList::default();
    let row = |path: &str, hold_s| SuspectRow {
        digest: digest(path),
        hold: Some(Duration::from_secs(hold_s)),
    };
    list.adopt(at(0), 3, 5, &[row("/deadly", 100), row("/short", 1)]);
    list.adopt(at(2_000), 4, 0, &[]);
    assert!(list.hold(at(2_000), digest("/deadly")).is_some());
    assert!(list.hold(at(2_000), digest("/short")).is_none());
    // A late reply of the earlier term changes nothing.
    list.adopt(at(2_000), 3, 6, &[]);
    assert!(list.hold(at(2_000), digest("/deadly")).is_some());
    list.adopt(at(3_000), 4, 1, &[]);
    assert!(list.is_empty());
}
