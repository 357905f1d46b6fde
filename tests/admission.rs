//! Invariants of admission control under random orders of events, and fixed cases of single rules.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyjunction::admission::{
    AdmissionControl, AdmissionSettings, OfferDecision, WorkAction, WorkKey, WorkRequest,
    WorkResult,
};
use ebonyjunction::types::{PriorityClass, RefusalReason, RequestPriority, TickTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK: Duration = Duration::from_millis(20);
const QUEUE_LIMIT: usize = 6;
const MAX_SLOTS: u32 = 4;

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn request(class: PriorityClass, hash: u16, deadline: TickTime) -> WorkRequest {
    WorkRequest {
        priority: RequestPriority::from_raw(RequestPriority::lowest_of(class).as_raw() | hash),
        depth: 0,
        deadline,
    }
}

#[derive(Debug, Clone, Copy)]
enum WorkEvent {
    Offer { raw: u16, depth: u8, time_left: u64 },
    Finish { pick: usize, result: WorkResult },
    Cancel { pick: usize },
    Advance { millis: u64 },
    SetSlots { slots: u32 },
    Drain,
}

/// Generates random events. The checks are in [`WorkLedger`], because only the system under test knows the keys.
#[derive(Debug)]
struct EventSource;

impl ReferenceStateMachine for EventSource {
    type State = ();
    type Transition = WorkEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<WorkEvent> {
        let result = prop_oneof![
            6 => Just(WorkResult::Success),
            2 => Just(WorkResult::Failure),
            1 => Just(WorkResult::NotStarted),
        ];
        prop_oneof![
            12 => (any::<u16>(), 0_u8..3, prop_oneof![0_u64..60, 500_u64..3_000])
                .prop_map(|(raw, depth, time_left)| WorkEvent::Offer { raw, depth, time_left }),
            4 => (any::<usize>(), result).prop_map(|(pick, result)| WorkEvent::Finish { pick, result }),
            1 => any::<usize>().prop_map(|pick| WorkEvent::Cancel { pick }),
            4 => (1_u64..150).prop_map(|millis| WorkEvent::Advance { millis }),
            1 => (0..=MAX_SLOTS).prop_map(|slots| WorkEvent::SetSlots { slots }),
            1 => prop::bool::weighted(0.1).prop_map(|is_drain| if is_drain {
                WorkEvent::Drain
            } else {
                WorkEvent::Advance { millis: 400 }
            }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &WorkEvent) {}
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LedgerState {
    Queued,
    Running,
    Ended,
}

/// Records the state of every key independently of [`AdmissionControl`] and checks each of its decisions.
#[derive(Debug)]
struct WorkLedger {
    control: AdmissionControl,
    now: TickTime,
    slots: u32,
    work: BTreeMap<WorkKey, (WorkRequest, LedgerState)>,
}

impl WorkLedger {
    fn new(slots: u32) -> Self {
        let settings = AdmissionSettings {
            queue_limit: QUEUE_LIMIT,
            ..AdmissionSettings::default()
        };
        Self {
            control: AdmissionControl::new(settings, slots),
            now: at(0),
            slots,
            work: BTreeMap::new(),
        }
    }

    fn count(&self, state: LedgerState, is_counted: impl Fn(&WorkRequest) -> bool) -> usize {
        let is_match =
            |entry: &&(WorkRequest, LedgerState)| entry.1 == state && is_counted(&entry.0);
        self.work.values().filter(is_match).count()
    }

    fn mark_ended(&mut self, key: WorkKey, expected: LedgerState) -> WorkRequest {
        let entry = self.work.get_mut(&key).expect("the key was offered");
        assert_eq!(entry.1, expected, "{key:?} ends from the wrong state");
        entry.1 = LedgerState::Ended;
        entry.0
    }

    fn check_start(&self, request: &WorkRequest) {
        assert!(request.deadline > self.now, "expired work was started");
        let running = self.count(LedgerState::Running, |_| true);
        assert!(running < self.slots as usize, "no slot was free");
        let rank = |request: &WorkRequest| (request.priority.class(), request.depth);
        let ahead = self.count(LedgerState::Queued, |other| rank(other) > rank(request));
        assert_eq!(ahead, 0, "more important work was passed over");
    }

    /// Checks that work is refused for lack of room only when no work of a lower class waits or, below the queue limit,
    /// runs.
    fn check_refusal(&self, request: &WorkRequest, reason: RefusalReason) {
        let class = request.priority.class();
        let lower = |other: &WorkRequest| other.priority.class() < class;
        let lower_queued = self.count(LedgerState::Queued, lower);
        let lower_running = self.count(LedgerState::Running, lower);
        let queued = self.count(LedgerState::Queued, |_| true);
        match reason {
            RefusalReason::AdmissionLevel => {
                assert!(request.priority < self.control.level());
                assert_eq!(
                    (lower_queued, lower_running),
                    (0, 0),
                    "lower-class work is left while {class} work is refused"
                );
            }
            RefusalReason::QueueFull | RefusalReason::Displaced => {
                assert_eq!(
                    lower_queued, 0,
                    "lower-class work waits while {class} work is refused"
                );
                let is_at_limit = queued + 1 >= QUEUE_LIMIT;
                let is_stopped = self.control.limit() == 0;
                assert!(
                    lower_running == 0 || is_at_limit || is_stopped,
                    "lower-class work runs while {class} work is refused"
                );
            }
            RefusalReason::DeadlineExceeded => assert!(request.deadline <= self.now),
            RefusalReason::DeadlineInfeasible | RefusalReason::Stopping => {}
            other => panic!("unexpected reason {other}"),
        }
    }

    fn apply_actions(&mut self, actions: Vec<WorkAction>) {
        for action in actions {
            match action {
                WorkAction::Start(key) => {
                    let (request, state) = self.work[&key];
                    assert_eq!(state, LedgerState::Queued, "{key:?} was not waiting");
                    self.check_start(&request);
                    self.work.insert(key, (request, LedgerState::Running));
                }
                WorkAction::Refuse(key, reason) => {
                    let request = self.mark_ended(key, LedgerState::Queued);
                    self.check_refusal(&request, reason);
                }
            }
        }
    }

    fn offer(&mut self, request: WorkRequest) -> OfferDecision {
        let (decision, actions) = self.control.offer(self.now, request);
        self.apply_actions(actions);
        match decision {
            OfferDecision::Started(key) => {
                self.check_start(&request);
                let previous = self.work.insert(key, (request, LedgerState::Running));
                assert!(previous.is_none(), "the key was used before");
            }
            OfferDecision::Queued(key) => {
                let previous = self.work.insert(key, (request, LedgerState::Queued));
                assert!(previous.is_none(), "the key was used before");
            }
            OfferDecision::Refused(reason) => self.check_refusal(&request, reason),
        }
        decision
    }

    fn pick(&self, pick: usize, state: Option<LedgerState>) -> Option<WorkKey> {
        let is_match = |entry: &(&WorkKey, &(WorkRequest, LedgerState))| {
            state.is_none_or(|state| entry.1.1 == state)
        };
        let keys: Vec<WorkKey> = self
            .work
            .iter()
            .filter(is_match)
            .map(|entry| *entry.0)
            .collect();
        (!keys.is_empty()).then(|| keys[pick % keys.len()])
    }

    fn finish(&mut self, key: WorkKey, result: WorkResult) {
        self.mark_ended(key, LedgerState::Running);
        let actions = self.control.finish(self.now, key, result);
        self.apply_actions(actions);
    }

    fn cancel(&mut self, key: WorkKey) {
        let was_queued = self.work[&key].1 == LedgerState::Queued;
        assert_eq!(self.control.cancel(self.now, key), was_queued);
        if was_queued {
            self.mark_ended(key, LedgerState::Queued);
        }
    }

    /// Advances the time and ticks at every multiple of 20 ms, so that other events also fall between ticks.
    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        let tick_ms = TICK.as_millis() as u64;
        loop {
            let passed = self.now.since_start().as_millis() as u64 / tick_ms;
            let next = at((passed + 1) * tick_ms);
            if next > until {
                break;
            }
            self.now = next;
            let actions = self.control.tick(self.now);
            self.apply_actions(actions);
        }
        self.now = until;
    }

    fn apply(&mut self, event: WorkEvent) {
        match event {
            WorkEvent::Offer {
                raw,
                depth,
                time_left,
            } => {
                self.offer(WorkRequest {
                    priority: RequestPriority::from_raw(raw),
                    depth,
                    deadline: self.now + Duration::from_millis(time_left),
                });
            }
            WorkEvent::Finish { pick, result } => {
                if let Some(key) = self.pick(pick, Some(LedgerState::Running)) {
                    self.finish(key, result);
                }
            }
            WorkEvent::Cancel { pick } => {
                if let Some(key) = self.pick(pick, None) {
                    self.cancel(key);
                }
            }
            WorkEvent::Advance { millis } => self.advance(Duration::from_millis(millis)),
            WorkEvent::SetSlots { slots } => {
                self.slots = slots;
                self.control.set_slots(slots);
            }
            WorkEvent::Drain => {
                let actions = self.control.drain();
                self.apply_actions(actions);
                assert_eq!(self.control.queued(), 0);
            }
        }
    }
}

#[derive(Debug)]
struct AdmissionTest;

impl StateMachineTest for AdmissionTest {
    type SystemUnderTest = WorkLedger;
    type Reference = EventSource;

    fn init_test((): &()) -> WorkLedger {
        WorkLedger::new(MAX_SLOTS)
    }

    fn apply(mut ledger: WorkLedger, (): &(), event: WorkEvent) -> WorkLedger {
        ledger.apply(event);
        ledger
    }

    fn check_invariants(ledger: &WorkLedger, (): &()) {
        let running = ledger.count(LedgerState::Running, |_| true);
        let queued = ledger.count(LedgerState::Queued, |_| true);
        assert_eq!(ledger.control.in_flight(), running);
        assert_eq!(ledger.control.queued(), queued);
        assert!(queued <= QUEUE_LIMIT + MAX_SLOTS as usize);
        assert!((ledger.slots.min(1)..=ledger.slots).contains(&ledger.control.limit()));
    }

    fn teardown(mut ledger: WorkLedger, (): ()) {
        ledger.apply(WorkEvent::Drain);
        while let Some(key) = ledger.pick(0, Some(LedgerState::Running)) {
            ledger.finish(key, WorkResult::Success);
        }
        assert!(
            ledger
                .work
                .values()
                .all(|entry| entry.1 == LedgerState::Ended)
        );
        assert_eq!(ledger.control.in_flight(), 0);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against work that is lost or has two results, more running work than slots, work that starts after its
    // deadline, and work of a lower class that is served before a higher one.
    #[test]
    fn admission_any_events(sequential 1..250 => AdmissionTest);
}

/// Offers one request per millisecond for `span_ms`. Each started request runs for `service_ms`.
fn overload(
    ledger: &mut WorkLedger,
    service_ms: u64,
    span_ms: u64,
    mut next: impl FnMut(u64) -> WorkRequest,
) {
    let mut ends: BTreeMap<WorkKey, TickTime> = BTreeMap::new();
    for _ in 0..span_ms {
        ledger.now = ledger.now + Duration::from_millis(1);
        let now = ledger.now;
        for (key, (_, state)) in &ledger.work {
            if *state == LedgerState::Running {
                ends.entry(*key)
                    .or_insert(now + Duration::from_millis(service_ms));
            }
        }
        for (key, _) in ends.clone().into_iter().filter(|(_, end)| *end <= now) {
            ends.remove(&key);
            ledger.finish(key, WorkResult::Success);
        }
        ledger.work.retain(|_, entry| entry.1 != LedgerState::Ended);
        if now
            .since_start()
            .as_millis()
            .is_multiple_of(TICK.as_millis())
        {
            let actions = ledger.control.tick(now);
            ledger.apply_actions(actions);
        }
        ledger.offer(next(now.since_start().as_millis() as u64));
    }
}

// Guards against an admission level that stays at zero under overload, that shuts out critical work while reads are
// offered, or that does not fall again after the overload.
#[test]
fn level_rises_and_falls() {
    let mut ledger = WorkLedger::new(MAX_SLOTS);
    let hash = |millis: u64| (millis * 7_919 % 16_384) as u16;
    let class = |millis: u64| PriorityClass::ALL[(millis % 20 / 19 * 3) as usize];
    overload(&mut ledger, 20, 3_000, |millis| {
        request(class(millis), hash(millis), at(millis + 1_000))
    });
    let level = ledger.control.level();
    assert!(
        level > RequestPriority::from_raw(8_192),
        "level {level:?} is too low under overload"
    );
    assert!(
        level <= RequestPriority::lowest_of(PriorityClass::Interactive),
        "{level:?}"
    );
    ledger.apply(WorkEvent::Drain);
    while let Some(key) = ledger.pick(0, Some(LedgerState::Running)) {
        ledger.finish(key, WorkResult::Success);
    }
    ledger.advance(Duration::from_secs(1));
    assert_eq!(ledger.control.level(), RequestPriority::from_raw(0));
}

// Guards against using a slot for work that cannot end before its deadline, and against refusing such work forever after
// one slow result.
#[test]
fn offer_infeasible_deadline() {
    let mut ledger = WorkLedger::new(MAX_SLOTS);
    let slow = request(PriorityClass::Read, 0, at(10_000));
    let OfferDecision::Started(key) = ledger.offer(slow) else {
        panic!("a free slot was not used");
    };
    ledger.now = at(400);
    ledger.finish(key, WorkResult::Success);
    let short = |now: u64| request(PriorityClass::Read, 0, at(now + 300));
    let decision = ledger.offer(short(400));
    assert_eq!(
        decision,
        OfferDecision::Refused(RefusalReason::DeadlineInfeasible)
    );
    ledger.now = at(2_000);
    assert!(matches!(
        ledger.offer(short(2_000)),
        OfferDecision::Started(_)
    ));
}

// Guards against a queue in which reads keep their places while critical work is refused.
#[test]
fn offer_displaces_lowest() {
    let mut ledger = WorkLedger::new(1);
    let offer_all = |ledger: &mut WorkLedger, class, count: usize| -> Vec<OfferDecision> {
        (0..count)
            .rev()
            .map(|hash| ledger.offer(request(class, hash as u16, at(5_000))))
            .collect()
    };
    let reads = offer_all(&mut ledger, PriorityClass::Read, QUEUE_LIMIT + 1);
    assert!(
        !reads
            .iter()
            .any(|read| matches!(read, OfferDecision::Refused(_)))
    );
    let critical = offer_all(&mut ledger, PriorityClass::Critical, QUEUE_LIMIT + 2);
    let refused = OfferDecision::Refused(RefusalReason::QueueFull);
    let position = critical.iter().position(|decision| *decision == refused);
    // One more than the limit is refused, because the slot of the running read is reserved for critical work.
    assert_eq!(position, Some(QUEUE_LIMIT + 1));
    assert_eq!(
        ledger.count(LedgerState::Queued, |other| other.priority.class()
            == PriorityClass::Read),
        0
    );
}

// Guards against refused callers that all retry at the same moment.
#[test]
fn retry_after_is_jittered() {
    let control = AdmissionControl::new(AdmissionSettings::default(), 4);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut times: Vec<Duration> = (0..100).map(|_| control.retry_after(&mut rng)).collect();
    times.sort();
    times.dedup();
    assert!(times.len() > 90);
    assert!(
        times[0] >= Duration::from_millis(500)
            && times[times.len() - 1] < Duration::from_millis(1_500)
    );
}
