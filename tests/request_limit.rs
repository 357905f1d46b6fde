//! Limits on requests per second that targets name, without a network.

use std::time::Duration;

use ebonyjunction::admission::{
    RequestRate, SlotAction, SlotDecision, SlotQueue, SlotRequest, WaitKey,
};
use ebonyjunction::types::{ChainRank, TickTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 40;
const TICK_MS: u64 = 50;
const OBJECTIVE_MS: u64 = 1_500;

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn rate(text: &str) -> RequestRate {
    text.try_into().unwrap()
}

fn request(now: u64, urgency: u32, is_nested: bool) -> SlotRequest {
    SlotRequest {
        is_nested,
        urgency,
        chain_rank: ChainRank::default(),
        objective: at(now + OBJECTIVE_MS),
        deadline: at(now + OBJECTIVE_MS * 2),
    }
}

fn enqueue(queue: &mut SlotQueue, now: u64, urgency: u32) -> WaitKey {
    match queue.offer(at(now), request(now, urgency, false)).0 {
        SlotDecision::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

fn started(actions: &[SlotAction]) -> usize {
    let starts = actions.iter();
    starts
        .filter(|action| matches!(action, SlotAction::Start(_)))
        .count()
}

/// Offers random requests for 40 s and returns the times in milliseconds at which requests started.
fn start_times(queue: &mut SlotQueue, rng: &mut SmallRng, arrivals_per_tick: f64) -> Vec<u64> {
    let mut starts = Vec::new();
    for now in (0..40_000).step_by(TICK_MS as usize) {
        let mut count = started(&queue.start_waiting(at(now)));
        queue.expire(at(now));
        for _ in 0..(rng.random_range(0.0..2.0) * arrivals_per_tick).round() as u32 {
            let request = request(now, rng.random_range(0..4), false);
            let (decision, actions) = queue.offer(at(now), request);
            count += started(&actions) + usize::from(decision == SlotDecision::Start);
        }
        starts.extend(std::iter::repeat_n(now, count));
        for _ in 0..count {
            let actions = queue.finish(at(now), false, Some(Duration::from_millis(20)));
            starts.extend(std::iter::repeat_n(now, started(&actions)));
        }
    }
    starts
}

// Incident LIMIT: guards against more requests in some seconds than a limit allows, and against a limit that is left unused
// while requests wait.
#[test]
fn start_waiting_keeps_rate() {
    for (seed, text) in (0..).zip(["0.5", "4", "4.5", "37.25", "200"]) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = SlotQueue::new(SLOTS);
        let limit = rate(text);
        queue.set_limit(at(0), Some(limit));
        let starts = start_times(&mut queue, &mut rng, limit.per_second() / 5.0 + 1.0);
        let most = starts.iter().enumerate().map(|(index, first)| {
            starts[index..].partition_point(|start| *start <= first + 4_000) as f64
        });
        let most = most.fold(0.0, f64::max);
        let allowed = limit.per_second() * 4.0 * 1.5 + 5.0;
        assert!(most <= allowed, "{text}: {most} in 4 s, allowed {allowed}");
        let share = starts.len() as f64 / (limit.per_second() * 40.0);
        assert!((0.9..1.1).contains(&share), "{text}: served {share}");
    }
}

// Guards against less urgent requests that use up a limit before more urgent ones.
#[test]
fn start_waiting_urgent_first_at_limit() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_limit(at(0), Some(rate("2")));
    let read = enqueue(&mut queue, 0, 2);
    let payment = enqueue(&mut queue, 10, 0);
    let first = queue.start_waiting(at(510));
    assert_eq!(first, [SlotAction::Start(payment)]);
    let second = queue.start_waiting(at(1_010));
    assert_eq!(second, [SlotAction::Start(read)]);
}

// Guards against requests that wait for a limit that cannot admit them in time.
#[test]
fn offer_refuses_beyond_limit() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_limit(at(0), Some(rate("2")));
    for _ in 0..3 {
        enqueue(&mut queue, 0, 2);
    }
    let (decision, _) = queue.offer(at(0), request(0, 2, false));
    let SlotDecision::Refuse { wait } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(wait, Duration::from_secs(2));
    assert!(queue.limit_wait(at(0)) >= Some(Duration::from_secs(2)));
}

// Guards against a call that is refused although slots are free and the limit will admit it soon.
#[test]
fn offer_nested_waits_for_limit() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_limit(at(0), Some(rate("4")));
    let (decision, _) = queue.offer(at(0), request(0, 1, true));
    assert!(matches!(decision, SlotDecision::Wait(_)), "{decision:?}");
    assert_eq!(started(&queue.start_waiting(at(260))), 1);
}

// Guards against a lowered limit that still admits what the higher one would have, and against waiting requests that stay
// refused or queued after a limit has ended.
#[test]
fn set_limit_changes_value() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_limit(at(0), Some(rate("100")));
    queue.set_limit(at(2_000), Some(rate("2")));
    let starts = (0..10)
        .filter(|_| queue.offer(at(2_000), request(2_000, 1, false)).0 == SlotDecision::Start)
        .count();
    assert_eq!(starts, 1);
    assert!(queue.waiting() > 0);
    queue.set_limit(at(2_000), None);
    let waiting = queue.waiting();
    assert_eq!(started(&queue.start_waiting(at(2_000))), waiting);
    assert_eq!(queue.limit_wait(at(2_000)), None);
}

// Guards against a limit of zero that nothing can ever lift, since only an answer shows that it has been raised.
#[test]
fn set_limit_zero() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_limit(at(0), Some(rate("0")));
    let mut rng = SmallRng::seed_from_u64(1);
    let starts = start_times(&mut queue, &mut rng, 1.0);
    assert!((2..=10).contains(&starts.len()), "{}", starts.len());
}

// Guards against a value that is no rate and is taken for one.
#[test]
fn try_from_rate() {
    for (text, value) in [
        ("4.5", 4.5),
        (" 12 ", 12.0),
        ("0", 0.0),
        (".5", 0.5),
        ("007", 7.0),
    ] {
        let difference = (rate(text).per_second() - value).abs();
        assert!(difference < f64::EPSILON, "{text:?}");
    }
    assert_eq!(rate("4.25").to_string(), "4.25");
    let too_long = "1".repeat(65);
    for text in [
        "", ".", "-1", "+1", "1e3", "inf", "NaN", "4,5", "1.2.3", "0x10", "four", "4 5", &too_long,
    ] {
        assert!(RequestRate::try_from(text).is_err(), "{text:?}");
    }
}
