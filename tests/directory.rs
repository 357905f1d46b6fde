//! The directory of targets: every node gets all of it, by deltas and across leader terms.

use std::collections::{BTreeMap, BTreeSet};

use ebonyjunction::directory::{DepartureTable, DirectoryDigests, LeaseTable, TARGET_LEASE};
use ebonyjunction::generated::{
    DepartedTarget, DirectoryDelta, NodeInfo, TargetInfo, TargetState as StateMessage,
};
use ebonyjunction::routing::{DirectoryUpdate, TargetRecord, TargetState};
use ebonyjunction::types::{NodeId, ServiceName, TickTime};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERM: u64 = 3;

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn node(index: u8, service: &str, state: StateMessage) -> NodeInfo {
    NodeInfo {
        node_id: vec![index; 16].into(),
        zone: "east-1".into(),
        region: "east".into(),
        mesh_address: format!("127.0.0.1:{}", 9_000 + u16::from(index)),
        target: Some(TargetInfo {
            service: service.into(),
            slots: 35,
            connections: 300,
            state: state.into(),
        }),
    }
}

fn service_set(names: &[&str]) -> BTreeSet<ServiceName> {
    let names = names.iter();
    names.map(|name| (*name).try_into().unwrap()).collect()
}

type View = BTreeMap<NodeId, TargetRecord>;

fn apply_delta(view: &mut View, delta: DirectoryDelta) {
    let update = DirectoryUpdate::from(delta);
    for node_id in update.removed {
        view.remove(&node_id);
    }
    if update.full {
        view.clear();
    }
    let records = update.changed.into_iter();
    view.extend(records.map(|record| (record.node_id, record)));
}

#[derive(Debug, Clone)]
enum DirectoryStep {
    Announce { node: u8, service: u8, state: u8 },
    WithoutTarget { node: u8 },
    Advance { millis: u64 },
}

fn step() -> impl Strategy<Value = DirectoryStep> {
    prop_oneof![
        8 => (0..6_u8, 0..3_u8, 1..4_u8).prop_map(|(node, service, state)| {
            DirectoryStep::Announce { node, service, state }
        }),
        1 => (0..6_u8).prop_map(|node| DirectoryStep::WithoutTarget { node }),
        3 => (1..2_000_u64).prop_map(|millis| DirectoryStep::Advance { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a node that keeps a removed target, lacks a target or has an old state of it after it missed some
    // deltas, with and without a filter on services.
    #[test]
    fn delta_since_any_revision(steps in prop::collection::vec(step(), 1..80)) {
        let filters = [None, Some(service_set(&["orders"])), Some(service_set(&["orders", "billing"]))];
        let names = ["orders", "billing", "tracking"];
        let mut table = LeaseTable::new(TERM, at(0));
        let mut now_ms = 0;
        let mut views = Vec::new();
        for step in steps {
            match step {
                DirectoryStep::Announce { node: index, service, state } => {
                    let state = StateMessage::try_from(i32::from(state)).unwrap();
                    let info = node(index, names[usize::from(service)], state);
                    table.announce(at(now_ms), info, 1, 0).unwrap();
                }
                DirectoryStep::WithoutTarget { node: index } => {
                    let info = NodeInfo { target: None, ..node(index, "orders", StateMessage::Ready) };
                    table.announce(at(now_ms), info, 1, 0).unwrap();
                }
                DirectoryStep::Advance { millis } => now_ms += millis,
            }
            table.expire(at(now_ms));
            for filter in &filters {
                let full = table.delta_since(TERM, 0, filter.as_ref());
                let mut view = View::new();
                let revision = full.revision;
                apply_delta(&mut view, full);
                views.push((filter, revision, view));
            }
        }
        for filter in &filters {
            let mut expected = View::new();
            apply_delta(&mut expected, table.delta_since(TERM, 0, filter.as_ref()));
            let old_views = views.iter().filter(|(used, _, _)| used == &filter);
            for (_, revision, view) in old_views {
                let mut view = view.clone();
                apply_delta(&mut view, table.delta_since(TERM, *revision, filter.as_ref()));
                prop_assert_eq!(&view, &expected, "from revision {}", revision);
            }
        }
    }
}

// Guards against targets of a former term that remain although no live node announces them any more.
#[test]
fn delta_since_new_term() {
    let mut table = LeaseTable::new(TERM, at(0));
    assert!(!table.is_complete(at(2_999)));
    assert!(table.is_complete(at(3_000)));
    let info = node(1, "orders", StateMessage::Ready);
    table.announce(at(10), info, 1, 0).unwrap();
    assert!(!table.delta_since(TERM, 1, None).full);
    let delta = table.delta_since(TERM - 1, 1, None);
    assert!(delta.full);
    assert_eq!(delta.changed.len(), 1);
    assert!(table.delta_since(TERM, 2, None).full, "unknown revision");
}

// Guards against a crashed node that stays listed, and against unchanged renewals that cost traffic because they create
// a new revision.
#[test]
fn expire_silent_node() {
    let mut table = LeaseTable::new(TERM, at(0));
    let [lost, live] = [1, 2].map(|index| node(index, "orders", StateMessage::Ready));
    table.announce(at(0), lost, 1, 0).unwrap();
    table.announce(at(0), live.clone(), 1, 0).unwrap();
    let revision = table.revision();
    table.announce(at(2_000), live, 1, 0).unwrap();
    assert_eq!(table.revision(), revision);
    table.expire(at(TARGET_LEASE.as_millis() as u64));
    let delta = table.delta_since(TERM, revision, None);
    assert!(!delta.full && delta.changed.is_empty());
    assert_eq!(delta.removed, vec![vec![1_u8; 16]]);
    assert_eq!(table.statuses(at(3_000)).len(), 1);
}

// Guards against accepting announcements that other nodes could not use.
#[test]
fn announce_invalid_node() {
    let mut table = LeaseTable::new(TERM, at(0));
    let valid = node(1, "orders", StateMessage::Ready);
    let cases = [
        NodeInfo {
            node_id: vec![1; 4].into(),
            ..valid.clone()
        },
        NodeInfo {
            mesh_address: "host".into(),
            ..valid.clone()
        },
        NodeInfo {
            zone: String::new(),
            ..valid.clone()
        },
        node(1, "Orders", StateMessage::Ready),
        node(1, "orders", StateMessage::Unspecified),
    ];
    for case in cases {
        assert!(
            table.announce(at(0), case.clone(), 1, 0).is_err(),
            "{case:?}"
        );
    }
    let record = TargetRecord::try_from(&valid).unwrap();
    assert_eq!(record.state, TargetState::Ready);
    assert_eq!(NodeInfo::from(&record), valid);
}

// Guards against a new leader that sends the whole directory to nodes that already hold it, which takes 17 s of a node's
// budget of bytes, and against an entry that is then missing or outdated.
#[test]
fn delta_for_digest_new_term() {
    let mut old = LeaseTable::new(TERM, at(0));
    let mut new = LeaseTable::new(TERM + 1, at(0));
    for index in 1..=5 {
        let info = node(index, "orders", StateMessage::Ready);
        old.announce(at(0), info, 1, 0).unwrap();
    }
    for index in (1..=5).rev() {
        let info = node(index, "orders", StateMessage::Ready);
        new.announce(at(0), info, 1, 0).unwrap();
    }
    let mut held = DirectoryDigests::default();
    held.apply(&old.delta_since(0, 0, None));
    let delta = new.delta_for_digest(held.digest()).unwrap();
    assert_eq!((delta.term, delta.full), (TERM + 1, false));
    assert!(delta.changed.is_empty() && delta.removed.is_empty());
    let leaving = node(2, "orders", StateMessage::Leaving);
    new.announce(at(10), leaving, 1, 0).unwrap();
    assert_eq!(new.delta_for_digest(held.digest()), None);
    held.apply(&new.delta_since(TERM + 1, delta.revision, None));
    assert!(new.delta_for_digest(held.digest()).is_some());
    old.expire(at(4_000));
    held.apply(&old.delta_since(TERM, 5, None));
    assert_eq!(held.digest(), 0);
}

// Guards against a node that drops a whole update of the directory because one of its rows cannot be read, and that uses a
// target further whose row has become unreadable.
#[test]
fn directory_update_leaves_out_unreadable_rows() {
    let whole = node(1, "orders", StateMessage::Ready);
    let odd_slots = {
        let mut row = node(2, "orders", StateMessage::Ready);
        row.target.as_mut().unwrap().slots = u32::MAX;
        row
    };
    let odd_port = NodeInfo {
        mesh_address: "127.0.0.1:99999".into(),
        ..node(3, "orders", StateMessage::Ready)
    };
    let odd_id = NodeInfo {
        node_id: vec![4; 3].into(),
        ..node(4, "orders", StateMessage::Ready)
    };
    let delta = DirectoryDelta {
        changed: vec![odd_slots.clone(), whole.clone(), odd_port, odd_id],
        removed: vec![vec![5; 2].into()],
        ..DirectoryDelta::default()
    };
    let update = DirectoryUpdate::from(delta);
    let ids: Vec<NodeId> = update.changed.iter().map(|row| row.node_id).collect();
    assert_eq!(ids, [NodeId::try_from(whole.node_id.as_ref()).unwrap()]);
    let odd = NodeId::try_from(odd_slots.node_id.as_ref()).unwrap();
    assert!(update.removed.contains(&odd), "{:?}", update.removed);
}

// Guards against a delayed heartbeat that sets a target back to an earlier state: a target that is leaving would be listed as
// ready again until the next heartbeat of its node.
#[test]
fn announce_after_later_sequence() {
    let mut table = LeaseTable::new(TERM, at(0));
    let [ready, leaving] =
        [StateMessage::Ready, StateMessage::Leaving].map(|state| node(1, "orders", state));
    table.announce(at(0), ready.clone(), 1, 5).unwrap();
    table.announce(at(10), leaving.clone(), 1, 7).unwrap();
    table.announce(at(20), ready.clone(), 1, 6).unwrap();
    let listed = table.delta_since(TERM, 0, None).changed;
    assert_eq!(listed, vec![leaving]);
    table.announce(at(30), ready.clone(), 1, 8).unwrap();
    assert_eq!(table.delta_since(TERM, 0, None).changed, vec![ready]);
}

fn departed(id: &str) -> DepartedTarget {
    DepartedTarget {
        id: id.to_owned(),
        born_ms: 7,
    }
}

// Guards against departures that are lost with the node that reported them, and against a table that grows without bound.
#[test]
fn departures_of_restarted_node() {
    let mut table = DepartureTable::default();
    table.record(at(0), "10.0.0.1:1", &[departed("i-1")]);
    // The restarted node has nothing to report yet.
    table.record(at(10), "10.0.0.1:1", &[]);
    assert_eq!(table.of("10.0.0.1:1"), [departed("i-1")]);
    assert!(table.of("10.0.0.2:1").is_empty());
    for index in 0..4_096 {
        table.record(at(20 + index), &format!("node-{index}"), &[departed("i-2")]);
    }
    assert!(table.of("10.0.0.1:1").is_empty(), "the oldest is evicted");
    assert_eq!(table.of("node-0"), [departed("i-2")]);
    table.expire(at(20 + 10 * 60 * 1_000));
    assert!(table.of("node-0").is_empty());
    assert_eq!(table.of("node-1"), [departed("i-2")]);
}
