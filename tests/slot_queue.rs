//! Slots of a target under named load patterns, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonyjunction::admission::{SlotAction, SlotDecision, SlotQueue, SlotRequest, WaitKey};
use ebonyjunction::types::{ChainRank, TickTime};

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn request(now: u64, urgency: u32, objective_ms: u64) -> SlotRequest {
    SlotRequest {
        is_nested: false,
        urgency,
        chain_rank: ChainRank::default(),
        objective: at(now + objective_ms),
        deadline: at(now + objective_ms * 3),
    }
}

/// A queue that has measured the service time and has no free slot.
fn busy_queue(slots: u32) -> SlotQueue {
    let mut queue = SlotQueue::new(slots);
    for _ in 0..slots {
        assert_eq!(
            queue.offer(at(0), request(0, 2, 1_000)).0,
            SlotDecision::Start
        );
    }
    for _ in 0..50 {
        queue.finish(at(0), false, Some(SERVICE_TIME));
        queue.offer(at(0), request(0, 2, 1_000));
    }
    queue
}

fn wait(queue: &mut SlotQueue, request: SlotRequest) -> WaitKey {
    match queue.offer(at(0), request).0 {
        SlotDecision::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

// Surge: guards against reads that start before confirmations because they came first.
#[test]
fn finish_urgent_first() {
    let mut queue = busy_queue(1);
    let read = wait(&mut queue, request(0, 2, 1_000));
    let payment = wait(&mut queue, request(0, 0, 1_000));
    assert_eq!(
        queue.finish(at(10), false, Some(SERVICE_TIME)),
        [SlotAction::Start(payment)]
    );
    assert_eq!(
        queue.finish(at(20), false, Some(SERVICE_TIME)),
        [SlotAction::Start(read)]
    );
}

// Call-graph coupling: guards against calls of running requests that wait behind new work while their parents hold
// slots elsewhere.
#[test]
fn finish_nested_first() {
    let mut queue = busy_queue(1);
    let _read = wait(&mut queue, request(0, 2, 1_000));
    let call = wait(&mut queue, nested(2));
    assert_eq!(queue.finish(at(10), false, None), [SlotAction::Start(call)]);
}

fn nested(urgency: u32) -> SlotRequest {
    SlotRequest {
        is_nested: true,
        ..request(0, urgency, 300)
    }
}

// Deepest service short of targets: guards against urgent requests of its own clients that starve behind calls of less
// urgent chains.
#[test]
fn finish_urgent_before_nested() {
    let mut queue = busy_queue(1);
    let _call = wait(&mut queue, nested(2));
    let notice = wait(&mut queue, request(0, 1, 1_000));
    let urgent_call = wait(&mut queue, nested(1));
    let started = queue.finish(at(10), false, None);
    assert_eq!(started, [SlotAction::Start(urgent_call)]);
    let started = queue.finish(at(20), true, None);
    assert_eq!(started, [SlotAction::Start(notice)]);
}

// Call-graph coupling: guards against an urgent request without room of its own that holds back calls which have room,
// since slots are kept for them.
#[test]
fn start_waiting_skips_reserved() {
    let mut queue = SlotQueue::new(10);
    for _ in 0..40 {
        queue.offer(at(0), nested(2));
        queue.finish(at(0), true, Some(SERVICE_TIME));
    }
    let mut urgent = Vec::new();
    for _ in 0..10 {
        if let (SlotDecision::Wait(key), _) = queue.offer(at(0), request(0, 0, 1_000)) {
            urgent.push(key);
        }
    }
    assert!(!urgent.is_empty(), "slots are kept for calls");
    assert_eq!(queue.offer(at(0), nested(2)).0, SlotDecision::Start);
}

// Slow target: guards against work that waits although it cannot start within its objective.
#[test]
fn offer_hopeless_wait() {
    let mut queue = busy_queue(1);
    for _ in 0..3 {
        wait(&mut queue, request(0, 2, 1_000));
    }
    let (decision, actions) = queue.offer(at(0), request(0, 2, 300));
    let SlotDecision::Refuse { wait } = decision else {
        panic!("{decision:?}");
    };
    assert!(wait > Duration::from_millis(300), "{wait:?}");
    assert!(actions.is_empty());
}

// Impatient retries: guards against a queue that grows without bound, and against urgent work that is refused while
// less urgent work waits.
#[test]
fn offer_displaces_last() {
    let mut queue = SlotQueue::new(1);
    queue.offer(at(0), request(0, 2, 60_000));
    let mut reads = Vec::new();
    loop {
        match queue.offer(at(0), request(0, 2, 60_000)).0 {
            SlotDecision::Wait(key) => reads.push(key),
            SlotDecision::Refuse { .. } => break,
            SlotDecision::Start => panic!("the slot is taken"),
        }
    }
    let (decision, actions) = queue.offer(at(0), request(0, 0, 60_000));
    assert!(matches!(decision, SlotDecision::Wait(_)), "{decision:?}");
    assert!(
        matches!(actions[..], [SlotAction::Refuse(key, _)] if Some(&key) == reads.last()),
        "{actions:?}"
    );
}

// Slow target: guards against requests that are held until their clients give up.
#[test]
fn expire_after_objective() {
    let mut queue = busy_queue(1);
    let key = wait(&mut queue, request(0, 2, 400));
    assert!(queue.expire(at(399)).is_empty());
    let actions = queue.expire(at(401));
    assert!(
        matches!(actions[..], [SlotAction::Refuse(refused, _)] if refused == key),
        "{actions:?}"
    );
    assert_eq!(queue.waiting(), 0);
}

// Guards against a slot that is lost when a waiting request is given up.
#[test]
fn cancel_waiting() {
    let mut queue = busy_queue(1);
    let left = wait(&mut queue, request(0, 2, 1_000));
    let next = wait(&mut queue, request(0, 2, 1_000));
    assert!(queue.cancel(left));
    assert!(!queue.cancel(left));
    assert_eq!(queue.finish(at(10), false, None), [SlotAction::Start(next)]);
}

// Drain: guards against waiting requests that start after the target said that it leaves.
#[test]
fn refuse_all_waiting() {
    let mut queue = busy_queue(2);
    wait(&mut queue, request(0, 0, 1_000));
    wait(&mut queue, request(0, 2, 1_000));
    assert_eq!(queue.refuse_all().len(), 2);
    assert!(queue.finish(at(10), false, None).is_empty());
}

// Cold start and slow target: guards against quick calls of running requests that wait behind slots full of long
// requests.
#[test]
fn offer_reserves_for_nested() {
    let mut queue = SlotQueue::new(8);
    let nested = SlotRequest {
        is_nested: true,
        ..request(0, 2, 1_000)
    };
    // Two calls at a time, for long enough to be the average.
    for _ in 0..100 {
        assert_eq!(queue.offer(at(0), nested).0, SlotDecision::Start);
        assert_eq!(queue.offer(at(0), nested).0, SlotDecision::Start);
        queue.finish(at(1), true, Some(SERVICE_TIME));
        queue.finish(at(1), true, Some(SERVICE_TIME));
    }
    let mut started = 0;
    while queue.offer(at(2), request(2, 0, 1_000)).0 == SlotDecision::Start {
        started += 1;
    }
    assert!((3..=6).contains(&started), "{started}");
    // Calls take the free slots although another request waits.
    assert_eq!(queue.offer(at(3), nested).0, SlotDecision::Start);
    // Without such calls for a while all slots are used.
    let mut actions = queue.finish(at(4), true, None);
    actions.extend(queue.start_waiting(at(2_500)));
    assert!(matches!(actions[..], [SlotAction::Start(_)]), "{actions:?}");
}

// Deep service near its limit: guards against a last slot that slows all others down, and against small targets that
// lose one.
#[test]
fn new_spare_slots() {
    for (slots, usable) in [(2, 2), (8, 8), (11, 10), (27, 25), (36, 34), (135, 127)] {
        let mut queue = SlotQueue::new(slots);
        let mut offers = (0..slots).map(|_| queue.offer(at(0), request(0, 2, 1_000)).0);
        let started = offers.by_ref().filter(|it| *it == SlotDecision::Start);
        assert_eq!(started.count(), usable, "{slots} slots");
    }
}

// Call-graph coupling: guards against callers that take short calls far away because long requests wait here, which
// the calls pass.
#[test]
fn expected_wait_by_kind() {
    let mut queue = busy_queue(4);
    for _ in 0..8 {
        wait(&mut queue, request(0, 2, 1_000));
    }
    assert!(queue.expected_wait(false) >= SERVICE_TIME * 2);
    assert!(queue.expected_wait(true) <= SERVICE_TIME / 2);
}

// Surge: guards against requests that start so late that they are given up before they end, which wastes the slot.
#[test]
fn offer_leaves_time_for_work() {
    let mut queue = busy_queue(1);
    let short_of_time = SlotRequest {
        deadline: at(140),
        ..request(0, 2, 1_000)
    };
    assert!(matches!(
        queue.offer(at(0), short_of_time).0,
        SlotDecision::Refuse { .. }
    ));
    let key = wait(
        &mut queue,
        SlotRequest {
            deadline: at(200),
            ..request(0, 2, 1_000)
        },
    );
    assert_eq!(queue.expire(at(130)), []);
    let expired = queue.expire(at(150));
    assert!(matches!(expired[..], [SlotAction::Refuse(refused, _)] if refused == key));
}

// Call-graph coupling: each chain needs a call at both of two targets that have room for half of all chains. Guards against
// targets that serve different halves, so that few chains get both calls.
#[test]
fn finish_serves_same_chains() {
    const CHAINS: usize = 40;
    let calls = |order: &mut dyn Iterator<Item = usize>| {
        let mut queue = busy_queue(8);
        let chains: BTreeMap<WaitKey, usize> = order
            .map(|chain| {
                let call = SlotRequest {
                    is_nested: true,
                    chain_rank: ChainRank::from_first_id(format!("chain-{chain}").as_bytes()),
                    ..request(0, 1, 10_000)
                };
                (wait(&mut queue, call), chain)
            })
            .collect();
        let mut served = BTreeSet::new();
        for _ in 0..CHAINS / 2 {
            for action in queue.finish(at(10), true, Some(SERVICE_TIME)) {
                if let SlotAction::Start(key) = action {
                    served.insert(chains[&key]);
                }
            }
        }
        served
    };
    let first = calls(&mut (0..CHAINS));
    let second = calls(&mut (0..CHAINS).rev());
    assert_eq!(first.len(), CHAINS / 2);
    assert_eq!(first, second);
}

// Overload by urgent work: guards against a read that is held until its objective although others have taken its place; it
// can still be served elsewhere, or come back in time.
#[test]
fn expire_overtaken_read() {
    let mut queue = busy_queue(1);
    let read = wait(&mut queue, request(0, 2, 500));
    assert_eq!(queue.expire(at(50)), []);
    for _ in 0..6 {
        wait(&mut queue, request(0, 0, 1_000));
    }
    let refused = queue.expire(at(100));
    assert!(matches!(refused[..], [SlotAction::Refuse(key, _)] if key == read));
}
