//! Crashes, wiped disks and partitions.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::oracle::{Check, memberships};
use super::{Micros, SimulatedDisk, SimulatedEvent, Simulation};

const MAX_PAUSE: Micros = 700_000;
const MAX_DOWNTIME: Micros = 1_200_000;

/// How often each kind of fault happens, drawn once per seed.
#[derive(Debug)]
pub struct FaultPlan {
    crash: f64,
    wipe: f64,
    partition: f64,
    pub is_ended: bool,
    pub last_committed_at_end: u64,
}

impl FaultPlan {
    pub fn draw(rng: &mut SmallRng) -> Self {
        Self {
            crash: rng.random_range(0.0..0.8),
            wipe: rng.random_range(0.0..0.8),
            partition: rng.random_range(0.0..0.8),
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
            let id = self.any_replica();
            self.crash(id);
        }
        if self.rng.random_bool(self.faults.wipe) {
            let id = self.any_replica();
            self.wipe_with_second_loss(id);
        }
    }

    fn any_replica(&mut self) -> u64 {
        self.rng.random_range(1..=self.replicas.len() as u64)
    }

    /// Silently blocks one direction between two replicas, or all traffic of one replica.
    fn start_partition(&mut self) {
        let id = self.any_replica();
        let is_one_way = self.rng.random_bool(0.5);
        let other = self.any_replica();
        if is_one_way {
            self.blocked.insert((id, other));
            return;
        }
        for peer in 1..=self.replicas.len() as u64 {
            self.blocked.insert((id, peer));
            self.blocked.insert((peer, id));
        }
    }

    fn crash(&mut self, id: u64) {
        let surviving_appends = self.rng.random_range(0..4);
        let downtime = self.rng.random_range(0..MAX_DOWNTIME);
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        if replica.core.take().is_some() {
            replica.disk.crash(surviving_appends);
            self.schedule(downtime, SimulatedEvent::Restart(id));
        }
    }

    /// Replaces a disk by an empty one, and often crashes another replica at the same moment.
    fn wipe_with_second_loss(&mut self, id: u64) {
        if !self.may_wipe(id) {
            return;
        }
        self.crash(id);
        let disk_id: [u8; 16] = self.rng.random();
        self.oracle.wiped_disks.insert(disk_id.to_vec());
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

    /// Returns whether a majority of disks would survive in every membership in effect anywhere.
    fn may_wipe(&self, id: u64) -> bool {
        let remaining: Vec<Vec<u8>> = self
            .replicas
            .iter()
            .filter(|(other, _)| **other != id)
            .map(|(_, replica)| disk_id(&replica.disk))
            .collect();
        self.replicas.values().all(|replica| {
            let all = memberships(&replica.disk);
            let is_wiped = self.oracle.wiped_disks.contains(&disk_id(&replica.disk));
            let Some(latest) = all.last() else {
                return is_wiped;
            };
            let surviving = latest
                .voters
                .iter()
                .filter(|voter| remaining.contains(&voter.disk_id.to_vec()))
                .count();
            surviving > latest.voters.len() / 2
        })
    }

    pub(super) fn restart(&mut self, id: u64) -> Check {
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

    /// Heals the network; replicas that are down come back by their own restarts.
    pub(super) fn end_faults(&mut self) {
        self.faults.is_ended = true;
        self.faults.last_committed_at_end = self.oracle.last_committed();
        self.blocked.clear();
    }
}

fn disk_id(disk: &SimulatedDisk) -> Vec<u8> {
    use ebonyjunction::storage::LogStore;
    disk.disk_id().to_vec()
}
