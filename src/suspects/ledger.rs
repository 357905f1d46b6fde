//! The leader's record of the requests that were at work when targets ended.

use std::time::Duration;

use crate::types::TickTime;

use super::RequestDigest;
use super::snapshot::{ListPosition, SuspectRow, SuspectSnapshot};
use super::state::{HOLD_TIME, SuspectState};

/// Maximum memory for the reports of a term, beyond which a later list of an earlier term is not taken any more.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Added to all times, since ends may be older than this process.
const TIME_OFFSET: Duration = Duration::from_hours(1);

/// Request that was at work at a target when the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRequest {
    /// Identity of the request.
    pub digest: RequestDigest,
    /// Time from the hand-over of the request to the end of the target.
    pub run_time: Duration,
}

/// End of one incarnation of a target that did not announce to leave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// Identifies the incarnation.
    pub incarnation: u64,
    /// Time since the end.
    pub age: Duration,
    /// Requests that were at work there.
    pub requests: Vec<EndedRequest>,
}

#[derive(Debug)]
enum ReportedEvent {
    Ended(TickTime, TargetEnd),
    Answered(RequestDigest),
}

impl ReportedEvent {
    fn bytes(&self) -> usize {
        let requests = match self {
            Self::Ended(_, end) => size_of_val(end.requests.as_slice()),
            Self::Answered(_) => 0,
        };
        size_of::<Self>() + requests
    }

    fn apply(&self, state: &mut SuspectState) -> bool {
        match self {
            Self::Ended(at, end) => state.record(*at, end),
            Self::Answered(digest) => state.clear(*digest),
        }
    }
}

/// Requests under which targets have ended.
///
/// All requests at work at a target that ends become suspects. Those that do not end the next one are cleared by their
/// answer. When a target ends under requests of which some are suspects already, these explain its end and the others are
/// not counted. Only a run that began after the request was listed counts as another round: until then nobody could report
/// that it was answered. A request is held back once it alone explains an end in its second round or a later one.
///
/// A new leader continues with the latest list of the leader before, which the nodes hand over. Reports of its own term are
/// kept so that they can be applied to a later list that another node hands over.
#[derive(Debug, Default)]
pub struct SuspectLedger {
    term: u64,
    revision: u64,
    /// Position of the list that the reports are applied to.
    base: ListPosition,
    state: SuspectState,
    /// Reports of this term; `None` once earlier lists are no longer taken.
    reports: Option<Vec<ReportedEvent>>,
    report_bytes: usize,
    closes_at: TickTime,
}

impl SuspectLedger {
    /// Creates the ledger of a leader whose term begins now.
    pub fn new(term: u64, now: TickTime) -> Self {
        Self {
            term,
            reports: Some(Vec::new()),
            // All suspects of earlier lists have expired then, unless a node of this term has reported them.
            closes_at: now + HOLD_TIME,
            ..Self::default()
        }
    }

    /// Returns the number of the last change of the suspects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether a node holds a later list of an earlier term than this ledger is based on. Its reports must not be
    /// applied before its list.
    pub fn needs(&self, held: ListPosition) -> bool {
        self.reports.is_some() && held.term < self.term && held > self.base
    }

    /// Continues with the list of an earlier leader, unless a later one is known.
    pub fn inherit(&mut self, now: TickTime, snapshot: &SuspectSnapshot) {
        let now = now + TIME_OFFSET;
        if !self.needs(snapshot.position) {
            return;
        }
        let Some(reports) = &self.reports else {
            return;
        };
        log::info!(
            event = "suspects-inherited", term = self.term, base_term = snapshot.position.term,
            base_revision = snapshot.position.revision, rows = snapshot.rows.len(), reports = reports.len(); ""
        );
        self.base = snapshot.position;
        self.state = SuspectState::restore(now, snapshot);
        for report in reports {
            report.apply(&mut self.state);
        }
        self.revision += 1;
    }

    /// Records the end of a target. A repeated report has no effect.
    pub fn record(&mut self, now: TickTime, end: &TargetEnd) {
        let event = ReportedEvent::Ended(now + TIME_OFFSET, end.clone());
        self.apply(event);
    }

    /// Removes a request that a target has answered.
    pub fn clear(&mut self, digest: RequestDigest) {
        if self.apply(ReportedEvent::Answered(digest)) {
            log::info!(event = "suspect-cleared", digest:% = digest; "");
        }
    }

    /// Returns whether the suspects have changed.
    fn apply(&mut self, event: ReportedEvent) -> bool {
        let is_change = event.apply(&mut self.state);
        self.revision += u64::from(is_change);
        // A later list may have a request that this one does not have any more.
        if !is_change && matches!(event, ReportedEvent::Ended(..)) {
            return false;
        }
        self.report_bytes += event.bytes();
        if self.report_bytes > MAX_REPORT_BYTES {
            self.close("memory");
        }
        if let Some(reports) = &mut self.reports {
            reports.push(event);
        }
        is_change
    }

    /// Removes suspects whose time is over.
    pub fn expire(&mut self, now: TickTime) {
        if self.state.expire(now + TIME_OFFSET) {
            self.revision += 1;
        }
        if now >= self.closes_at {
            self.close("time");
        }
    }

    /// Takes no more lists of earlier terms.
    fn close(&mut self, reason: &str) {
        if let Some(reports) = self.reports.take() {
            log::info!(event = "suspects-closed", term = self.term, reason, reports = reports.len(); "");
        }
    }

    /// Returns all suspects.
    pub fn rows(&self, now: TickTime) -> Vec<SuspectRow> {
        self.state.rows(now + TIME_OFFSET)
    }

    /// Returns the list for nodes.
    pub fn snapshot(&self, now: TickTime) -> SuspectSnapshot {
        SuspectSnapshot {
            position: ListPosition {
                term: self.term,
                revision: self.revision,
            },
            base: self.base,
            rows: self.rows(now),
            ends: self.state.ends(),
        }
    }
}
