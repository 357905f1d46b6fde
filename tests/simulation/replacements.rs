//! Leaders that are lost for good, each with a successor at a new address and with an empty disk.

use ebonyjunction::consensus::ReplicaRole;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::replica::SimulatedReplica;
use super::{Micros, RECOVERY_TIMEOUT, SimulatedEvent, Simulation};

const START_PERIOD: Micros = 4_000_000;
const MAX_CONTACTS: usize = 3;

/// Series of replacements.
#[derive(Debug, Clone, Copy)]
pub struct ReplacementPlan {
    pub size: u64,
    pub count: u64,
    /// Time from a loss to the start of the successor.
    pub successor_delay: Micros,
    /// Shortest time from the start of a successor to the next loss.
    pub min_recovery: Micros,
    /// Longest time from one loss to the next.
    pub max_gap: Micros,
}

impl Simulation {
    /// Replaces the leader several times. Fails if the cluster does not commit any more or if the voters at the end are
    /// not the running replicas.
    pub fn run_replacements(seed: u64, plan: ReplacementPlan) -> Result<(), String> {
        let mut simulation = Self::new(seed, plan.size);
        simulation.end_faults();
        for replica in simulation.replicas.values_mut() {
            replica.expect_replacements();
        }
        simulation
            .replace_leaders(plan)
            .map_err(|error| format!("seed {seed}, {plan:?}, {error}"))
    }

    fn replace_leaders(&mut self, plan: ReplacementPlan) -> Result<(), String> {
        self.run_until(START_PERIOD, |_| false)?;
        for successor in plan.size + 1..=plan.size + plan.count {
            self.replace_leader(successor, plan.successor_delay);
            let min_gap = plan.successor_delay + plan.min_recovery;
            let gap = self.rng.random_range(min_gap..=plan.max_gap);
            self.run_until(self.now + gap, |_| false)?;
        }
        self.end_faults();
        let bound = self.now + RECOVERY_TIMEOUT;
        if !self.run_until(bound, Self::is_recovered)? {
            return Err(format!("no recovery: {}", self.summary()));
        }
        self.oracle.check_acknowledged()
    }

    /// Removes the leader, or any replica if none leads, and starts a successor that knows some of the others.
    fn replace_leader(&mut self, successor: u64, delay: Micros) {
        let leaders = self.replicas.iter();
        let leader = leaders
            .filter(|(_, replica)| replica.role() == Some(ReplicaRole::Leader))
            .max_by_key(|(_, replica)| replica.term())
            .map(|(id, _)| *id);
        let lost = leader.or_else(|| self.replicas.keys().next().copied());
        if let Some(lost) = lost {
            self.replicas.remove(&lost);
        }
        let ids = self.replicas.keys().copied();
        let contacts = ids.choose_multiple(&mut self.rng, MAX_CONTACTS);
        let mut replica = SimulatedReplica::new_successor(successor, contacts, &mut self.rng);
        replica.expect_replacements();
        self.replicas.insert(successor, replica);
        self.schedule(delay, SimulatedEvent::Restart(successor));
    }
}
