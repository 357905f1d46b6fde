//! Fault injection: crashes, power loss, wiped disks and network partitions.

use ebonyjunction::consensus::ReplicaRole;
use ebonyjunction::storage::LogStore;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::oracle::{CheckResult, memberships};
use super::{Micros, SimulatedDisk, SimulatedEvent, Simulation};

const MAX_PAUSE: Micros = 400_000;
const MAX_DOWNTIME: Micros = 1_200_000;
const SHORT_DOWNTIME: Micros = 50_000;
const MAX_LEADER_LIFETIME: Micros = 250_000;

/// Probability of each kind of fault, drawn once per seed, and the state of fault injection.
#[derive(Debug)]
pub struct FaultPlan {
    crash: f64,
    leader_loss: f64,
    power_loss: f64,
    wipe: f64,
    partition: f64,
    has_wipe_before_bootstrap: bool,
    pub is_ended: bool,
    pub last_committed_at_end: u64,
}

impl FaultPlan {
    pub fn draw(rng: &mut SmallRng) -> Self {
        Self {
            crash: rng.random_range(0.0..0.5),
            leader_loss: rng.random_range(0.0..0.7),
            power_loss: rng.random_range(0.0..0.15),
            wipe: rng.random_range(0.0..0.6),
            partition: rng.random_range(0.0..0.8),
            has_wipe_before_bootstrap: false,
            is_ended: false,
            last_committed_at_end: 0,
        }
    }
}

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        if self.faults.is_ended {
            return;
        }
        let pause = self.rng.random_range(10_000..MAX_PAUSE);
        self.schedule(pause, SimulatedEvent::Fault);
        if self.rng.random_bool(0.4) {
            self.blocked.clear();
        }
        if self.rng.random_bool(self.faults.partition) {
            self.start_partition();
        }
        if self.rng.random_bool(self.faults.crash) {
            let id = self.choose_faulty_replica();
            self.crash(id);
        }
        if self.rng.random_bool(self.faults.power_loss) {
            self.lose_power();
        }
        if self.rng.random_bool(self.faults.wipe) {
            let id = self.choose_faulty_replica();
            self.wipe_disk_and_crash_another(id);
        }
    }

    fn choose_random_replica(&mut self) -> u64 {
        self.rng.random_range(1..=self.replicas.len() as u64)
    }

    /// Chooses a leader in half of the cases, because faults of a leader matter most for consensus.
    fn choose_faulty_replica(&mut self) -> u64 {
        let leader = self
            .replicas
            .iter()
            .find(|(_, replica)| replica.role() == Some(ReplicaRole::Leader))
            .map(|(id, _)| *id);
        let is_leader_chosen = self.rng.random_bool(0.5);
        let other = self.choose_random_replica();
        leader.filter(|_| is_leader_chosen).unwrap_or(other)
    }

    /// Drops messages in one or both directions, either between two replicas or between one replica and all others.
    fn start_partition(&mut self) {
        let id = self.choose_faulty_replica();
        let other = self.choose_random_replica();
        let is_pair = self.rng.random_bool(0.5);
        let blocks_sending = self.rng.random_bool(0.7);
        let blocks_receiving = self.rng.random_bool(0.7);
        for peer in 1..=self.replicas.len() as u64 {
            if is_pair && peer != other {
                continue;
            }
            if blocks_sending {
                self.blocked.insert((id, peer));
            }
            if blocks_receiving {
                self.blocked.insert((peer, id));
            }
        }
    }

    /// Often crashes or isolates a new leader while only some replicas have its first entries.
    pub(super) fn schedule_leader_fault(&mut self, id: u64) {
        if self.faults.is_ended || !self.rng.random_bool(self.faults.leader_loss) {
            return;
        }
        if self.rng.random_bool(0.3) {
            let peers = 1..=self.replicas.len() as u64;
            self.blocked.extend(peers.map(|peer| (id, peer)));
            return;
        }
        let delay = self.rng.random_range(0..MAX_LEADER_LIFETIME);
        self.schedule(delay, SimulatedEvent::Crash(id));
    }

    /// Crashes all replicas at the same time, so that only entries on disk remain.
    fn lose_power(&mut self) {
        for id in 1..=self.replicas.len() as u64 {
            self.crash(id);
        }
    }

    pub(super) fn crash(&mut self, id: u64) {
        let surviving_appends = self.rng.random_range(0..3);
        let is_short = self.rng.random_bool(0.3);
        let longest = if is_short {
            SHORT_DOWNTIME
        } else {
            MAX_DOWNTIME
        };
        let downtime = self.rng.random_range(0..longest);
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        if replica.core.take().is_some() {
            replica.disk.crash(surviving_appends);
            self.schedule(downtime, SimulatedEvent::Restart(id));
        }
    }

    /// Replaces a disk by an empty one with a new id, and often crashes another replica at the same time.
    fn wipe_disk_and_crash_another(&mut self, id: u64) {
        if !self.keeps_quorum_after_wipe(id) {
            return;
        }
        self.crash(id);
        let disk_id: [u8; 16] = self.rng.random();
        if self.count_replicas_with_membership() > 0 {
            self.oracle.wiped_disks.insert(disk_id.to_vec());
        } else {
            // The first configuration may list this disk as a voter.
            self.faults.has_wipe_before_bootstrap = true;
        }
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.disk = SimulatedDisk::new(disk_id);
        }
        if self.rng.random_bool(0.7) {
            let others = self.replicas.keys().copied().filter(|other| *other != id);
            if let Some(other) = others.choose(&mut self.rng) {
                self.crash(other);
            }
        }
    }

    /// Returns the number of replicas whose log holds a membership.
    fn count_replicas_with_membership(&self) -> usize {
        let replicas = self.replicas.values();
        replicas
            .filter(|replica| !memberships(&replica.disk).is_empty())
            .count()
    }

    /// Returns whether the latest membership on every disk keeps a majority of its voters when the disk of `id` is wiped.
    fn keeps_quorum_after_wipe(&self, id: u64) -> bool {
        let remaining: Vec<Vec<u8>> = self
            .replicas
            .iter()
            .filter(|(other, _)| **other != id)
            .map(|(_, replica)| disk_id(&replica.disk))
            .collect();
        // Replica 1 bootstraps the cluster, so its disk must not be wiped before more than a majority stores the first
        // membership. Before any replica stores it, only one of the initial disks (a minority) may be
        // replaced.
        let holders = self.count_replicas_with_membership();
        if id == 1 && holders <= self.replicas.len() / 2 + 1 {
            return false;
        }
        if holders == 0 && self.faults.has_wipe_before_bootstrap {
            return false;
        }
        self.replicas.values().all(|replica| {
            let all = memberships(&replica.disk);
            let Some(latest) = all.last() else {
                return true;
            };
            let surviving = latest
                .voters
                .iter()
                .filter(|voter| remaining.contains(&voter.disk_id.to_vec()))
                .count();
            surviving > latest.voters.len() / 2
        })
    }

    pub(super) fn restart(&mut self, id: u64) -> CheckResult {
        let seed = self.rng.random();
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return Ok(());
        };
        if replica.core.is_some() {
            return Ok(());
        }
        replica.start(now, seed)?;
        if !replica.is_ticking {
            replica.is_ticking = true;
            self.schedule(0, SimulatedEvent::Tick(id));
        }
        Ok(())
    }

    /// Stops fault injection and message loss. The network still delays and reorders messages, and replicas that are
    /// down start again through their scheduled restarts.
    pub(super) fn end_faults(&mut self) {
        self.faults.is_ended = true;
        self.faults.last_committed_at_end = self.oracle.last_committed();
        self.blocked.clear();
        self.network.loss = 0.0;
        self.network.duplication = 0.0;
        self.network.stragglers = 0.0;
    }
}

fn disk_id(disk: &SimulatedDisk) -> Vec<u8> {
    disk.disk_id().to_vec()
}
