//! Deterministic single-threaded simulation of replicas with a simulated network, disks and clocks.

mod disk;
mod faults;
mod oracle;
mod replacements;
mod replica;

use std::collections::{BTreeMap, BTreeSet};

use ebonyjunction::consensus::{PeerMessage, ReplicaAction, ReplicaEvent, ReplicaRole};
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{Command, ExpireCommand};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use disk::SimulatedDisk;
use faults::FaultPlan;
use oracle::{CheckResult, FRESHNESS_LEASE, Oracle};
pub use replacements::ReplacementPlan;
use replica::SimulatedReplica;

/// Microseconds of simulated time.
type Micros = u64;

const FAULT_PERIOD: Micros = 6_000_000;
const RECOVERY_TIMEOUT: Micros = 25_000_000;
const TICK_INTERVAL: Micros = 15_000;
const STRAGGLER_DELAY: Micros = 900_000;

#[derive(Debug)]
enum SimulatedEvent {
    Tick(u64),
    Flush(u64),
    Deliver {
        from: u64,
        to: u64,
        message: PeerMessage,
    },
    Propose,
    Fault,
    Crash(u64),
    Restart(u64),
}

/// Fault probabilities and delays of the network, drawn once per seed.
#[derive(Debug)]
struct NetworkPlan {
    loss: f64,
    duplication: f64,
    max_delay: Micros,
    /// Fraction of messages that are delayed by up to `STRAGGLER_DELAY`.
    stragglers: f64,
    max_flush_delay: Micros,
}

#[derive(Debug)]
pub struct Simulation {
    rng: SmallRng,
    now: Micros,
    next_event: u64,
    events: BTreeMap<(Micros, u64), SimulatedEvent>,
    replicas: BTreeMap<u64, SimulatedReplica>,
    blocked: BTreeSet<(u64, u64)>,
    network: NetworkPlan,
    faults: FaultPlan,
    oracle: Oracle,
    next_token: u64,
    /// Upper bound of the pause between proposals. Some schedules are nearly idle, because an isolated replica can
    /// still win votes while no new entries are appended.
    max_proposal_pause: Micros,
    is_tracing: bool,
}

/// Draws from a log-uniform distribution, because races depend on fast as well as slow exchanges.
fn log_uniform(rng: &mut SmallRng, low: f64, high: f64) -> Micros {
    rng.random_range(low.ln()..high.ln()).exp() as Micros
}

impl Simulation {
    /// Runs one schedule: a period with faults, then a fault-free period until all replicas have recovered.
    /// Returns the number of acknowledged proposals.
    pub fn run(seed: u64, size: u64) -> Result<usize, String> {
        let mut simulation = Self::new(seed, size);
        simulation
            .run_schedule()
            .map_err(|error| format!("seed {seed}, {size} replicas, {error}"))?;
        Ok(simulation.oracle.acknowledged())
    }

    fn new(seed: u64, size: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let network = NetworkPlan {
            loss: rng.random_range(0.0..0.15),
            duplication: rng.random_range(0.0..0.1),
            max_delay: log_uniform(&mut rng, 500.0, 60_000.0),
            stragglers: if rng.random_bool(0.3) {
                rng.random_range(0.0..0.3)
            } else {
                rng.random_range(0.0..0.03)
            },
            max_flush_delay: log_uniform(&mut rng, 500.0, 50_000.0),
        };
        let max_proposal_pause = log_uniform(&mut rng, 10_000.0, 3_000_000.0);
        let mut simulation = Self {
            network,
            faults: FaultPlan::draw(&mut rng),
            replicas: BTreeMap::new(),
            rng,
            now: 0,
            next_event: 0,
            events: BTreeMap::new(),
            blocked: BTreeSet::new(),
            oracle: Oracle::default(),
            next_token: 1,
            max_proposal_pause,
            is_tracing: std::env::var_os("SIMULATION_TRACE").is_some(),
        };
        for id in 1..=size {
            let replica = SimulatedReplica::new(id, size, &mut simulation.rng);
            simulation.replicas.insert(id, replica);
            simulation.schedule(0, SimulatedEvent::Restart(id));
        }
        simulation.schedule(0, SimulatedEvent::Propose);
        simulation.schedule(1_500_000, SimulatedEvent::Fault);
        simulation
    }

    fn run_schedule(&mut self) -> CheckResult {
        self.run_until(FAULT_PERIOD, |_| false)?;
        self.end_faults();
        let bound = self.now + RECOVERY_TIMEOUT;
        if !self.run_until(bound, Self::is_recovered)? {
            return Err(format!(
                "cluster did not recover after the faults ended: {}",
                self.summary()
            ));
        }
        self.oracle.check_acknowledged()
    }

    /// Handles events until `is_done` holds or `bound` is passed, and returns whether `is_done` holds.
    fn run_until(&mut self, bound: Micros, is_done: fn(&Self) -> bool) -> Result<bool, String> {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > bound || is_done(self) {
                self.schedule(at.saturating_sub(self.now), event);
                return Ok(is_done(self));
            }
            self.now = at;
            if self.is_tracing {
                println!("{at} {event:?}");
            }
            self.handle(event)
                .map_err(|error| format!("at {at} us: {error}"))?;
            self.check_leases()
                .map_err(|error| format!("at {at} us: {error}"))?;
        }
        Ok(false)
    }

    fn schedule(&mut self, after: Micros, event: SimulatedEvent) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    fn handle(&mut self, event: SimulatedEvent) -> CheckResult {
        match event {
            SimulatedEvent::Tick(id) => {
                self.schedule(TICK_INTERVAL, SimulatedEvent::Tick(id));
                self.step(id, ReplicaEvent::Tick)
            }
            SimulatedEvent::Flush(id) => self.flush(id),
            SimulatedEvent::Deliver { from, to, message } => {
                self.step(to, ReplicaEvent::Message { from, message })
            }
            SimulatedEvent::Propose => self.propose(),
            SimulatedEvent::Fault => {
                self.inject_fault();
                Ok(())
            }
            SimulatedEvent::Crash(id) => {
                self.crash(id);
                Ok(())
            }
            SimulatedEvent::Restart(id) => self.restart(id),
        }
    }

    fn propose(&mut self) -> CheckResult {
        // Replicas with the smallest append sizes and in-flight windows cannot sustain the load of the fault period, so
        // the load is reduced while recovery is measured.
        let pauses = if self.faults.is_ended {
            200_000..400_000
        } else {
            1_000..self.max_proposal_pause
        };
        let pause = self.rng.random_range(pauses);
        self.schedule(pause, SimulatedEvent::Propose);
        let leaders: Vec<u64> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.role() == Some(ReplicaRole::Leader))
            .map(|(id, _)| *id)
            .collect();
        for id in leaders {
            let token = self.next_token;
            self.next_token += 1;
            let change = Change::Expire(ExpireCommand {
                created_before_ms: token,
            });
            let command = Command {
                change: Some(change),
            };
            self.step(id, ReplicaEvent::Propose { token, command })?;
        }
        Ok(())
    }

    fn step(&mut self, id: u64, event: ReplicaEvent) -> CheckResult {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return Ok(());
        };
        let Some(actions) = replica.step(now, event)? else {
            return Ok(());
        };
        if !replica.has_flush_pending {
            replica.has_flush_pending = true;
            let delay = self.rng.random_range(0..self.network.max_flush_delay);
            self.schedule(delay, SimulatedEvent::Flush(id));
        }
        self.execute_actions(id, actions)
    }

    fn flush(&mut self, id: u64) -> CheckResult {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return Ok(());
        };
        let actions = replica.flush(now)?;
        self.execute_actions(id, actions)
    }

    fn execute_actions(&mut self, id: u64, actions: Vec<ReplicaAction>) -> CheckResult {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => {
                    self.check_vote(id, &message)?;
                    self.send(id, to.replica_id, &message);
                }
                ReplicaAction::Commit {
                    index,
                    term,
                    command,
                    token,
                } => {
                    self.apply(id, index, term, &command, token)?;
                }
                ReplicaAction::Restore { meta, data } => {
                    let Some(replica) = self.replicas.get_mut(&id) else {
                        continue;
                    };
                    self.oracle.check_restore(replica.restore(meta, data))?;
                }
                ReplicaAction::CreateSnapshot { .. } => {
                    let Some(event) = self.replicas.get(&id).map(SimulatedReplica::snapshot) else {
                        continue;
                    };
                    self.step(id, event)?;
                }
                ReplicaAction::RoleChanged { role, term } => {
                    self.replicas[&id].check_membership()?;
                    if role == ReplicaRole::Leader {
                        let disk = &self.replicas[&id].disk;
                        self.oracle.record_leader(term, id, disk)?;
                        self.schedule_leader_fault(id);
                    }
                }
                ReplicaAction::RejectProposal { .. } => {}
            }
        }
        Ok(())
    }

    fn check_vote(&mut self, id: u64, message: &PeerMessage) -> CheckResult {
        let disk = &self.replicas[&id].disk;
        match message {
            PeerMessage::Vote(_) => self.oracle.record_candidate(disk),
            PeerMessage::VoteReply(reply, _) if reply.granted => self.oracle.check_voter(disk),
            _ => Ok(()),
        }
    }

    fn apply(
        &mut self,
        id: u64,
        index: u64,
        term: u64,
        command: &Command,
        token: Option<u64>,
    ) -> CheckResult {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return Ok(());
        };
        let state = replica.apply(index, term, command)?;
        let is_new = index > self.oracle.last_committed();
        self.oracle.record_commit(state, command)?;
        if is_new {
            let leader_term = replica.term();
            self.oracle.committing_term = self.oracle.committing_term.max(leader_term);
        }
        token.map_or(Ok(()), |token| {
            self.oracle.record_acknowledged(token, command)
        })
    }

    fn send(&mut self, from: u64, to: u64, message: &PeerMessage) {
        // A partition does not affect messages that are already in flight.
        if self.blocked.contains(&(from, to)) {
            return;
        }
        let is_duplicated = self.rng.random_bool(self.network.duplication);
        for _ in 0..=usize::from(is_duplicated) {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.message_delay();
            let message = message.clone();
            self.schedule(delay, SimulatedEvent::Deliver { from, to, message });
        }
    }

    fn message_delay(&mut self) -> Micros {
        if self.rng.random_bool(self.network.stragglers) {
            return self.rng.random_range(0..STRAGGLER_DELAY);
        }
        self.rng.random_range(100..=self.network.max_delay)
    }

    /// Checks that no leader holds a valid lease after a leader of a later term has committed entries.
    fn check_leases(&self) -> CheckResult {
        for (id, replica) in &self.replicas {
            let Some((term, age)) = replica.lease(self.now) else {
                continue;
            };
            if age < FRESHNESS_LEASE && term < self.oracle.committing_term {
                return Err(format!(
                    "leader {id} of term {term} was confirmed {age:?} ago, but a leader of term {} \
                     has committed entries",
                    self.oracle.committing_term
                ));
            }
        }
        Ok(())
    }

    /// Returns whether entries were committed after the faults ended, all replicas are voters again, and each has applied
    /// all but the last few committed entries.
    fn is_recovered(&self) -> bool {
        let last = self.oracle.last_committed();
        let is_current = |replica: &SimulatedReplica| {
            replica.lists_all_disks_as_voters(&self.replicas) && replica.applied.index + 5 >= last
        };
        last > self.faults.last_committed_at_end + 10 && self.replicas.values().all(is_current)
    }

    fn summary(&self) -> String {
        let states: Vec<String> = self
            .replicas
            .values()
            .map(SimulatedReplica::summary)
            .collect();
        format!(
            "committed {}, {}",
            self.oracle.last_committed(),
            states.join("; ")
        )
    }
}
