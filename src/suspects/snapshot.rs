//! Lists of suspects, as a leader sends them to nodes and nodes hand them to the next leader.

use std::time::Duration;

use super::RequestDigest;

/// Leader term and revision of a list. Later lists are greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListPosition {
    /// Term of the leader.
    pub term: u64,
    /// Number of the leader's last change.
    pub revision: u64,
}

/// Suspect as it is told to nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRow {
    /// Identity of the request.
    pub digest: RequestDigest,
    /// Time for which it is still held back; `None` if it may be sent.
    pub hold: Option<Duration>,
    /// Number of ends that count against it.
    pub rounds: u32,
    /// Time for which it stays on the list.
    pub time_left: Duration,
}

/// Complete list of one leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectSnapshot {
    /// Term and revision of the list.
    pub position: ListPosition,
    /// Latest list of an earlier term that this one includes.
    pub base: ListPosition,
    /// Suspects.
    pub rows: Vec<SuspectRow>,
    /// Incarnations of targets whose ends the list includes.
    pub ends: Vec<u64>,
}
