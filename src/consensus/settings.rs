//! Settings of one replica.

use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(300);
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(600);
const SNAPSHOT_ENTRIES: u64 = 4_096;
const MAX_APPEND_BYTES: usize = 1024 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Covers the round trip between regions several times over at the expected rate of appends.
const MAX_IN_FLIGHT_APPENDS: usize = 64;
const MAX_PENDING_PROPOSALS: usize = 16_384;
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer of another initial replica counts while the first configuration is created.
const FOUNDING_WINDOW: Duration = Duration::from_secs(2);
const MAX_VOTERS: usize = 5;
/// Fewer voters would not bear the loss of one.
const MIN_VOTERS: usize = 3;

/// Timing and bounds of one replica; all replicas of a mesh use the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; no vote is granted before.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before an election; a leader without a quorum for that long
    /// steps down.
    pub election_timeout_max: Duration,
    /// Applied entries after which a snapshot is asked for.
    pub snapshot_entries: u64,
    /// Bound on the entries of one append.
    pub max_append_bytes: usize,
    /// Length of one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Unanswered appends to one follower.
    pub max_in_flight_appends: usize,
    /// Uncommitted proposals; more are dropped.
    pub max_pending_proposals: usize,
    /// Time between two join requests of a replica that is no member.
    pub join_interval: Duration,
    /// How long an answer counts while the first configuration is created.
    pub founding_window: Duration,
    /// Largest number of voters; no further replica is added.
    pub max_voters: usize,
    /// Time without an answer after which a voter loses its vote; `None` keeps it.
    pub silent_voter_timeout: Option<Duration>,
    /// Voters that are never removed for silence.
    pub min_voters: usize,
    /// Whether replicas with empty folders may create the first configuration.
    pub bootstrap: bool,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            snapshot_entries: SNAPSHOT_ENTRIES,
            max_append_bytes: MAX_APPEND_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            max_in_flight_appends: MAX_IN_FLIGHT_APPENDS,
            max_pending_proposals: MAX_PENDING_PROPOSALS,
            join_interval: JOIN_INTERVAL,
            founding_window: FOUNDING_WINDOW,
            max_voters: MAX_VOTERS,
            silent_voter_timeout: None,
            min_voters: MIN_VOTERS,
            bootstrap: false,
        }
    }
}
