//! Faults of replicas, nodes and the network, and what they mean for the rule.

use std::net::SocketAddr;
use std::time::Duration;

use ebonyjunction::routing::TargetState;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::processes::{NodeMachine, ReplicaMachine, machine};
use super::{SEEDS, SimulatedFleet};

/// Time for which a replica counts as lost after it is back.
const RECOVERY: Duration = Duration::from_secs(6);
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(400);

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A replica stands still.
    Freeze,
    /// A replica loses power and comes back with its disk.
    Power,
    /// A replica is killed and started again.
    Kill,
    /// A replica loses power and its disk.
    Wipe,
    /// A replica is gone for good, and an empty one comes at another address.
    Replace,
    /// A replica is cut from the others, in one direction or both.
    CoreCut,
    /// A replica is cut from all machines.
    FullCut,
    /// A replica works slowly.
    Slow,
    /// Links of a replica lose packets.
    Loss,
    /// Some of all connections go silent.
    Silence,
    /// Some connections of a replica are reset.
    CoreReset,
    /// A node is cut from all replicas.
    NodeCut,
    /// A node is killed and started again.
    NodeRestart,
    /// Some connections of a node are reset.
    NodeReset,
    /// Packets wait at a node's own link, for less than what counts as a disturbance.
    NodeQueue,
    /// The endpoint of a node starts again and again.
    EndpointFlap,
}

pub const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::Freeze,
    FaultKind::Power,
    FaultKind::Kill,
    FaultKind::Wipe,
    FaultKind::Replace,
    FaultKind::CoreCut,
    FaultKind::FullCut,
    FaultKind::Slow,
    FaultKind::Loss,
    FaultKind::Silence,
    FaultKind::CoreReset,
    FaultKind::NodeCut,
    FaultKind::NodeRestart,
    FaultKind::NodeReset,
    FaultKind::NodeQueue,
    FaultKind::EndpointFlap,
];

/// Step of a fault that is due later.
#[derive(Debug, Clone)]
pub enum LaterStep {
    Thaw(SocketAddr),
    PowerOn {
        replica: SocketAddr,
        is_wiped: bool,
    },
    StartReplica(SocketAddr),
    AddReplica,
    Unblock(Vec<(SocketAddr, SocketAddr)>),
    EndSlowness(SocketAddr),
    EndLoss(SocketAddr),
    EndQueue(SocketAddr),
    Report {
        node: SocketAddr,
        until: Instant,
        period: Duration,
    },
}

impl SimulatedFleet {
    /// Draws a fault and injects it, if the replicas that are lost at present allow it.
    pub fn inject_fault(&mut self) {
        let Some(kind) = self.plan.kinds.choose(&mut self.rng).copied() else {
            return;
        };
        let now = Instant::now();
        let span = log_uniform(&mut self.rng, 0.2, self.plan.longest_fault_s);
        let end = now + span;
        let node = *self.node_addresses().choose(&mut self.rng).expect("a node");
        match kind {
            FaultKind::Silence => {
                let fraction = *[0.2, 0.6, 1.0].choose(&mut self.rng).expect("a fraction");
                self.trace(&format!("silence {fraction}"));
                self.network.silence_links(fraction);
                self.oracle.disturb_core(now);
                for node in self.node_addresses() {
                    self.oracle.disturb_node(node, now);
                }
            }
            FaultKind::NodeCut => {
                self.trace(&format!("cut node {node} for {span:?}"));
                let pairs = self.cut(node, &self.replica_addresses());
                self.oracle.disturb_node(node, end);
                self.later(end, LaterStep::Unblock(pairs));
            }
            FaultKind::NodeRestart => {
                self.trace(&format!("restart node {node}"));
                let (seeds, seed) = (self.listed_seeds(), self.rng.random());
                self.oracle.forget_node(node);
                self.oracle.disturb_node(node, now);
                self.node(node).restart(seeds, seed);
            }
            FaultKind::NodeReset => {
                self.trace(&format!("reset node {node}"));
                self.network.reset_some_links(node, 0.6);
                self.oracle.disturb_node(node, now);
            }
            FaultKind::NodeQueue => {
                let delay = Duration::from_millis(self.rng.random_range(50..480));
                self.trace(&format!("queue of {delay:?} at node {node} for {span:?}"));
                self.network.set_queue_delay(node, delay);
                self.later(end, LaterStep::EndQueue(node));
            }
            FaultKind::EndpointFlap => {
                let period = log_uniform(&mut self.rng, 0.1, 1.5);
                self.trace(&format!(
                    "endpoint of {node} flaps each {period:?} for {span:?}"
                ));
                let until = end;
                self.later(
                    now,
                    LaterStep::Report {
                        node,
                        until,
                        period,
                    },
                );
            }
            _ => self.inject_core_fault(kind, now, span),
        }
    }

    fn inject_core_fault(&mut self, kind: FaultKind, now: Instant, span: Duration) {
        let Some(replica) = self.choose_replica(now) else {
            return;
        };
        self.trace(&format!("{kind:?} {replica} for {span:?}"));
        let end = now + span;
        let mut lost_until = end;
        match kind {
            FaultKind::Freeze => {
                self.replica(replica).set_frozen(true);
                self.later(end, LaterStep::Thaw(replica));
            }
            FaultKind::Power | FaultKind::Wipe => {
                self.network.set_dark(replica, true);
                self.replica(replica).end(false);
                let is_wiped = kind == FaultKind::Wipe;
                self.later(end, LaterStep::PowerOn { replica, is_wiped });
            }
            FaultKind::Kill => {
                self.replica(replica).end(true);
                lost_until = now + RESTART_PAUSE;
                self.later(lost_until, LaterStep::StartReplica(replica));
            }
            FaultKind::Replace => {
                self.network.set_dark(replica, true);
                self.replica(replica).end(false);
                self.replicas.retain(|it| it.address != replica);
                self.later(now + Duration::from_secs(1), LaterStep::AddReplica);
                lost_until = now + Duration::from_secs(1);
            }
            FaultKind::CoreCut | FaultKind::FullCut => {
                let mut others = self.replica_addresses();
                if kind == FaultKind::FullCut {
                    others.extend(self.node_addresses());
                }
                others.retain(|other| *other != replica);
                let pairs = self.cut(replica, &others);
                self.later(end, LaterStep::Unblock(pairs));
            }
            FaultKind::Slow => {
                let millis = self.rng.random_range(20..300);
                self.replica(replica).set_slowness(millis);
                self.later(end, LaterStep::EndSlowness(replica));
            }
            FaultKind::Loss => {
                self.network.set_loss(replica, self.plan.loss);
                self.later(end, LaterStep::EndLoss(replica));
            }
            FaultKind::CoreReset => {
                self.network.reset_some_links(replica, 0.6);
                lost_until = now;
            }
            _ => unreachable!("other faults do not concern a replica"),
        }
        self.oracle.disturb_core(lost_until);
        self.lost_until.insert(replica, lost_until + RECOVERY);
    }

    /// Chooses a replica whose loss leaves enough others, often the leader.
    fn choose_replica(&mut self, now: Instant) -> Option<SocketAddr> {
        self.lost_until.retain(|_, until| *until > now);
        if self.lost_until.len() >= self.plan.tolerance {
            return None;
        }
        let sound: Vec<&ReplicaMachine> = self
            .replicas
            .iter()
            .filter(|it| !self.lost_until.contains_key(&it.address))
            .collect();
        let leader = sound.iter().find(|it| it.is_leader()).map(|it| it.address);
        let addresses: Vec<SocketAddr> = sound.iter().map(|it| it.address).collect();
        let is_leader_chosen = self.rng.random_bool(0.4);
        let other = addresses.choose(&mut self.rng).copied();
        leader.filter(|_| is_leader_chosen).or(other)
    }

    /// Drops packets between a machine and others, in one direction or both.
    fn cut(&mut self, machine: SocketAddr, others: &[SocketAddr]) -> Vec<(SocketAddr, SocketAddr)> {
        let (cuts_out, cuts_in) = *[(true, true), (true, false), (false, true)]
            .choose(&mut self.rng)
            .expect("a form");
        let mut pairs = Vec::new();
        for other in others {
            if cuts_out {
                pairs.push((machine, *other));
            }
            if cuts_in {
                pairs.push((*other, machine));
            }
        }
        for (from, to) in &pairs {
            self.network.block(*from, *to);
        }
        pairs
    }

    pub fn run_step(&mut self, step: LaterStep) {
        self.trace(&format!("{step:?}"));
        let now = Instant::now();
        match step {
            LaterStep::Thaw(replica) => self.replica(replica).set_frozen(false),
            LaterStep::PowerOn { replica, is_wiped } => {
                self.network.set_dark(replica, false);
                if is_wiped {
                    let disk_id = self.rng.random();
                    self.replica(replica).disk = super::disk::SimulatedDisk::new(disk_id);
                }
                self.start_replica(replica);
            }
            LaterStep::StartReplica(replica) => self.start_replica(replica),
            LaterStep::AddReplica => {
                self.last_machine += 1;
                let address = machine(0, self.last_machine);
                let replica = ReplicaMachine::new(address, &self.network, self.rng.random());
                self.replicas.push(replica);
                self.start_replica(address);
                self.lost_until.insert(address, now + RECOVERY);
            }
            LaterStep::Unblock(pairs) => {
                for (from, to) in pairs {
                    self.network.unblock(from, to);
                }
            }
            LaterStep::EndSlowness(replica) => self.replica(replica).set_slowness(0),
            LaterStep::EndLoss(replica) => self.network.set_loss(replica, 0.0),
            LaterStep::EndQueue(node) => self.network.set_queue_delay(node, Duration::ZERO),
            LaterStep::Report {
                node,
                until,
                period,
            } => {
                self.node(node).report(TargetState::Ready, true);
                if now < until {
                    self.later(
                        now + period,
                        LaterStep::Report {
                            node,
                            until,
                            period,
                        },
                    );
                }
            }
        }
    }

    fn start_replica(&mut self, replica: SocketAddr) {
        let (seeds, seed) = (self.listed_seeds(), self.rng.random());
        self.oracle.disturb_core(Instant::now());
        self.replica(replica).start(seeds, seed, false);
    }

    /// Returns the seeds in the settings of a process that starts now.
    fn listed_seeds(&mut self) -> Vec<SocketAddr> {
        let addresses = self.replica_addresses();
        addresses
            .choose_multiple(&mut self.rng, SEEDS)
            .copied()
            .collect()
    }

    fn replica(&mut self, address: SocketAddr) -> &mut ReplicaMachine {
        let found = self.replicas.iter_mut().find(|it| it.address == address);
        found.expect("the replica is in use")
    }

    fn node(&mut self, address: SocketAddr) -> &mut NodeMachine {
        let found = self.nodes.iter_mut().find(|it| it.address == address);
        found.expect("the node is in use")
    }

    fn replica_addresses(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|it| it.address).collect()
    }

    fn node_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|it| it.address).collect()
    }

    fn later(&mut self, at: Instant, step: LaterStep) {
        self.last_step += 1;
        self.steps.insert((at, self.last_step), step);
    }
}

/// Draws from a log-uniform distribution of seconds.
pub fn log_uniform(rng: &mut SmallRng, low_s: f64, high_s: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(low_s.ln()..high_s.ln()).exp())
}
