//! Simulates rate shares of callers whose demand is spread over entry nodes or moves between them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ebonyjunction::generated::{CallerRow, PlanRow, PlanSet};
use ebonyjunction::plans::PlanBook;
use ebonyjunction::shares::{RateDemand, RateShare, SHARE_LEASE, ShareBucket, ShareLedger};
use ebonyjunction::types::{CallerName, NodeId, TickTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ONE_WAY_MS: u64 = 12;
const HEARTBEAT_MS: u64 = 1_000;
/// Time that a node holds a request without a token, because a share may arrive before the next regular heartbeat.
const HOLD_MS: u64 = 100;

#[derive(Debug)]
struct ShareMessage {
    node: usize,
    sent_ms: u64,
    arrives_ms: u64,
    demands: Vec<RateDemand>,
    shares: Vec<RateShare>,
}

/// Simulated nodes and leader, with one reference token bucket for the whole mesh that each admission is compared with.
struct ShareSim {
    now_ms: u64,
    rng: SmallRng,
    book: PlanBook,
    caller: CallerName,
    ledger: ShareLedger,
    buckets: Vec<ShareBucket>,
    next_heartbeat_ms: Vec<u64>,
    heartbeats: VecDeque<ShareMessage>,
    replies: VecDeque<ShareMessage>,
    /// Requests held without a token: node and time of arrival in milliseconds.
    held: VecDeque<(usize, u64)>,
    /// Rate per second and burst of the caller's plan.
    limit: (f64, f64),
    reference_tokens: f64,
    /// Largest number of admissions beyond the reference bucket.
    max_over_admission: f64,
    admitted: Vec<u64>,
    heartbeats_sent: u64,
}

impl ShareSim {
    fn new(nodes: usize, rate_per_s: u32, burst: u32) -> Self {
        let mut rng = SmallRng::seed_from_u64(20_261_204);
        let start_ms = SHARE_LEASE.as_millis() as u64;
        let next_heartbeat_ms = (0..nodes).map(|_| start_ms + rng.random_range(0..HEARTBEAT_MS));
        let next_heartbeat_ms = next_heartbeat_ms.collect();
        let Ok(caller) = CallerName::try_from("reseller") else {
            unreachable!("a valid name");
        };
        Self {
            now_ms: start_ms,
            rng,
            book: new_book(rate_per_s, burst),
            caller,
            ledger: ShareLedger::new(TickTime::default()),
            buckets: (0..nodes).map(|_| ShareBucket::new()).collect(),
            next_heartbeat_ms,
            heartbeats: VecDeque::new(),
            replies: VecDeque::new(),
            held: VecDeque::new(),
            limit: (f64::from(rate_per_s), f64::from(burst)),
            reference_tokens: f64::from(burst),
            max_over_admission: 0.0,
            admitted: vec![0; nodes],
            heartbeats_sent: 0,
        }
    }

    /// Advances the simulation by one millisecond, in which each node listed in `offers` gets a request.
    fn step(&mut self, offers: &[usize]) {
        self.now_ms += 1;
        let (rate_per_s, burst) = self.limit;
        self.reference_tokens = (self.reference_tokens + rate_per_s / 1e3).min(burst);
        self.deliver_messages();
        for _ in 0..self.held.len() {
            if let Some((node, since_ms)) = self.held.pop_front() {
                self.offer(node, since_ms);
            }
        }
        for node in offers {
            self.offer(*node, self.now_ms);
        }
        for node in 0..self.buckets.len() {
            self.send_heartbeat(node);
        }
        if self.now_ms.is_multiple_of(100) {
            self.ledger.expire(millis(self.now_ms));
        }
    }

    fn deliver_messages(&mut self) {
        let now = millis(self.now_ms);
        while let Some(mut message) = take_arrived(&mut self.heartbeats, self.now_ms) {
            let id = node_id(message.node);
            message.shares = self.ledger.renew(now, id, &message.demands, &self.book);
            message.arrives_ms = self.now_ms + ONE_WAY_MS;
            self.replies.push_back(message);
        }
        while let Some(message) = take_arrived(&mut self.replies, self.now_ms) {
            let bucket = &mut self.buckets[message.node];
            bucket.update(millis(message.sent_ms), now, &message.shares);
        }
    }

    fn offer(&mut self, node: usize, since_ms: u64) {
        let Some(caller) = self.book.caller_named(&self.caller) else {
            return;
        };
        let Some(plan) = self.book.plan_of(caller) else {
            return;
        };
        let now = millis(self.now_ms);
        let bucket = &mut self.buckets[node];
        let result = if since_ms == self.now_ms {
            bucket.take(now, caller, plan)
        } else {
            bucket.retry_take(now, caller, plan)
        };
        if result.is_ok() {
            self.admitted[node] += 1;
            self.reference_tokens -= 1.0;
            self.max_over_admission = self.max_over_admission.max(-self.reference_tokens);
        } else if self.now_ms < since_ms + HOLD_MS {
            self.held.push_back((node, since_ms));
        }
    }

    fn send_heartbeat(&mut self, node: usize) {
        let now = millis(self.now_ms);
        let is_regular = self.now_ms >= self.next_heartbeat_ms[node];
        if !is_regular && !self.buckets[node].wants_heartbeat(now) {
            return;
        }
        if is_regular {
            let jitter_ms = self.rng.random_range(0..200);
            self.next_heartbeat_ms[node] = self.now_ms + HEARTBEAT_MS - 100 + jitter_ms;
        }
        self.heartbeats_sent += 1;
        self.heartbeats.push_back(ShareMessage {
            node,
            sent_ms: self.now_ms,
            arrives_ms: self.now_ms + ONE_WAY_MS,
            demands: self.buckets[node].demands(now),
            shares: Vec::new(),
        });
    }

    /// Runs for `span_ms` with random arrivals at the listed rate per node. Returns the number of admitted requests.
    fn run(&mut self, span_ms: u64, rates: &[(usize, f64)]) -> u64 {
        let before = self.admitted.iter().sum::<u64>();
        for _ in 0..span_ms {
            let mut offers = Vec::new();
            for (node, rate_per_s) in rates {
                if self.rng.random::<f64>() < rate_per_s / 1e3 {
                    offers.push(*node);
                }
            }
            self.step(&offers);
        }
        self.admitted.iter().sum::<u64>() - before
    }
}

fn take_arrived(messages: &mut VecDeque<ShareMessage>, now_ms: u64) -> Option<ShareMessage> {
    let is_due = messages
        .front()
        .is_some_and(|message| message.arrives_ms <= now_ms);
    is_due.then(|| messages.pop_front())?
}

fn millis(now_ms: u64) -> TickTime {
    TickTime::from_start(Duration::from_millis(now_ms))
}

fn node_id(index: usize) -> NodeId {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&index.to_be_bytes());
    let Ok(id) = NodeId::try_from(bytes.as_slice()) else {
        unreachable!("an identifier has 16 bytes");
    };
    id
}

fn new_book(rate_per_s: u32, burst: u32) -> PlanBook {
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
    let Ok(book) = PlanBook::try_from(&set) else {
        unreachable!("valid lists");
    };
    book
}

/// Measures a caller whose whole demand, 90% of its limit, moves from one node to another.
pub(crate) fn measure_moved_demand() {
    let mut sim = ShareSim::new(8, 100, 100);
    sim.run(20_000, &[(0, 90.0)]);
    let mut seconds = None;
    let mut admitted = 0;
    for second in 1..=20_u64 {
        let served = sim.run(1_000, &[(1, 90.0)]);
        admitted += served;
        if served >= 85 && seconds.is_none() {
            seconds = Some(second - 1);
        }
    }
    println!(
        "shares.move.over_admission={:.3}",
        sim.max_over_admission.max(0.0)
    );
    println!(
        "shares.move.waste_percent={:.1}",
        100.0 - admitted as f64 / 18.0
    );
    println!("shares.move.full_rate_after_s={}", seconds.unwrap_or(99));
}

/// Measures twenty nodes that together offer twice the limit; one of them offers a third of that demand.
pub(crate) fn measure_contention() {
    let mut sim = ShareSim::new(20, 100, 100);
    let mut rates = (1..20).map(|node| (node, 7.0)).collect::<Vec<_>>();
    rates.push((0, 66.0));
    sim.run(10_000, &rates);
    let busy_before = sim.admitted[0];
    let admitted = sim.run(20_000, &rates);
    let busy = sim.admitted[0] - busy_before;
    println!(
        "shares.contention.over_admission={:.3}",
        sim.max_over_admission.max(0.0)
    );
    println!(
        "shares.contention.used_percent={:.1}",
        admitted as f64 / 20.0
    );
    println!(
        "shares.contention.busy_node_percent={:.1}",
        busy as f64 * 100.0 / admitted as f64
    );
    let heartbeats = sim.heartbeats_sent as f64 / 20.0 / 30.0;
    println!("shares.contention.heartbeats_per_node_s={heartbeats:.2}");
}

/// Measures callers limited to 1 and to 50 requests per second whose requests go to random nodes out of 580.
pub(crate) fn measure_slow_caller() {
    for (rate_per_s, burst, nodes) in [(1, 1, 580), (1, 3, 580), (1, 1, 1), (50, 50, 580)] {
        let mut sim = ShareSim::new(nodes, rate_per_s, burst);
        let seconds = 60;
        let mut offered = 0;
        let mut ideal = 0;
        let mut tokens = f64::from(burst);
        for _ in 0..seconds * 1_000 {
            let is_offered = sim.rng.random::<f64>() < f64::from(rate_per_s) * 0.9 / 1e3;
            let node = sim.rng.random_range(0..nodes);
            offered += u64::from(is_offered);
            tokens = (tokens + f64::from(rate_per_s) / 1e3).min(f64::from(burst));
            if is_offered && tokens >= 1.0 {
                tokens -= 1.0;
                ideal += 1;
            }
            let offers = [node];
            sim.step(if is_offered { &offers[..] } else { &[] });
        }
        let admitted = sim.admitted.iter().sum::<u64>();
        let prefix = format!("shares.sparse.rate_{rate_per_s}.burst_{burst}.nodes_{nodes}");
        println!(
            "{prefix}.over_admission={:.3}",
            sim.max_over_admission.max(0.0)
        );
        let ideal_percent = f64::from(ideal) * 100.0 / offered as f64;
        println!("{prefix}.one_bucket_percent={ideal_percent:.1}");
        println!(
            "{prefix}.served_percent={:.1}",
            admitted as f64 * 100.0 / offered as f64
        );
    }
}

/// Measures the time of one share renewal for a caller that is active at every node of a mesh of the design size.
pub(crate) fn measure_renewal() {
    const NODES: usize = 580;
    const ROUNDS: u64 = 20;
    let mut sim = ShareSim::new(0, 10_000, 10_000);
    let mut spent = Duration::ZERO;
    for round in 0..ROUNDS {
        for node in 0..NODES {
            let demand = RateDemand {
                caller: sim.caller.clone(),
                offered_per_s: 10,
                held_per_s: 0,
                held_for: Duration::ZERO,
            };
            let now = millis(3_000 + round * 1_000 + node as u64);
            let start = Instant::now();
            sim.ledger.renew(now, node_id(node), &[demand], &sim.book);
            spent += start.elapsed();
        }
    }
    let renewals = ROUNDS as f64 * NODES as f64;
    let micros = spent.as_secs_f64() * 1e6 / renewals;
    println!("shares.renew_us={micros:.2}");
}
