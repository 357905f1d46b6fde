//! Choice of targets: nearby, healthy targets that admit the request come first, and every exclusion ends.

use std::time::Duration;

use ebonyjunction::routing::{
    DirectoryUpdate, LoadReport, RouteChoice, RouteDecision, RouteRequest, RoutingSettings,
    SendResult, TargetKey, TargetRecord, TargetState, TargetTable,
};
use ebonyjunction::types::{
    NodeId, PriorityClass, RefusalReason, RequestId, RequestPriority, ServiceName, TickTime,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FAST: Duration = Duration::from_millis(10);

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn orders() -> ServiceName {
    "orders".try_into().unwrap()
}

fn record(index: u8, zone: &str, region: &str) -> TargetRecord {
    TargetRecord {
        node_id: NodeId::try_from([index; 16].as_slice()).unwrap(),
        service: orders(),
        address: ([127, 0, 0, 1], 9_000 + u16::from(index)).into(),
        zone: zone.try_into().unwrap(),
        region: region.try_into().unwrap(),
        slots: 35,
        connections: 300,
        state: TargetState::Ready,
    }
}

fn update_with(records: Vec<TargetRecord>) -> DirectoryUpdate {
    DirectoryUpdate {
        changed: records,
        ..DirectoryUpdate::default()
    }
}

fn with_level(raw: u16) -> LoadReport {
    LoadReport {
        level: Some(RequestPriority::from_raw(raw)),
        ..LoadReport::default()
    }
}

/// A target table with simulated time and the properties of the next requests.
struct RoutingFixture {
    now: TickTime,
    table: TargetTable,
    rng: SmallRng,
    priority: RequestPriority,
    is_nested: bool,
    body_bytes: usize,
}

impl RoutingFixture {
    fn new(records: Vec<TargetRecord>) -> Self {
        Self::with_settings(records, RoutingSettings::default())
    }

    fn with_settings(records: Vec<TargetRecord>, settings: RoutingSettings) -> Self {
        let zone = "east-1".try_into().unwrap();
        let region = "east".try_into().unwrap();
        let mut table = TargetTable::new(settings, zone, region);
        table.apply_update(at(0), update_with(records));
        Self {
            // The slow start of the targets in the first directory is over.
            now: at(20_000),
            table,
            rng: SmallRng::seed_from_u64(20_261_204),
            priority: RequestPriority::new(
                PriorityClass::Read,
                RequestId::try_from([3; 16].as_slice()).unwrap(),
            ),
            is_nested: false,
            body_bytes: 0,
        }
    }

    fn with_near_targets(count: u8) -> Self {
        Self::new(
            (0..count)
                .map(|index| record(index, "east-1", "east"))
                .collect(),
        )
    }

    fn choose(&mut self, excluded: &[TargetKey]) -> RouteDecision {
        let request = RouteRequest {
            service: &orders(),
            endpoint: "/list",
            priority: self.priority,
            acceptable_completion_time: Duration::ZERO,
            is_nested: self.is_nested,
            body_bytes: self.body_bytes,
            excluded,
        };
        self.table.choose(self.now, &request, &mut self.rng)
    }

    /// Makes `count` calls, one each 10 ms, and returns how many each target got. `serve` returns the latency, the result
    /// and the load report of a target.
    fn run(
        &mut self,
        count: usize,
        serve: impl Fn(u8) -> (Duration, SendResult, LoadReport),
    ) -> [usize; 16] {
        let mut calls = [0; 16];
        for _ in 0..count {
            self.now = self.now + Duration::from_millis(10);
            let RouteDecision::Send(choice) = self.choose(&[]) else {
                continue;
            };
            let index = index_of(&choice);
            calls[usize::from(index)] += 1;
            let (latency, result, report) = serve(index);
            self.table.start(choice.key);
            self.table
                .record(self.now, choice.key, "/list", latency, result, &report);
        }
        calls
    }

    fn run_healthy(&mut self, count: usize) -> [usize; 16] {
        self.run(count, |_| answered(FAST))
    }
}

fn index_of(choice: &RouteChoice) -> u8 {
    choice.node_id.as_bytes()[0]
}

fn answered(latency: Duration) -> (Duration, SendResult, LoadReport) {
    (latency, SendResult::Answered, LoadReport::default())
}

fn failed() -> (Duration, SendResult, LoadReport) {
    let latency = Duration::from_millis(1);
    (latency, SendResult::Failed, LoadReport::default())
}

// Guards against calls that leave their zone or region while its targets are healthy, and against calls that stay in their
// zone although another zone answers faster, including the network path.
#[test]
fn choose_zone_first() {
    let zones = [("east-1", "east"), ("east-2", "east"), ("west-1", "west")];
    let records = (0..6).map(|index| {
        let (zone, region) = zones[usize::from(index / 2)];
        record(index, zone, region)
    });
    let mut fixture = RoutingFixture::new(records.collect());
    let calls = fixture.run_healthy(500);
    assert_eq!(calls[0] + calls[1], 500);
    let calls = fixture.run(2_000, |index| {
        answered(if index < 2 { FAST * 20 } else { FAST })
    });
    assert!(calls[2] + calls[3] > 1_500, "{calls:?}");
    assert_eq!(calls[4] + calls[5], 0, "calls left the region: {calls:?}");
    let calls = fixture.run(2_000, |index| {
        answered(if index < 4 { FAST * 20 } else { FAST })
    });
    assert!(calls[4] + calls[5] > 1_000, "{calls:?}");
    // The own zone is a little faster again, by less than the network path to the other zones takes.
    let recovered = |index| answered(if index < 2 { FAST } else { FAST.mul_f64(1.1) });
    fixture.run(3_000, recovered);
    let calls = fixture.run(500, recovered);
    assert!(calls[0] + calls[1] > 490, "{calls:?}");
}

// Bytes between zones are billed. Guards against large bodies that leave their zone to save a little time.
#[test]
fn choose_large_body_near() {
    let zones = [("east-1", "east"), ("east-2", "east")];
    let records = (0..2).map(|index| {
        let (zone, region) = zones[usize::from(index)];
        record(index, zone, region)
    });
    let settings = RoutingSettings {
        kilobyte_surcharge: Duration::from_millis(6),
        ..RoutingSettings::default()
    };
    let mut fixture = RoutingFixture::with_settings(records.collect(), settings);
    fixture.run_healthy(200);
    let slow_near_target = |index| answered(if index == 0 { FAST * 20 } else { FAST });
    let small = fixture.run(1_000, slow_near_target);
    assert!(small[1] > 900, "{small:?}");
    fixture.body_bytes = 60 * 1024;
    let large = fixture.run(1_000, slow_near_target);
    assert!(large[0] > 900, "{large:?}");
}

// Call-graph coupling: guards against short nested calls that leave their zone because long requests wait there, although
// nested calls overtake these requests.
#[test]
fn choose_by_wait_of_kind() {
    let mut fixture = RoutingFixture::new(vec![
        record(0, "east-1", "east"),
        record(1, "east-2", "east"),
    ]);
    fixture.run_healthy(100);
    let report = LoadReport {
        queue_wait: Some(FAST * 4),
        is_nested: false,
        ..LoadReport::default()
    };
    let busy_near_target = |index| {
        let report = if index == 0 {
            report
        } else {
            LoadReport::default()
        };
        (FAST, SendResult::Answered, report)
    };
    let outer = fixture.run(300, busy_near_target);
    assert!(outer[1] > outer[0], "{outer:?}");
    fixture.is_nested = true;
    let nested = fixture.run(300, busy_near_target);
    assert!(nested[0] > 290, "{nested:?}");
}

// Guards against a target that gets its full share of calls as soon as it joins, while it is still cold.
#[test]
fn choose_slow_start() {
    let mut fixture = RoutingFixture::with_near_targets(3);
    fixture.run_healthy(100);
    let joined = vec![record(3, "east-1", "east")];
    fixture.table.apply_update(fixture.now, update_with(joined));
    let first = fixture.run_healthy(200)[3];
    fixture.run_healthy(1_000);
    let later = fixture.run_healthy(200)[3];
    assert!(first < 25, "{first} of 200 while cold");
    assert!((30..80).contains(&later), "{later} of 200 when warm");
}

// Guards against ejecting all targets of a service because of a fault that they share.
#[test]
fn record_shared_fault() {
    let mut fixture = RoutingFixture::with_near_targets(6);
    fixture.run_healthy(100);
    fixture.run(500, |_| failed());
    let calls = fixture.run(300, |_| failed());
    let used = calls.iter().filter(|calls| **calls > 10).count();
    assert!(used >= 4, "{calls:?}");
    assert!(calls.iter().sum::<usize>() == 300, "{calls:?}");
}

// Guards against a failing target that keeps its share of calls, and one that gets no calls after it recovered.
#[test]
fn record_single_fault() {
    let mut fixture = RoutingFixture::with_near_targets(6);
    fixture.run_healthy(100);
    let calls = fixture.run(
        1_000,
        |index| if index == 2 { failed() } else { answered(FAST) },
    );
    assert!(calls[2] <= 15, "{calls:?}");
    fixture.run_healthy(4_000);
    let calls = fixture.run_healthy(600);
    assert!(calls[2] > 60, "{calls:?}");
}

// Guards against a slow idle target that is preferred to busy fast ones, and against excluding so many slow targets that
// the others are overloaded.
#[test]
fn choose_slow_target() {
    for (slow, expects_calls) in [(1, false), (3, true)] {
        let mut fixture = RoutingFixture::with_near_targets(6);
        fixture.run_healthy(300);
        let ids = (0..6).map(|index| record(index, "east-1", "east").node_id);
        let keys = ids.filter_map(|node_id| fixture.table.key_of(node_id));
        let keys = keys.collect::<Vec<_>>();
        for _ in 0..3 {
            for key in &keys {
                let is_slow = keys[..slow].contains(key);
                for _ in 0..if is_slow { 1 } else { 20 } {
                    let latency = if is_slow { FAST * 10 } else { FAST };
                    let (latency, result, report) = answered(latency);
                    fixture.table.start(*key);
                    fixture
                        .table
                        .record(fixture.now, *key, "/list", latency, result, &report);
                }
            }
        }
        for key in &keys[slow..] {
            (0..20).for_each(|_| fixture.table.start(*key));
        }
        let decisions = (0..200).map(|_| fixture.choose(&[]));
        let to_slow = decisions.filter(|decision| match decision {
            RouteDecision::Send(choice) => keys[..slow].contains(&choice.key),
            RouteDecision::Refuse { .. } => panic!("refused"),
        });
        assert_eq!(to_slow.count() > 0, expects_calls, "{slow} slow targets");
    }
}

// Guards against calls to a leaving target, also after a late announcement that says it is ready.
#[test]
fn choose_leaving_target() {
    let mut fixture = RoutingFixture::with_near_targets(3);
    let leaving = |index| {
        let report = LoadReport {
            leaving: index == 1,
            ..LoadReport::default()
        };
        let result = if index == 1 {
            SendResult::Refused(RefusalReason::TargetLeaving)
        } else {
            SendResult::Answered
        };
        (FAST, result, report)
    };
    assert_eq!(
        RoutingFixture::with_near_targets(3).run(2_000, leaving)[1],
        1
    );
    // A stale announcement is ignored during the hold of five seconds, in which the directory corrects it.
    assert_eq!(fixture.run(100, leaving)[1], 1);
    let stale = vec![record(1, "east-1", "east")];
    fixture
        .table
        .apply_update(fixture.now, update_with(stale.clone()));
    assert_eq!(fixture.run_healthy(300)[1], 0);
    let announced = TargetRecord {
        state: TargetState::Leaving,
        ..stale[0].clone()
    };
    fixture
        .table
        .apply_update(fixture.now, update_with(vec![announced]));
    assert_eq!(fixture.run_healthy(2_000)[1], 0);
    fixture.table.apply_update(fixture.now, update_with(stale));
    assert!(
        fixture.run_healthy(3_000)[1] > 0,
        "the target that came back gets no calls"
    );
}

// Guards against a retry that goes to the same target, and against another reason than `NoTarget` when no target
// is left.
#[test]
fn choose_excluded() {
    let mut fixture = RoutingFixture::with_near_targets(1);
    let RouteDecision::Send(choice) = fixture.choose(&[]) else {
        panic!("no target");
    };
    let refusal = fixture.choose(&[choice.key]);
    assert!(matches!(
        refusal,
        RouteDecision::Refuse {
            reason: RefusalReason::NoTarget,
            ..
        }
    ));
    fixture.table.apply_update(
        fixture.now,
        DirectoryUpdate {
            full: true,
            ..DirectoryUpdate::default()
        },
    );
    let refusal = fixture.choose(&[]);
    assert!(matches!(
        refusal,
        RouteDecision::Refuse {
            reason: RefusalReason::NoTarget,
            ..
        }
    ));
}

// Guards against a slow target that attracts calls because it reports an empty queue.
#[test]
fn record_false_idle_report() {
    let mut fixture = RoutingFixture::with_near_targets(6);
    let report_idle = |index| {
        let report = LoadReport {
            queue_wait: Some(if index == 0 { Duration::ZERO } else { FAST }),
            ..LoadReport::default()
        };
        let latency = if index == 0 { FAST * 20 } else { FAST };
        (latency, SendResult::Answered, report)
    };
    let calls = fixture.run(2_000, report_idle);
    assert!(calls[0] < 60, "{calls:?}");
    let calls = fixture.run(2_000, |_| answered(FAST));
    assert!(calls[0] > 100, "{calls:?}");
}

// Guards against a service that refuses calls while one target falsely reports overload, and against a fast target that
// does not get its share back after it has stopped these reports.
#[test]
fn record_false_overload_report() {
    let mut fixture = RoutingFixture::with_near_targets(6);
    let calls = fixture.run(2_000, |index| {
        let report = LoadReport {
            queue_wait: Some(if index == 0 {
                FAST * 1_000
            } else {
                Duration::ZERO
            }),
            ..with_level(if index == 0 { u16::MAX } else { 0 })
        };
        (FAST, SendResult::Answered, report)
    });
    assert_eq!(calls.iter().sum::<usize>(), 2_000, "{calls:?}");
    fixture.run(1_000, |_| (FAST, SendResult::Answered, with_level(0)));
    let calls = fixture.run(600, |_| (FAST, SendResult::Answered, with_level(0)));
    assert!(calls[0] > 60, "{calls:?}");
}

// Guards against requests that a raised admission level shuts out forever: levels decay and some requests are sent as
// probes. Critical work is never shut out by a level below it.
#[test]
fn choose_shut_out() {
    let mut fixture = RoutingFixture::with_near_targets(3);
    let raised = 0x3fff;
    fixture.run(60, |_| (FAST, SendResult::Answered, with_level(raised)));
    fixture.priority = RequestPriority::from_raw(0x2800);
    let decisions = (0..1_000).map(|_| fixture.choose(&[]));
    let decisions = decisions.collect::<Vec<_>>();
    let is_send = |decision: &&RouteDecision| matches!(decision, RouteDecision::Send(_));
    let probes = decisions.iter().filter(is_send).count();
    assert!((5..50).contains(&probes), "{probes} probes of 1000");
    let delays = decisions.iter().filter_map(|decision| match decision {
        RouteDecision::Refuse {
            reason,
            retry_after,
        } => {
            assert_eq!(*reason, RefusalReason::AdmissionLevel);
            Some(*retry_after)
        }
        RouteDecision::Send(_) => None,
    });
    let (shortest, longest) = (delays.clone().min().unwrap(), delays.max().unwrap());
    assert!(shortest > Duration::from_millis(100) && longest > shortest.mul_f64(1.2));
    fixture.priority = RequestPriority::from_raw(0xc000);
    assert!(matches!(fixture.choose(&[]), RouteDecision::Send(_)));
    fixture.priority = RequestPriority::from_raw(0x2800);
    fixture.now = fixture.now + Duration::from_secs(2);
    let admitted = (0..100).filter(|_| matches!(fixture.choose(&[]), RouteDecision::Send(_)));
    assert_eq!(admitted.count(), 100);
}

// Guards against reads that are sent as probes while the admission level shuts out critical work.
#[test]
fn choose_no_lower_probe() {
    let mut fixture = RoutingFixture::with_near_targets(3);
    fixture.run(60, |_| (FAST, SendResult::Answered, with_level(0xf000)));
    fixture.priority = RequestPriority::from_raw(0x3000);
    let sent = (0..500).filter(|_| matches!(fixture.choose(&[]), RouteDecision::Send(_)));
    assert_eq!(sent.count(), 0);
}

// Guards against admitting work that a deeper service will refuse.
#[test]
fn advertised_level_downstream() {
    let mut fixture = RoutingFixture::with_near_targets(3);
    fixture.run(60, |_| (FAST, SendResult::Answered, with_level(0x2000)));
    let own = RequestPriority::from_raw(0x100);
    let now = fixture.now;
    assert_eq!(fixture.table.advertised_level(now, "/confirm", own), own);
    fixture
        .table
        .note_downstream(now, "/confirm", &orders(), "/list");
    let advertised = fixture.table.advertised_level(now, "/confirm", own);
    assert!(
        advertised > RequestPriority::from_raw(0x1800),
        "{advertised:?}"
    );
    let other = fixture.table.advertised_level(now, "/status", own);
    assert_eq!(other, own, "another endpoint makes no such call");
    let later = now + Duration::from_secs(10);
    assert_eq!(fixture.table.advertised_level(later, "/confirm", own), own);
}

// Guards against a full directory of a new term that discards the measurements of known targets.
#[test]
fn apply_update_full() {
    let mut fixture = RoutingFixture::with_near_targets(6);
    fixture.run(500, |index| {
        answered(if index == 0 { FAST * 30 } else { FAST })
    });
    let listed = (0..5).map(|index| record(index, "east-1", "east"));
    let update = DirectoryUpdate {
        full: true,
        changed: listed.collect(),
        removed: Vec::new(),
    };
    fixture.table.apply_update(fixture.now, update);
    let calls = fixture.run_healthy(200);
    assert!(calls[0] < 20, "{calls:?}");
    assert_eq!(calls[5], 0, "an unlisted target");
    assert_eq!(fixture.table.called_services().count(), 1);
}
