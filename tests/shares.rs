//! Shares of a caller's rate limit: together they never exceed the limit, and they follow the demand of the nodes.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyjunction::generated::{CallerRow, PlanRow, PlanSet};
use ebonyjunction::plans::PlanBook;
use ebonyjunction::shares::{RateDemand, RateShare, SHARE_LEASE, ShareBucket, ShareLedger};
use ebonyjunction::types::{CallerName, NodeId, TickTime};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: usize = 4;

fn caller_name() -> CallerName {
    "reseller".try_into().unwrap()
}

fn node_id(index: usize) -> NodeId {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&index.to_be_bytes());
    bytes.as_slice().try_into().unwrap()
}

fn book(rate_per_s: u32, burst: u32) -> PlanBook {
    let plan = PlanRow {
        name: "gold".into(),
        rate_per_s,
        burst,
        attempts: 8,
    };
    let caller = CallerRow {
        name: "reseller".into(),
        plan: "gold".into(),
        credential_sha256: vec![7; 32].into(),
        service: String::new(),
    };
    let set = PlanSet {
        version: 1,
        plans: vec![plan],
        callers: vec![caller],
        grants: Vec::new(),
    };
    PlanBook::try_from(&set).unwrap()
}

fn take(bucket: &mut ShareBucket, now: TickTime, book: &PlanBook) -> Result<(), Duration> {
    let caller = book.caller_named(&caller_name()).unwrap();
    bucket.take(now, caller, book.plan_of(caller).unwrap())
}

/// A share ledger and the buckets of several nodes, without a network in between.
struct ShareSetup {
    now: TickTime,
    book: PlanBook,
    ledger: ShareLedger,
    buckets: Vec<ShareBucket>,
}

impl ShareSetup {
    fn new(nodes: usize, rate_per_s: u32, burst: u32) -> Self {
        let start = TickTime::from_millis(0);
        Self {
            now: start + SHARE_LEASE,
            book: book(rate_per_s, burst),
            ledger: ShareLedger::new(start),
            buckets: (0..nodes).map(|_| ShareBucket::new()).collect(),
        }
    }

    fn heartbeat(&mut self, node: usize) -> Vec<RateShare> {
        let demands = self.buckets[node].demands(self.now);
        let shares = self
            .ledger
            .renew(self.now, node_id(node), &demands, &self.book);
        self.buckets[node].update(self.now, self.now, &shares);
        shares
    }

    /// Offers one request. A node without a token may send an early heartbeat and try once more.
    fn offer(&mut self, node: usize) -> bool {
        if take(&mut self.buckets[node], self.now, &self.book).is_ok() {
            return true;
        }
        if !self.buckets[node].wants_heartbeat(self.now) {
            return false;
        }
        self.heartbeat(node);
        take(&mut self.buckets[node], self.now, &self.book).is_ok()
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.ledger.expire(self.now);
    }
}

// Guards against starving a caller with a low rate: the rate cannot be split into whole requests per second for hundreds
// of nodes, and each request arrives at another node.
#[test]
fn offer_one_per_second_over_580_nodes() {
    let mut setup = ShareSetup::new(580, 1, 3);
    let mut served = 0;
    for second in 0..200_usize {
        served += usize::from(setup.offer(second * 37 % 580));
        setup.advance(1_000);
    }
    assert!(served >= 190, "only {served} of 200 requests were served");
}

// Guards against shares that follow the demand too late when all of it moves to another node.
#[test]
fn renew_moved_demand() {
    let mut setup = ShareSetup::new(2, 100, 100);
    for _ in 0..100 {
        setup.offer(0);
        setup.advance(10);
        setup.heartbeat(0);
    }
    let mut served_late = 0;
    for step in 0..1_000 {
        let is_served = setup.offer(1);
        served_late += usize::from(is_served && step >= 500);
        setup.advance(10);
        if step % 100 == 0 {
            setup.heartbeat(0);
            setup.heartbeat(1);
        }
    }
    assert!(served_late >= 495, "{served_late} of 500 served after 5 s");
}

// Guards against a new leader that refuses callers whose leases its predecessor granted.
#[test]
fn renew_after_leader_change() {
    let mut setup = ShareSetup::new(2, 100, 100);
    for step in 0..600 {
        if step == 200 {
            setup.ledger = ShareLedger::new(setup.now);
        }
        let is_served = setup.offer(0);
        assert!(is_served || step < 200, "refused at step {step}");
        setup.advance(11);
        if step % 90 == 0 {
            setup.heartbeat(0);
        }
    }
}

// Guards against a lease that begins with a full bucket: a node whose leases expire repeatedly would get the whole burst
// each time.
#[test]
fn renew_lapsed_lease() {
    let mut setup = ShareSetup::new(1, 20, 20);
    let mut admitted = 0_u32;
    for step in 0..6_000_u32 {
        if step % 510 < 200 && step % 50 == 0 {
            setup.heartbeat(0);
        }
        admitted += u32::from(take(&mut setup.buckets[0], setup.now, &setup.book).is_ok());
        let bound = 20 + step / 5 + 1;
        assert!(admitted <= bound, "{admitted} admitted, {bound} allowed");
        setup.advance(10);
    }
}

// Guards against a new leader that confirms a lease which its predecessor let expire and granted to another node, when
// the heartbeat or the reply was delayed for long.
#[test]
fn renew_delayed_heartbeat() {
    for time_left_ms in [400, 1_500] {
        let mut setup = ShareSetup::new(2, 100, 100);
        for _ in 0..50 {
            setup.offer(0);
        }
        setup.advance(1);
        setup.heartbeat(0);
        setup.advance(3_000 - time_left_ms);
        setup.offer(0);
        let sent_at = setup.now;
        let demands = setup.buckets[0].demands(sent_at);
        assert!(demands[0].held_per_s > 50);
        setup.advance(time_left_ms + 100);
        for _ in 0..100 {
            setup.offer(1);
        }
        setup.advance(1);
        setup.heartbeat(1);
        assert!(setup.buckets[1].held_rate(setup.now, &caller_name()) > 50);
        setup.ledger = ShareLedger::new(setup.now);
        let shares = setup
            .ledger
            .renew(setup.now, node_id(0), &demands, &setup.book);
        setup.buckets[0].update(sent_at, setup.now, &shares);
        assert_eq!(setup.buckets[0].held_rate(setup.now, &caller_name()), 0);
    }
}

// Guards against an older reply that arrives after a newer one and restores an old share.
#[test]
fn update_overtaken_reply() {
    let mut bucket = ShareBucket::new();
    let share = |rate_per_s| RateShare {
        caller: caller_name(),
        rate_per_s,
        burst: 10,
        valid_for: SHARE_LEASE,
    };
    let at = TickTime::from_millis;
    bucket.update(at(100), at(120), &[share(5)]);
    bucket.update(at(50), at(130), &[share(90)]);
    assert_eq!(bucket.held_rate(at(140), &caller_name()), 5);
    assert_eq!(bucket.held_rate(at(3_100), &caller_name()), 0);
}

/// History of the limits of a plan. The largest limit that may still be leased bounds the shares.
#[derive(Debug, Clone)]
struct LimitHistory {
    now_ms: u64,
    limits: VecDeque<(u64, u32, u32)>,
    leader_changes_ms: Vec<u64>,
}

impl LimitHistory {
    fn set(&mut self, rate_per_s: u32, burst: u32) {
        self.limits.push_back((self.now_ms, rate_per_s, burst));
    }

    // A limit counts until one lease time after its replacement. When two leaders follow each other so soon that both
    // only confirm leases, it counts for a second lease time.
    fn bound(&self) -> (u32, u32) {
        let lease_ms = SHARE_LEASE.as_millis() as u64;
        let changes = self.leader_changes_ms.iter();
        let recent = changes.filter(|at| **at + 2 * lease_ms > self.now_ms);
        let leases = if recent.count() > 1 { 2 } else { 1 };
        let mut bound = (0, 0);
        for (index, (_, rate_per_s, burst)) in self.limits.iter().enumerate() {
            let replaced_ms = self.limits.get(index + 1).map(|next| next.0);
            if replaced_ms.is_none_or(|at| at + leases * lease_ms > self.now_ms) {
                bound = (bound.0.max(*rate_per_s), bound.1.max(*burst));
            }
        }
        bound
    }
}

#[derive(Debug, Clone)]
enum ShareStep {
    Advance {
        millis: u64,
    },
    Offer {
        node: usize,
        count: u32,
    },
    /// A heartbeat and its reply, both delivered without delay.
    Exchange {
        node: usize,
    },
    SendHeartbeat {
        node: usize,
    },
    DeliverHeartbeat {
        position: Index,
    },
    DeliverReply {
        position: Index,
    },
    LoseHeartbeat {
        position: Index,
    },
    LoseReply {
        position: Index,
    },
    ChangeLeader,
    EditPlan {
        rate_per_s: u32,
        burst: u32,
    },
}

impl ReferenceStateMachine for LimitHistory {
    type State = Self;
    type Transition = ShareStep;

    fn init_state() -> BoxedStrategy<Self> {
        let start_ms = SHARE_LEASE.as_millis() as u64;
        let limit = (1..60_u32, 1..30_u32);
        limit
            .prop_map(move |(rate_per_s, burst)| Self {
                now_ms: start_ms,
                limits: VecDeque::from([(0, rate_per_s, burst)]),
                leader_changes_ms: Vec::new(),
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<ShareStep> {
        let node = 0..NODES;
        let position = any::<Index>();
        // Most heartbeats succeed, so that leases are in force when a fault occurs.
        prop_oneof![
            60 => (20..600_u64).prop_map(|millis| ShareStep::Advance { millis }),
            4 => (1_000..5_000_u64).prop_map(|millis| ShareStep::Advance { millis }),
            60 => (node.clone(), 1..100_u32)
                .prop_map(|(node, count)| ShareStep::Offer { node, count }),
            60 => node.clone().prop_map(|node| ShareStep::Exchange { node }),
            30 => node.prop_map(|node| ShareStep::SendHeartbeat { node }),
            30 => position.clone().prop_map(|position| ShareStep::DeliverHeartbeat { position }),
            30 => position.clone().prop_map(|position| ShareStep::DeliverReply { position }),
            4 => position.clone().prop_map(|position| ShareStep::LoseHeartbeat { position }),
            4 => position.prop_map(|position| ShareStep::LoseReply { position }),
            2 => Just(ShareStep::ChangeLeader),
            4 => (1..60_u32, 1..30_u32)
                .prop_map(|(rate_per_s, burst)| ShareStep::EditPlan { rate_per_s, burst }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &ShareStep) -> Self {
        match *step {
            ShareStep::Advance { millis } => state.now_ms += millis,
            ShareStep::EditPlan { rate_per_s, burst } => state.set(rate_per_s, burst),
            ShareStep::ChangeLeader => state.leader_changes_ms.push(state.now_ms),
            _ => {}
        }
        state
    }
}

#[derive(Debug)]
struct HeartbeatInFlight {
    node: usize,
    sent_at: TickTime,
    demands: Vec<RateDemand>,
}

#[derive(Debug)]
struct ReplyInFlight {
    node: usize,
    sent_at: TickTime,
    shares: Vec<RateShare>,
}

/// Nodes and a leader with a network that delays, reorders and loses messages. A token bucket for the whole mesh is the
/// oracle.
struct SharesUnderTest {
    setup: ShareSetup,
    heartbeats: VecDeque<HeartbeatInFlight>,
    replies: VecDeque<ReplyInFlight>,
    oracle_tokens: f64,
    bound: (u32, u32),
}

impl SharesUnderTest {
    fn advance(&mut self, millis: u64) {
        let (rate_per_s, burst) = self.bound;
        let income = f64::from(rate_per_s) * millis as f64 / 1e3;
        self.oracle_tokens = (self.oracle_tokens + income).min(f64::from(burst));
        self.setup.advance(millis);
    }

    fn offer(&mut self, node: usize, count: u32) {
        let setup = &mut self.setup;
        for _ in 0..count {
            if take(&mut setup.buckets[node], setup.now, &setup.book).is_ok() {
                self.oracle_tokens -= 1.0;
            }
        }
    }

    fn send(&mut self, node: usize) {
        let sent_at = self.setup.now;
        let demands = self.setup.buckets[node].demands(sent_at);
        self.heartbeats.push_back(HeartbeatInFlight {
            node,
            sent_at,
            demands,
        });
    }

    fn deliver_heartbeat(&mut self, position: Index) {
        let Some(heartbeat) = remove_at(&mut self.heartbeats, position) else {
            return;
        };
        let setup = &mut self.setup;
        let id = node_id(heartbeat.node);
        let shares = setup
            .ledger
            .renew(setup.now, id, &heartbeat.demands, &setup.book);
        self.replies.push_back(ReplyInFlight {
            node: heartbeat.node,
            sent_at: heartbeat.sent_at,
            shares,
        });
    }

    fn deliver_reply(&mut self, position: Index) {
        if let Some(reply) = remove_at(&mut self.replies, position) {
            let now = self.setup.now;
            let bucket = &mut self.setup.buckets[reply.node];
            bucket.update(reply.sent_at, now, &reply.shares);
        }
    }
}

fn remove_at<T>(messages: &mut VecDeque<T>, position: Index) -> Option<T> {
    let length = messages.len();
    (length > 0).then(|| messages.remove(position.index(length)))?
}

struct SharesStateMachine;

impl StateMachineTest for SharesStateMachine {
    type SystemUnderTest = SharesUnderTest;
    type Reference = LimitHistory;

    fn init_test(history: &LimitHistory) -> SharesUnderTest {
        let (rate_per_s, burst) = history.bound();
        SharesUnderTest {
            setup: ShareSetup::new(NODES, rate_per_s, burst),
            heartbeats: VecDeque::new(),
            replies: VecDeque::new(),
            oracle_tokens: f64::from(burst),
            bound: (rate_per_s, burst),
        }
    }

    fn apply(
        mut state: SharesUnderTest,
        history: &LimitHistory,
        step: ShareStep,
    ) -> SharesUnderTest {
        match step {
            ShareStep::Advance { millis } => state.advance(millis),
            ShareStep::Offer { node, count } => state.offer(node, count),
            ShareStep::Exchange { node } => drop(state.setup.heartbeat(node)),
            ShareStep::SendHeartbeat { node } => state.send(node),
            ShareStep::DeliverHeartbeat { position } => state.deliver_heartbeat(position),
            ShareStep::DeliverReply { position } => state.deliver_reply(position),
            ShareStep::LoseHeartbeat { position } => {
                drop(remove_at(&mut state.heartbeats, position));
            }
            ShareStep::LoseReply { position } => drop(remove_at(&mut state.replies, position)),
            ShareStep::ChangeLeader => state.setup.ledger = ShareLedger::new(state.setup.now),
            ShareStep::EditPlan { rate_per_s, burst } => state.setup.book = book(rate_per_s, burst),
        }
        // An idle caller may spend the difference at once when its burst is raised.
        let raise = history.bound().1.saturating_sub(state.bound.1);
        state.oracle_tokens += f64::from(raise);
        state.bound = history.bound();
        state
    }

    fn check_invariants(state: &SharesUnderTest, history: &LimitHistory) {
        let (rate_per_s, _) = history.bound();
        let now = state.setup.now;
        let buckets = state.setup.buckets.iter();
        let held = buckets.map(|bucket| bucket.held_rate(now, &caller_name()));
        let held = held.sum::<u32>();
        assert!(held <= rate_per_s, "held {held} of {rate_per_s}");
        assert!(
            state.oracle_tokens >= -1e-6,
            "{} requests were admitted beyond the limit",
            -state.oracle_tokens
        );
    }
}

// Guards against shares that add up to more than the limit when messages are late, lost or out of order, leaders change
// and plans are edited.
prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn renew_random_faults(sequential 300..500 => SharesStateMachine);
}
