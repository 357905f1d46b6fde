//! Bounds on attempts and retries for any call tree, lost messages and any order of events.

use std::time::Duration;

use ebonyjunction::retry::{
    AttemptAllowance, AttemptIdTable, AttemptReport, HandOverDecision, HandOverRecord,
    ResendDecision, ResendTable, RetryBudget, RetryCause, RetryDecision, RetryPolicy,
    RetrySettings,
};
use ebonyjunction::types::{
    AttemptId, AttemptOutcome, CallerName, RefusalReason, RequestId, TickTime,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MAX_DEPTH: u8 = 10;

fn config(seed: u64) -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

/// Simulates one hop that calls others, some of them concurrently. Returns the number of sends below it and the rest of
/// its allowance.
fn run_hop(attempts: u8, depth: u8, rng: &mut SmallRng) -> (u32, u8) {
    let mut allowance = AttemptAllowance::new(attempts);
    let mut sends = 0;
    if depth == MAX_DEPTH {
        return (0, allowance.remaining());
    }
    for _ in 0..rng.random_range(0..4) {
        let mut unspent = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            let Some(share) = allowance.spend() else {
                break;
            };
            sends += 1;
            let is_request_lost = rng.random_bool(0.2);
            if !is_request_lost {
                let (below, left) = run_hop(share, depth + 1, rng);
                sends += below;
                let is_answer_lost = rng.random_bool(0.2);
                unspent.extend((!is_answer_lost).then_some(left));
            }
        }
        for left in unspent {
            allowance.give_back(left);
        }
    }
    (sends, allowance.remaining())
}

proptest! {
    #![proptest_config(config(11))]

    // Guards against retries that multiply at every hop of a call tree: all sends together must never exceed the first
    // allowance.
    #[test]
    fn allowance_any_call_tree(attempts in any::<u8>(), seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (sends, left) = run_hop(attempts, 0, &mut rng);
        prop_assert!(sends + u32::from(left) <= u32::from(attempts), "{sends} sends, {left} left");
    }

    // Guards against returned attempts that raise the total, whatever number the callees claim to return.
    #[test]
    fn allowance_false_give_back(attempts in any::<u8>(), claims in prop::collection::vec(any::<u8>(), 0..40)) {
        let mut allowance = AttemptAllowance::new(attempts);
        let mut sends = 0_u32;
        for claim in claims {
            sends += u32::from(allowance.spend().is_some());
            allowance.give_back(claim);
            prop_assert!(sends + u32::from(allowance.remaining()) <= u32::from(attempts));
        }
    }

    // Guards against retries that exceed a tenth of first attempts plus one per second in any window of two seconds.
    #[test]
    fn budget_ratio(gaps in prop::collection::vec((0_u64..60, any::<bool>()), 1..400)) {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let (mut now, mut firsts, mut retries) = (0, Vec::new(), Vec::new());
        for (gap, is_first) in gaps {
            now += gap;
            if is_first {
                budget.record_first(at(now));
                firsts.push(now);
            } else if budget.try_retry(at(now)) {
                retries.push(now);
                let recent = |times: &[u64]| times.iter().filter(|&&time| time + 1_800 > now).count();
                // The budget counts in buckets of 200 ms, so the edge of its window is inexact.
                let counted_firsts = firsts.iter().filter(|&&time| time + 2_000 > now).count();
                prop_assert!(recent(&retries) as f64 <= 0.1 * counted_firsts as f64 + 2.0);
            }
        }
    }
}

// Guards against a share of the allowance that differs from the rule on the design page.
#[test]
fn allowance_shares() {
    let mut allowance = AttemptAllowance::new(32);
    assert_eq!(allowance.spend(), Some(24));
    assert_eq!(allowance.remaining(), 7);
    allowance.give_back(24);
    assert_eq!(allowance.remaining(), 31);
    let mut last = AttemptAllowance::new(1);
    assert_eq!((last.spend(), last.spend()), (Some(0), None));
}

// Guards against a hop with little traffic that can never retry, and against one that accumulates retries for a burst.
#[test]
fn budget_minimum() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let late = at(3_600_000);
    let granted = (0..50).filter(|_| budget.try_retry(late)).count();
    assert_eq!(granted, 2, "one per second over a window of two seconds");
    assert!(!budget.try_retry(at(3_601_900)));
    assert!(budget.try_retry(at(3_602_000)));
}

fn report() -> AttemptReport {
    AttemptReport {
        outcome: AttemptOutcome::NotRun,
        reason: Some(RefusalReason::QueueFull),
        is_at_most_once: true,
        is_idempotent: false,
        is_replayable: true,
        attempt_number: 1,
        time_left: Duration::from_secs(1),
    }
}

fn is_retried(report: &AttemptReport, allowance: &AttemptAllowance) -> bool {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = SmallRng::seed_from_u64(5);
    let decision = policy.decide(at(0), &mut budget, allowance, report, &mut rng);
    matches!(decision, RetryDecision::Retry { backoff } if backoff < report.time_left)
}

// Guards against retries of work that may have run and must not run twice, and against retries beyond any of the bounds.
#[test]
fn decide_conditions() {
    let allowance = AttemptAllowance::new(8);
    let unknown = AttemptReport {
        outcome: AttemptOutcome::Unknown,
        reason: Some(RefusalReason::AnswerLost),
        ..report()
    };
    let cases = [
        (report(), true),
        (unknown, false),
        (
            AttemptReport {
                is_idempotent: true,
                ..unknown
            },
            false,
        ),
        (
            AttemptReport {
                is_at_most_once: false,
                ..unknown
            },
            false,
        ),
        (
            AttemptReport {
                is_at_most_once: false,
                is_idempotent: true,
                ..unknown
            },
            true,
        ),
        (
            AttemptReport {
                outcome: AttemptOutcome::Ran,
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                is_replayable: false,
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                attempt_number: 2,
                ..report()
            },
            true,
        ),
        (
            AttemptReport {
                attempt_number: 3,
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                time_left: Duration::from_millis(1),
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                reason: Some(RefusalReason::RetriesSpent),
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                reason: Some(RefusalReason::NotGranted),
                ..report()
            },
            false,
        ),
        (
            AttemptReport {
                reason: None,
                ..report()
            },
            true,
        ),
    ];
    for (case, expected) in cases {
        assert_eq!(is_retried(&case, &allowance), expected, "{case:?}");
    }
    assert!(!is_retried(&report(), &AttemptAllowance::new(0)));
}

// Guards against retries that ignore the budget: if all first attempts fail, a tenth of them may be retried.
#[test]
fn decide_counts_budget() {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = SmallRng::seed_from_u64(9);
    let allowance = AttemptAllowance::new(8);
    let mut retries = 0;
    for millis in 0..1_000 {
        budget.record_first(at(millis));
        let decision = policy.decide(at(millis), &mut budget, &allowance, &report(), &mut rng);
        retries += u32::from(decision != RetryDecision::Stop);
    }
    assert_eq!(retries, 102);
    assert_eq!(policy.suppressed(), 1_000 - 102);
}

// Guards against a resend that gets a new allowance, runs concurrently with the first request, or is refused forever.
#[test]
fn resend_gets_the_rest() {
    let mut table = ResendTable::new();
    let caller = CallerName::try_from("reseller").unwrap();
    let other = CallerName::try_from("other").unwrap();
    let id = RequestId::from_uuid(uuid::Uuid::from_u128(7));
    assert_eq!(table.begin(at(0), &caller, id, 32), ResendDecision::First);
    assert_eq!(
        table.begin(at(1), &caller, id, 32),
        ResendDecision::InFlight
    );
    assert_eq!(table.begin(at(1), &other, id, 32), ResendDecision::First);
    table.finish(at(100), &caller, id, 20);
    let resend = table.begin(at(59_000), &caller, id, 32);
    assert_eq!(resend, ResendDecision::Resend { remaining: 20 });
    // The record of the first request expires while the resend runs; the resend must stay recorded.
    table.expire(at(70_000));
    assert_eq!(
        table.begin(at(70_000), &caller, id, 32),
        ResendDecision::InFlight
    );
    table.finish(at(80_000), &caller, id, 25);
    let again = table.begin(at(139_000), &caller, id, 32);
    assert_eq!(again, ResendDecision::Resend { remaining: 20 });
    table.finish(at(139_000), &caller, id, 3);
    assert_eq!(
        table.begin(at(199_000), &caller, id, 32),
        ResendDecision::First
    );
}

// Guards against running a delayed copy of a cancelled attempt, and against a table that grows without bound.
#[test]
fn cancelled_attempt_is_remembered() {
    let mut table = AttemptIdTable::new();
    let id = AttemptId::from_uuid(uuid::Uuid::from_u128(3));
    assert!(!table.contains(id));
    table.insert(at(0), id);
    table.insert(at(30_000), id);
    table.expire(at(59_999));
    assert!(table.contains(id));
    table.expire(at(60_000));
    assert!(!table.contains(id));
}

// Guards against a payment that runs twice: the attempt has its slot, its sender is told that it did not run, and it is
// then handed over to the target nevertheless.
#[test]
fn begin_after_forbid() {
    let id = AttemptId::from_uuid(uuid::Uuid::from_u128(7));
    let mut record = HandOverRecord::default();
    let now = TickTime::from_millis(5);
    assert_eq!(record.check(id, true), HandOverDecision::Allowed);
    assert!(record.forbid(now, id));
    assert_eq!(record.begin(id, true, now), HandOverDecision::Forbidden);
}

// Guards against reporting an attempt as not run after it was handed over, and against handing over a copy of it.
#[test]
fn forbid_after_begin() {
    let id = AttemptId::from_uuid(uuid::Uuid::from_u128(8));
    let mut record = HandOverRecord::default();
    let now = TickTime::from_millis(5);
    assert_eq!(record.begin(id, true, now), HandOverDecision::Allowed);
    assert!(!record.forbid(now, id));
    assert_eq!(record.begin(id, true, now), HandOverDecision::Duplicate);
    assert_eq!(record.begin(id, false, now), HandOverDecision::Allowed);
}

// Guards against a payment that runs twice: it runs for over a minute, its connection is reset, and its hand-over has been
// forgotten.
#[test]
fn forbid_long_request_while_it_runs() {
    let id = AttemptId::from_uuid(uuid::Uuid::from_u128(9));
    let mut record = HandOverRecord::default();
    let deadline = at(600_000);
    assert_eq!(record.begin(id, true, deadline), HandOverDecision::Allowed);
    for now in [59_999, 61_000, 599_000, 601_000].map(at) {
        record.expire(now);
        assert!(!record.forbid(now, id), "at {now:?}");
    }
}

// Guards against memory that grows with the rate of requests, and against an attempt that counts as not run because the
// bound on memory dropped its hand-over.
#[test]
fn forbid_after_dropped_hand_over() {
    let id = |number| AttemptId::from_uuid(uuid::Uuid::from_u128(number));
    let mut record = HandOverRecord::with_capacity(2);
    for number in 1..=3 {
        let deadline = at(1_000 * number as u64);
        assert_eq!(
            record.begin(id(number), true, deadline),
            HandOverDecision::Allowed
        );
    }
    assert!(!record.forbid(at(5), id(1)), "a dropped hand-over");
    assert_eq!(record.check(id(1), true), HandOverDecision::Forbidden);
    assert!(!record.forbid(at(5), id(4)), "an attempt that never came");
    assert!(!record.forbid(at(5), id(5)), "no memory to forbid it");
    record.expire(at(61_000));
    assert!(record.forbid(at(61_000), id(6)));
}

const CALLS_PER_REQUEST: usize = 4;
const WINDOW_S: u64 = 10;

/// Simulates ten seconds in which a deep service refuses 55% of its calls. Each request makes four calls one after the
/// other and fails with the first that is not answered. Returns the shares of payments and of reads that were served.
fn simulate_shedding(rank_of_reads: u32) -> (f64, f64) {
    let settings = RetrySettings {
        retry_ratio: 0.2,
        window: Duration::from_secs(WINDOW_S),
        counts_earlier_windows: true,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    // A window without refusals comes first.
    for millis in 0..WINDOW_S * 1_000 {
        if millis % 10 == 0 {
            (0..CALLS_PER_REQUEST).for_each(|_| budget.record_first(at(millis)));
        }
    }
    let (mut offered, mut served) = ([0; 2], [0; 2]);
    for tick in 0..WINDOW_S * 100 {
        let now = at(WINDOW_S * 1_000 + tick * 10);
        let is_payment = rng.random_bool(0.3);
        let rank = if is_payment { 0 } else { rank_of_reads };
        offered[usize::from(is_payment)] += 1;
        let is_served = (0..CALLS_PER_REQUEST).all(|_| {
            budget.record_first(now);
            loop {
                if rng.random_bool(0.45) {
                    return true;
                }
                if !budget.try_retry_within(now, rank, 1.0) {
                    return false;
                }
            }
        });
        served[usize::from(is_payment)] += u32::from(is_served);
    }
    let share = |kind: usize| f64::from(served[kind]) / f64::from(offered[kind]);
    (share(1), share(0))
}

// Deep service that sheds load: guards against retries that are spread over all request chains, so that payments fail
// while reads spend the budget.
#[test]
fn try_retry_keeps_budget_for_payments() {
    let (payments, _) = simulate_shedding(2);
    let (unranked, _) = simulate_shedding(0);
    assert!(payments > 2.0 * unranked, "{payments} against {unranked}");
    assert!(payments > 0.5, "{payments}");
}

// Request chains that fail early send fewer first attempts, from which the budget is computed. Guards against a budget
// that therefore shrinks when it is needed.
#[test]
fn try_retry_counts_earlier_windows() {
    let settings = RetrySettings {
        retry_ratio: 0.2,
        min_retries_per_s: 0.0,
        window: Duration::from_secs(10),
        counts_earlier_windows: true,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    (0..100).for_each(|step| budget.record_first(at(step * 100)));
    let allowed = (0..50).filter(|_| budget.try_retry(at(14_900)));
    assert_eq!(allowed.count(), 20);
    let later = (0..50).filter(|_| budget.try_retry(at(31_000)));
    assert_eq!(later.count(), 0);
}

// Deep service that begins to shed load: guards against reads that spend most of the budget before payments need it.
#[test]
fn try_retry_paces_reads() {
    let settings = RetrySettings {
        retry_ratio: 0.2,
        window: Duration::from_secs(10),
        counts_earlier_windows: true,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    (0..10_000).for_each(|millis| budget.record_first(at(millis)));
    let reads = (0..1_000).filter(|_| budget.try_retry_within(at(10_000), 2, 0.4));
    assert!(reads.count() <= 210);
    let payments = (0..2_000).filter(|_| budget.try_retry_within(at(10_001), 0, 1.0));
    assert!(payments.count() >= 1_700);
}

// Targets that run requests and lose some answers: guards against reads that fail although most of the budget is unspent.
#[test]
fn try_retry_for_lost_answers() {
    const LOST_INTERVAL: usize = 17;
    let settings = RetrySettings {
        retry_ratio: 0.16,
        min_retries_per_s: 0.0,
        window: Duration::from_secs(10),
        counts_earlier_windows: true,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    (0..10_000)
        .step_by(10)
        .for_each(|millis| budget.record_first(at(millis)));
    let mut wanted = 0;
    let mut allowed = 0;
    for (number, millis) in (10_000..18_000).step_by(10).enumerate() {
        budget.record_first(at(millis));
        if number % LOST_INTERVAL == 0 {
            wanted += 1;
            allowed += u32::from(budget.try_retry_for(at(millis), 2, RetryCause::MayHaveRun));
        }
    }
    assert_eq!(allowed, wanted);
}

// Targets that run requests and lose some answers: guards against retries that leave no budget for retries of the calls
// that they make in turn.
#[test]
fn try_retry_for_bounds_repeats() {
    let settings = RetrySettings {
        retry_ratio: 0.2,
        min_retries_per_s: 0.0,
        window: Duration::from_secs(10),
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    (0..1_000).for_each(|millis| budget.record_first(at(millis * 10)));
    for rank in [0, 2] {
        (0..1_000).for_each(|millis| {
            budget.try_retry_for(at(9_000 + millis), rank, RetryCause::MayHaveRun);
        });
    }
    let refused = (0..1_000).filter(|_| budget.try_retry_for(at(10_000), 0, RetryCause::Refused));
    assert!(refused.count() >= 100, "half of 200 is left");
}
