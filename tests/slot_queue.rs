//! Assignment of a target's slots under named load patterns, without a network.

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

/// Creates a queue that has measured [`SERVICE_TIME`] and has no free slot.
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

fn enqueue(queue: &mut SlotQueue, request: SlotRequest) -> WaitKey {
    match queue.offer(at(0), request).0 {
        SlotDecision::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

// Surge: guards against reads that start before more urgent payments because they arrived first.
#[test]
fn finish_urgent_first() {
    let mut queue = busy_queue(1);
    let read = enqueue(&mut queue, request(0, 2, 1_000));
    let payment = enqueue(&mut queue, request(0, 0, 1_000));
    assert_eq!(
        queue.finish(at(10), false, Some(SERVICE_TIME)),
        [SlotAction::Start(payment)]
    );
    assert_eq!(
        queue.finish(at(20), false, Some(SERVICE_TIME)),
        [SlotAction::Start(read)]
    );
}

// Call-graph coupling: guards against nested calls of running requests that wait behind new requests while their
// parents hold slots at other targets.
#[test]
fn finish_nested_first() {
    let mut queue = busy_queue(1);
    let _read = enqueue(&mut queue, request(0, 2, 1_000));
    let call = enqueue(&mut queue, nested(2));
    assert_eq!(queue.finish(at(10), false, None), [SlotAction::Start(call)]);
}

fn nested(urgency: u32) -> SlotRequest {
    SlotRequest {
        is_nested: true,
        ..request(0, urgency, 300)
    }
}

// Too few targets of the deepest service: guards against urgent requests of the service's own clients that starve behind
// nested calls of less urgent request chains.
#[test]
fn finish_urgent_before_nested() {
    let mut queue = busy_queue(1);
    let _call = enqueue(&mut queue, nested(2));
    let client_request = enqueue(&mut queue, request(0, 1, 1_000));
    let urgent_call = enqueue(&mut queue, nested(1));
    let started = queue.finish(at(10), false, None);
    assert_eq!(started, [SlotAction::Start(urgent_call)]);
    let started = queue.finish(at(20), true, None);
    assert_eq!(started, [SlotAction::Start(client_request)]);
}

// Call-graph coupling: slots are reserved for nested calls. Guards against an urgent request that may not use these slots
// and blocks the nested calls that may.
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
    assert!(!urgent.is_empty(), "slots are reserved for nested calls");
    assert_eq!(queue.offer(at(0), nested(2)).0, SlotDecision::Start);
}

// Slow target: guards against queueing a request that cannot start within its objective.
#[test]
fn offer_hopeless_wait() {
    let mut queue = busy_queue(1);
    for _ in 0..3 {
        enqueue(&mut queue, request(0, 2, 1_000));
    }
    let (decision, actions) = queue.offer(at(0), request(0, 2, 300));
    let SlotDecision::Refuse { wait } = decision else {
        panic!("{decision:?}");
    };
    assert!(wait > Duration::from_millis(300), "{wait:?}");
    assert!(actions.is_empty());
}

// Impatient retries: guards against a queue that grows without bound, and against urgent requests that are refused
// while less urgent ones wait.
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

// Slow target: guards against requests that stay in the queue until their clients give up.
#[test]
fn expire_after_objective() {
    let mut queue = busy_queue(1);
    let key = enqueue(&mut queue, request(0, 2, 400));
    assert!(queue.expire(at(399)).is_empty());
    let actions = queue.expire(at(401));
    assert!(
        matches!(actions[..], [SlotAction::Refuse(refused, _)] if refused == key),
        "{actions:?}"
    );
    assert_eq!(queue.waiting(), 0);
}

// Guards against a slot that is lost when a waiting request is cancelled.
#[test]
fn cancel_waiting() {
    let mut queue = busy_queue(1);
    let cancelled = enqueue(&mut queue, request(0, 2, 1_000));
    let next = enqueue(&mut queue, request(0, 2, 1_000));
    assert!(queue.cancel(cancelled));
    assert!(!queue.cancel(cancelled));
    assert_eq!(queue.finish(at(10), false, None), [SlotAction::Start(next)]);
}

// Drain: guards against waiting requests that start after the target announced that it is leaving.
#[test]
fn refuse_all_waiting() {
    let mut queue = busy_queue(2);
    enqueue(&mut queue, request(0, 0, 1_000));
    enqueue(&mut queue, request(0, 2, 1_000));
    assert_eq!(queue.refuse_all(at(0)).len(), 2);
    assert!(queue.finish(at(10), false, None).is_empty());
}

// Cold start and slow target: guards against short nested calls that have to wait because long requests occupy all
// slots.
#[test]
fn offer_reserves_for_nested() {
    let mut queue = SlotQueue::new(8);
    let nested = SlotRequest {
        is_nested: true,
        ..request(0, 2, 1_000)
    };
    // Runs two nested calls at a time for long enough that two becomes their average.
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
    // Nested calls take the free slots although another request waits.
    assert_eq!(queue.offer(at(3), nested).0, SlotDecision::Start);
    // After some time without nested calls, other requests may use all slots.
    let mut actions = queue.finish(at(4), true, None);
    actions.extend(queue.start_waiting(at(2_500)));
    assert!(matches!(actions[..], [SlotAction::Start(_)]), "{actions:?}");
}

// Deep service near its limit: guards against using the last slots of a target, which slows down all its requests, and
// against taking a slot from a small target.
#[test]
fn new_spare_slots() {
    for (slots, usable) in [(2, 2), (8, 8), (11, 10), (27, 25), (36, 34), (135, 127)] {
        let mut queue = SlotQueue::new(slots);
        let mut offers = (0..slots).map(|_| queue.offer(at(0), request(0, 2, 1_000)).0);
        let started = offers.by_ref().filter(|it| *it == SlotDecision::Start);
        assert_eq!(started.count(), usable, "{slots} slots");
    }
}

// Call-graph coupling: guards against callers that send short nested calls to a distant target because long requests
// wait at this one. Nested calls overtake these requests.
#[test]
fn expected_wait_by_kind() {
    let mut queue = busy_queue(4);
    for _ in 0..8 {
        enqueue(&mut queue, request(0, 2, 1_000));
    }
    assert!(queue.expected_wait(at(0), false) >= SERVICE_TIME * 2);
    assert!(queue.expected_wait(at(0), true) <= SERVICE_TIME / 2);
}

// Surge: guards against requests that start too late to end before their deadline, which wastes the slot.
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
    let key = enqueue(
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

// Call-graph coupling: each request chain needs a call at both of two targets, and each target has room for half of the
// chains. Guards against targets that serve different halves, so that few chains get both calls.
#[test]
fn finish_serves_same_chains() {
    const CHAINS: usize = 40;
    let served_chains = |order: &mut dyn Iterator<Item = usize>| {
        let mut queue = busy_queue(8);
        let chains: BTreeMap<WaitKey, usize> = order
            .map(|chain| {
                let call = SlotRequest {
                    is_nested: true,
                    chain_rank: ChainRank::from_first_id(format!("chain-{chain}").as_bytes()),
                    ..request(0, 1, 10_000)
                };
                (enqueue(&mut queue, call), chain)
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
    let first = served_chains(&mut (0..CHAINS));
    let second = served_chains(&mut (0..CHAINS).rev());
    assert_eq!(first.len(), CHAINS / 2);
    assert_eq!(first, second);
}

// Overload by urgent requests: guards against a read that stays queued until its objective after urgent requests overtook
// it. If it is refused early, another target can still serve it, or its client can retry in time.
#[test]
fn expire_overtaken_read() {
    let mut queue = busy_queue(1);
    let read = enqueue(&mut queue, request(0, 2, 500));
    assert_eq!(queue.expire(at(50)), []);
    for _ in 0..6 {
        enqueue(&mut queue, request(0, 0, 1_000));
    }
    let refused = queue.expire(at(100));
    assert!(matches!(refused[..], [SlotAction::Refuse(key, _)] if key == read));
}
