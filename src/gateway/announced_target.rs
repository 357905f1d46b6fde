//! What the own target says about itself, ordered by incarnation and sequence instead of arrival.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::routing::TargetState;
use crate::types::{ServiceName, TickTime};

/// Incarnations that are remembered as gone. A target restarts a few times a day, and a late report arrives within
/// seconds.
const MAX_GONE: usize = 64;

/// One report of the target beside the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity of the target; it may be used again by a later incarnation.
    pub id: String,
    /// Start of the incarnation in milliseconds since the Unix epoch; 0 if it is not reported.
    pub born_ms: u64,
    /// Number of the report within its incarnation.
    pub sequence: u64,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target accepts work or is leaving.
    pub state: TargetState,
}

/// What a report led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportVerdict {
    /// A new incarnation is in use.
    NewIncarnation,
    /// The report of the incarnation in use was taken over.
    Updated,
    /// The report is older than what is known.
    Outdated,
}

/// The target in use and those that are gone.
#[derive(Debug, Default)]
pub struct AnnouncedTarget {
    current: Option<TargetReport>,
    heard_at: TickTime,
    is_lost: bool,
    /// Time that must lie between the first two reports after the start of the process; absent if one is enough.
    confirm_after: Option<Duration>,
    has_heard: bool,
    /// Time of the first report, while the target is not known to be in service.
    unconfirmed_since: Option<TickTime>,
    gone: VecDeque<(String, u64)>,
}

impl AnnouncedTarget {
    /// Creates a table for a process that has run before. What its targets said then is forgotten, and a report that was
    /// sent before a target left may still arrive. The first report therefore counts only once the target has confirmed
    /// it, or after a second one that is later by `confirm_after`: delayed reports arrive together.
    pub fn after_restart(confirm_after: Duration) -> Self {
        Self {
            confirm_after: Some(confirm_after),
            ..Self::default()
        }
    }

    /// Takes a report over unless it is older than what is known.
    pub fn report(&mut self, now: TickTime, report: TargetReport) -> ReportVerdict {
        if self.is_gone(&report) {
            return ReportVerdict::Outdated;
        }
        let Some(current) = &self.current else {
            return self.adopt(now, report);
        };
        let is_same = current.id == report.id && current.born_ms == report.born_ms;
        if !is_same {
            return if report.born_ms >= current.born_ms {
                self.adopt(now, report)
            } else {
                ReportVerdict::Outdated
            };
        }
        if report.sequence <= current.sequence {
            return ReportVerdict::Outdated;
        }
        // A leaving target does not come back under the same incarnation.
        let state = if current.state == TargetState::Leaving {
            TargetState::Leaving
        } else {
            report.state
        };
        self.current = Some(TargetReport { state, ..report });
        self.heard_at = now;
        self.is_lost = false;
        let confirm_after = self.confirm_after.unwrap_or_default();
        self.unconfirmed_since
            .take_if(|since| now - *since >= confirm_after);
        ReportVerdict::Updated
    }

    /// Removes a target that has left; returns whether it was in use.
    ///
    /// A node that has just started does not know the incarnation that leaves. All that began before `unix_ms` are then
    /// gone, so that a report that was sent earlier and arrives later does not bring the target back.
    pub fn remove(&mut self, id: &str, unix_ms: u64) -> bool {
        let removed = self.current.take_if(|current| current.id == id);
        if removed.is_some() {
            self.unconfirmed_since = None;
        }
        let is_removed = removed.is_some();
        let born_ms = removed.map_or(unix_ms, |report| report.born_ms);
        self.note_gone(id.to_owned(), born_ms);
        is_removed
    }

    /// Returns whether the target must confirm its first report.
    pub fn awaits_confirmation(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Takes over that an incarnation has confirmed that it accepts work.
    pub fn confirm(&mut self, id: &str, born_ms: u64) {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.id == id && current.born_ms == born_ms) {
            self.unconfirmed_since = None;
        }
    }

    /// Marks the target as unreachable until its next report.
    pub fn mark_lost(&mut self) {
        self.is_lost = true;
    }

    /// Returns the target in use.
    pub fn current(&self) -> Option<&TargetReport> {
        self.current.as_ref()
    }

    /// Returns the target if it may be handed new work: it is ready, reachable and was heard since `oldest`.
    pub fn ready(&self, oldest: TickTime) -> Option<&TargetReport> {
        let current = self.current.as_ref()?;
        let is_known = !self.is_lost && !self.awaits_confirmation();
        let is_ready = current.state == TargetState::Ready && is_known;
        (is_ready && self.heard_at >= oldest).then_some(current)
    }

    fn adopt(&mut self, now: TickTime, report: TargetReport) -> ReportVerdict {
        if let Some(replaced) = self.current.take() {
            self.note_gone(replaced.id, replaced.born_ms);
        } else if self.confirm_after.is_some() && !self.has_heard {
            self.unconfirmed_since = Some(now);
        }
        self.has_heard = true;
        self.current = Some(report);
        self.heard_at = now;
        self.is_lost = false;
        ReportVerdict::NewIncarnation
    }

    fn note_gone(&mut self, id: String, born_ms: u64) {
        self.gone.push_back((id, born_ms));
        if self.gone.len() > MAX_GONE {
            self.gone.pop_front();
        }
    }

    fn is_gone(&self, report: &TargetReport) -> bool {
        let mut gone = self.gone.iter();
        gone.any(|(id, born_ms)| *id == report.id && report.born_ms <= *born_ms)
    }
}
