//! Settings of one replica.

use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(300);
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(600);
const SNAPSHOT_ENTRIES: u64 = 4_096;
const SNAPSHOT_LOG_BYTES: usize = 4 * 1024 * 1024;
const MAX_APPEND_BYTES: usize = 1024 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Default of `max_in_flight_appends`. It covers several round trips between regions at the expected rate of appends.
const MAX_IN_FLIGHT_APPENDS: usize = 64;
const MAX_PENDING_PROPOSALS: usize = 16_384;
const MAX_COMMIT_BYTES: usize = 1024 * 1024;
const MAX_PENDING_BYTES: usize = 8 * 1024 * 1024;
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
const BOOTSTRAP_WINDOW: Duration = Duration::from_secs(2);
const MAX_VOTERS: usize = 5;
/// Minimum number of voters. With fewer than three, the loss of one would leave no quorum.
const MIN_VOTERS: usize = 3;

/// Timeouts, intervals and limits of one replica; all replicas of a mesh use the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; no vote is granted earlier.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before an election; a leader without a quorum for that long
    /// steps down.
    pub election_timeout_max: Duration,
    /// Number of applied entries after which a snapshot is requested.
    pub snapshot_entries: u64,
    /// Encoded size of applied entries after which a snapshot is requested, even if they are fewer.
    pub snapshot_log_bytes: usize,
    /// Maximum encoded size of the entries of one append; one entry is sent even if it is larger.
    pub max_append_bytes: usize,
    /// Maximum length of one snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum number of unanswered appends to one replica; the window grows beyond it for a replica that
    /// answers and is far behind.
    pub max_in_flight_appends: usize,
    /// Maximum number of uncommitted proposals; further ones are dropped.
    pub max_pending_proposals: usize,
    /// Maximum encoded size of the committed entries that one call returns; one entry is returned even if it is larger.
    pub max_commit_bytes: usize,
    /// Maximum encoded size of uncommitted proposals; one proposal is accepted even if it is larger.
    pub max_pending_bytes: usize,
    /// Time between two join requests of a replica that is not yet an established member.
    pub join_interval: Duration,
    /// Maximum age of another initial replica's join request and reply when the first configuration is created.
    pub bootstrap_window: Duration,
    /// Maximum number of voters; further replicas are refused.
    pub max_voters: usize,
    /// Time without an answer after which a voter is removed; `None` disables the removal.
    pub silent_voter_timeout: Option<Duration>,
    /// Minimum number of voters; unresponsive voters are removed only while there are more.
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
            snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
            max_append_bytes: MAX_APPEND_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            max_in_flight_appends: MAX_IN_FLIGHT_APPENDS,
            max_pending_proposals: MAX_PENDING_PROPOSALS,
            max_commit_bytes: MAX_COMMIT_BYTES,
            max_pending_bytes: MAX_PENDING_BYTES,
            join_interval: JOIN_INTERVAL,
            bootstrap_window: BOOTSTRAP_WINDOW,
            max_voters: MAX_VOTERS,
            silent_voter_timeout: None,
            min_voters: MIN_VOTERS,
            bootstrap: false,
        }
    }
}
