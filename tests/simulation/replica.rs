//! Simulated replica with its disk, clock and applied state.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use ebonyjunction::consensus::{
    ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaRole, ReplicaSettings,
};
use ebonyjunction::generated::{Command, ControlSnapshot, Membership, ReplicaInfo};
use ebonyjunction::storage::{LogStore, SnapshotMeta};
use ebonyjunction::types::TickTime;
use prost::Message;
use rand::Rng;
use rand::rngs::SmallRng;

use super::oracle::{AppliedState, memberships};
use super::{Micros, SimulatedDisk};

/// Largest relative deviation of a clock rate from real time.
const MAX_CLOCK_DRIFT: f64 = 0.03;
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_VOTERS: usize = 15;

#[derive(Debug)]
pub struct SimulatedReplica {
    id: u64,
    /// Replicas in the settings file.
    contacts: Vec<u64>,
    settings: ReplicaSettings,
    pub disk: SimulatedDisk,
    pub core: Option<ReplicaCore>,
    pub applied: AppliedState,
    pub has_flush_pending: bool,
    pub is_ticking: bool,
    clock_rate: f64,
    started_at: Micros,
}

pub fn replica_info(id: u64) -> ReplicaInfo {
    ReplicaInfo {
        replica_id: id,
        address: format!("replica-{id}"),
        disk_id: Bytes::new(),
    }
}

impl SimulatedReplica {
    pub fn new(id: u64, size: u64, rng: &mut SmallRng) -> Self {
        let settings = ReplicaSettings {
            snapshot_entries: rng.random_range(5..60),
            // A limit of one byte makes a replica send one entry per append.
            max_append_bytes: if rng.random_bool(0.5) { 1 } else { 600 },
            snapshot_chunk_bytes: rng.random_range(16..200),
            max_in_flight_appends: rng.random_range(2..8),
            bootstrap: true,
            ..ReplicaSettings::default()
        };
        Self {
            id,
            contacts: (1..=size).collect(),
            settings,
            disk: SimulatedDisk::new(rng.random()),
            core: None,
            applied: AppliedState::default(),
            has_flush_pending: false,
            is_ticking: false,
            clock_rate: rng.random_range(1.0 - MAX_CLOCK_DRIFT..=1.0 + MAX_CLOCK_DRIFT),
            started_at: 0,
        }
    }

    /// Creates a replica with an empty disk that joins an existing cluster through `contacts`.
    pub fn new_successor(id: u64, contacts: Vec<u64>, rng: &mut SmallRng) -> Self {
        let mut replica = Self::new(id, 0, rng);
        replica.contacts = contacts;
        replica.settings.bootstrap = false;
        replica
    }

    /// Lets leaders remove lost voters, and uses transfer sizes with which a successor catches up within a second.
    pub fn expect_replacements(&mut self) {
        self.settings = ReplicaSettings {
            snapshot_entries: self.settings.snapshot_entries,
            bootstrap: self.settings.bootstrap,
            silent_voter_timeout: Some(SILENT_VOTER_TIMEOUT),
            max_voters: MAX_VOTERS,
            ..ReplicaSettings::default()
        };
    }

    pub fn start(&mut self, now: Micros, seed: u64) -> Result<(), String> {
        self.started_at = now;
        let membership = Membership {
            voters: self.contacts.iter().copied().map(replica_info).collect(),
            learners: Vec::new(),
        };
        let core = ReplicaCore::new(
            self.settings.clone(),
            replica_info(self.id),
            Box::new(self.disk.clone()),
            membership,
            self.time(now),
            seed,
        );
        self.core = Some(core.map_err(|error| error.to_string())?);
        self.applied = AppliedState::default();
        self.has_flush_pending = false;
        Ok(())
    }

    fn time(&self, now: Micros) -> TickTime {
        let elapsed = (now - self.started_at) as f64 * self.clock_rate;
        TickTime::from_start(Duration::from_micros(elapsed as u64))
    }

    pub fn step(
        &mut self,
        now: Micros,
        event: ReplicaEvent,
    ) -> Result<Option<Vec<ReplicaAction>>, String> {
        let time = self.time(now);
        let step = self.core.as_mut().map(|core| core.step(time, event));
        step.transpose().map_err(|error| error.to_string())
    }

    pub fn flush(&mut self, now: Micros) -> Result<Vec<ReplicaAction>, String> {
        let time = self.time(now);
        self.has_flush_pending = false;
        let Some(core) = &mut self.core else {
            return Ok(Vec::new());
        };
        core.flush(time).map_err(|error| error.to_string())
    }

    pub fn role(&self) -> Option<ReplicaRole> {
        self.core.as_ref().map(ReplicaCore::role)
    }

    pub fn term(&self) -> u64 {
        self.core.as_ref().map_or(0, ReplicaCore::term)
    }

    /// Returns the term and the time since a quorum last confirmed this replica as leader.
    pub fn lease(&self, now: Micros) -> Option<(u64, Duration)> {
        let core = self.core.as_ref()?;
        Some((core.term(), core.quorum_age(self.time(now))?))
    }

    pub fn apply(
        &mut self,
        index: u64,
        term: u64,
        command: &Command,
    ) -> Result<AppliedState, String> {
        if index != self.applied.index + 1 {
            return Err(format!(
                "replica {} applied entry {index} directly after entry {}",
                self.id, self.applied.index
            ));
        }
        self.applied = self.applied.next(term, command);
        Ok(self.applied)
    }

    /// Returns the event that hands a snapshot of the applied state to the core. The checksum stands for the state; the
    /// core adds membership and position.
    pub fn snapshot(&self) -> ReplicaEvent {
        let snapshot = ControlSnapshot {
            created_before_ms: self.applied.checksum,
            ..ControlSnapshot::default()
        };
        ReplicaEvent::SnapshotReady {
            meta: SnapshotMeta {
                last_index: self.applied.index,
                last_term: self.applied.term,
            },
            data: snapshot.encode_to_vec().into(),
        }
    }

    pub fn restore(&mut self, meta: SnapshotMeta, data: Bytes) -> AppliedState {
        let snapshot = ControlSnapshot::decode(data).unwrap();
        self.applied = AppliedState {
            index: meta.last_index,
            term: meta.last_term,
            checksum: snapshot.created_before_ms,
        };
        self.applied
    }

    /// Returns whether the voters in this replica's membership are exactly the current disks of all replicas.
    pub fn lists_all_disks_as_voters(&self, replicas: &BTreeMap<u64, SimulatedReplica>) -> bool {
        let Some(core) = &self.core else {
            return false;
        };
        let voters = &core.membership().voters;
        let is_listed = |replica: &SimulatedReplica| {
            let disk_id = replica.disk.disk_id();
            voters.iter().any(|info| info.disk_id == disk_id[..])
        };
        voters.len() == replicas.len() && replicas.values().all(is_listed)
    }

    /// Checks that the membership in effect is the last one in the log.
    pub fn check_membership(&self) -> Result<(), String> {
        let (Some(core), Some(last)) = (&self.core, memberships(&self.disk).pop()) else {
            return Ok(());
        };
        if *core.membership() == last {
            return Ok(());
        }
        Err(format!(
            "replica {} does not use the latest membership in its log",
            self.id
        ))
    }

    pub fn summary(&self) -> String {
        let voters = self
            .core
            .as_ref()
            .map_or(0, |core| core.membership().voters.len());
        format!(
            "{}: {:?} term {} applied {} voters {voters}",
            self.id,
            self.role(),
            self.term(),
            self.applied.index
        )
    }
}
