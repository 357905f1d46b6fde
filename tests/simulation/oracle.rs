//! Safety properties of the replicated log, checked under all simulated faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{Command, Membership};
use ebonyjunction::storage::LogStore;
use prost::Message;

use super::disk::SimulatedDisk;

/// Shortest election timeout minus the largest drift between two simulated clocks.
pub const FRESHNESS_LEASE: Duration = Duration::from_millis(270);

pub type CheckResult = Result<(), String>;

/// Applied state of a replica: index and term of the last entry, and a checksum of all commands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AppliedState {
    pub index: u64,
    pub term: u64,
    pub checksum: u64,
}

impl AppliedState {
    pub fn next(self, term: u64, command: &Command) -> Self {
        let crc = crc32fast::hash(&command.encode_to_vec());
        Self {
            index: self.index + 1,
            term,
            checksum: self.checksum.wrapping_mul(0x0100_0000_01b3) ^ u64::from(crc) ^ term,
        }
    }
}

#[derive(Debug, Default)]
pub struct Oracle {
    /// State after each committed entry, by log index; index 0 is the empty state.
    committed: Vec<AppliedState>,
    leaders: BTreeMap<u64, u64>,
    /// Latest term in which a leader committed an entry.
    pub committing_term: u64,
    acknowledged: BTreeSet<u64>,
    applied_tokens: BTreeSet<u64>,
    pub wiped_disks: BTreeSet<Vec<u8>>,
    promoted_disks: BTreeSet<Vec<u8>>,
}

impl Oracle {
    pub fn last_committed(&self) -> u64 {
        self.committed.len().saturating_sub(1) as u64
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Records a committed entry, and checks that it matches the entry that other replicas applied at its index and that
    /// no proposal is applied twice.
    pub fn record_commit(&mut self, state: AppliedState, command: &Command) -> CheckResult {
        if self.committed.is_empty() {
            self.committed.push(AppliedState::default());
        }
        if let Some(known) = self.committed.get(state.index as usize) {
            if *known != state {
                return Err(format!(
                    "committed entry {} differs between replicas",
                    state.index
                ));
            }
            return Ok(());
        }
        if state.index != self.last_committed() + 1 {
            return Err(format!(
                "entry {} was committed before its predecessor",
                state.index
            ));
        }
        self.committed.push(state);
        if let Some(Change::Expire(expire)) = &command.change
            && !self.applied_tokens.insert(expire.created_before_ms)
        {
            return Err(format!(
                "proposal {} was applied twice",
                expire.created_before_ms
            ));
        }
        Ok(())
    }

    pub fn record_acknowledged(&mut self, token: u64, command: &Command) -> CheckResult {
        self.acknowledged.insert(token);
        let expected = Some(Change::Expire(ebonyjunction::generated::ExpireCommand {
            created_before_ms: token,
        }));
        if command.change != expected {
            return Err(format!(
                "proposal {token} was acknowledged with a different command"
            ));
        }
        Ok(())
    }

    pub fn check_restore(&self, state: AppliedState) -> CheckResult {
        if self.committed.get(state.index as usize) == Some(&state) {
            return Ok(());
        }
        Err(format!(
            "snapshot at {} is not a committed state",
            state.index
        ))
    }

    /// Checks that a term has only one leader, and that its log contains all entries committed before.
    pub fn record_leader(
        &mut self,
        term: u64,
        replica_id: u64,
        disk: &SimulatedDisk,
    ) -> CheckResult {
        let leader = *self.leaders.entry(term).or_insert(replica_id);
        if leader != replica_id {
            return Err(format!(
                "replicas {leader} and {replica_id} are both leaders of term {term}"
            ));
        }
        let state = disk.state();
        for known in &self.committed {
            let is_later = term > self.committing_term || known.term <= term;
            let held = state.live.term_at(known.index);
            let is_covered = known.index < state.live.first_index();
            if is_later && !is_covered && held != Some(known.term) {
                return Err(format!(
                    "leader {replica_id} of term {term} lacks committed entry {}",
                    known.index
                ));
            }
        }
        Ok(())
    }

    /// Records the voters in the log of a candidate, and checks that the candidate itself may vote.
    pub fn record_candidate(&mut self, candidate: &SimulatedDisk) -> CheckResult {
        for membership in memberships(candidate) {
            let disks = membership
                .voters
                .into_iter()
                .map(|info| info.disk_id.to_vec());
            self.promoted_disks.extend(disks);
        }
        self.check_voter(candidate)
    }

    /// Checks that a replica that votes or requests votes was not wiped, or has a new disk that is listed as a voter in
    /// the log of some candidate.
    pub fn check_voter(&self, voter: &SimulatedDisk) -> CheckResult {
        let disk_id = voter.disk_id().to_vec();
        if self.wiped_disks.contains(&disk_id) && !self.promoted_disks.contains(&disk_id) {
            return Err(
                "a replica with a wiped disk voted before it was promoted to voter".to_owned(),
            );
        }
        Ok(())
    }

    pub fn check_acknowledged(&self) -> CheckResult {
        let lost = self.acknowledged.difference(&self.applied_tokens).next();
        lost.map_or(Ok(()), |token| {
            Err(format!("acknowledged proposal {token} was lost"))
        })
    }
}

/// Returns all memberships in the snapshot and log of a disk, oldest first.
pub fn memberships(disk: &SimulatedDisk) -> Vec<Membership> {
    let state = disk.state();
    let store = &state.live;
    let mut found = Vec::new();
    let mut next_index = 1;
    if let Some((meta, data)) = store.snapshot() {
        let snapshot = ebonyjunction::generated::ControlSnapshot::decode(data).unwrap();
        found.extend(snapshot.membership);
        next_index = meta.last_index + 1;
    }
    for index in next_index..=store.last_index() {
        let command = store.entry(index).and_then(|entry| entry.command);
        if let Some(Change::Membership(membership)) = command.and_then(|command| command.change) {
            found.push(membership);
        }
    }
    found
}
