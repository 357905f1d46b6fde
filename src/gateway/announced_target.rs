//! State that the local target reports, ordered by incarnation and sequence number instead of arrival.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::directory::MAX_SLOTS;
use crate::error::{MeshError, Result};
use crate::routing::TargetState;
use crate::types::{ServiceName, TickTime};

/// Number of departed incarnations that are remembered. A target restarts a few times a day, and a late report arrives
/// within seconds.
const MAX_DEPARTED: usize = 64;

/// Maximum length of a target's id, which is sent in a header with each request.
const MAX_ID_BYTES: usize = 256;
/// Largest sequence number, the largest integer that every writer of JSON represents exactly. A larger one would make all
/// later reports look outdated.
const MAX_SEQUENCE: u64 = 1 << 53;
/// How far in the future a start may lie. A later one would make all other incarnations look outdated.
const MAX_CLOCK_SKEW: Duration = Duration::from_hours(24);

/// One report of the local target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity of the target. A later incarnation may use it again.
    pub id: String,
    /// Start of the incarnation in milliseconds since the Unix epoch; 0 if it is not reported.
    pub born_ms: u64,
    /// Sequence number of the report within its incarnation.
    pub sequence: u64,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts work or is leaving.
    pub state: TargetState,
}

impl TargetReport {
    /// Checks the values that the mesh relies on when it orders reports and announces the target.
    pub fn check(&self, unix_ms: u64) -> Result<()> {
        check_target_id(&self.id)?;
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            let detail = format!("must be 1 to {MAX_SLOTS}");
            return Err(MeshError::invalid("slots", detail));
        }
        if self.sequence > MAX_SEQUENCE {
            let detail = format!("must be at most {MAX_SEQUENCE}");
            return Err(MeshError::invalid("sequence", detail));
        }
        if self.born_ms > unix_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64) {
            return Err(MeshError::invalid("born", "lies in the future"));
        }
        Ok(())
    }
}

/// Checks that a target's id can be sent in a header.
pub fn check_target_id(id: &str) -> Result<()> {
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if is_visible && (1..=MAX_ID_BYTES).contains(&id.len()) {
        return Ok(());
    }
    let detail = format!("must be 1 to {MAX_ID_BYTES} visible ASCII characters");
    Err(MeshError::invalid("id", detail))
}

/// Effect of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// A new incarnation is in use.
    NewIncarnation,
    /// The report updated the incarnation in use.
    Updated,
    /// The report is older than the known state and was ignored.
    Outdated,
}

/// The target in use and the incarnations that have left.
#[derive(Debug, Default)]
pub struct AnnouncedTarget {
    current: Option<TargetReport>,
    last_report_at: TickTime,
    is_lost: bool,
    /// Minimum time between the first report after the start of the process and the report that confirms it; `None` if no
    /// confirmation is needed.
    confirm_after: Option<Duration>,
    has_received_report: bool,
    /// Time of the first report while it is unconfirmed.
    unconfirmed_since: Option<TickTime>,
    departed: VecDeque<(String, u64)>,
}

impl AnnouncedTarget {
    /// Creates the state for a process that has restarted. Earlier reports are lost, and a report that was sent before a
    /// target left may still arrive. The first report therefore takes effect only once the target has confirmed it, or
    /// with a further report at least `confirm_after` later: delayed reports arrive together.
    pub fn after_restart(confirm_after: Duration) -> Self {
        Self {
            confirm_after: Some(confirm_after),
            ..Self::default()
        }
    }

    /// Applies a report unless it is older than the known state.
    pub fn report(&mut self, now: TickTime, report: TargetReport) -> ReportEffect {
        if self.is_departed(&report) {
            return ReportEffect::Outdated;
        }
        let Some(current) = &self.current else {
            return self.adopt(now, report);
        };
        let is_same = current.id == report.id && current.born_ms == report.born_ms;
        if !is_same {
            return if report.born_ms >= current.born_ms {
                self.adopt(now, report)
            } else {
                ReportEffect::Outdated
            };
        }
        if report.sequence <= current.sequence {
            return ReportEffect::Outdated;
        }
        // An incarnation that is leaving never becomes ready again.
        let state = if current.state == TargetState::Leaving {
            TargetState::Leaving
        } else {
            report.state
        };
        self.current = Some(TargetReport { state, ..report });
        self.last_report_at = now;
        self.is_lost = false;
        let confirm_after = self.confirm_after.unwrap_or_default();
        self.unconfirmed_since
            .take_if(|since| now - *since >= confirm_after);
        ReportEffect::Updated
    }

    /// Removes a target that has left; returns whether it was in use.
    ///
    /// A node that has just started does not know which incarnation leaves. In that case every incarnation of the target
    /// that started up to `unix_ms` counts as departed, so that a delayed report does not bring the target back.
    pub fn remove(&mut self, id: &str, unix_ms: u64) -> bool {
        let removed = self.current.take_if(|current| current.id == id);
        if removed.is_some() {
            self.unconfirmed_since = None;
        }
        let is_removed = removed.is_some();
        let born_ms = removed.map_or(unix_ms, |report| report.born_ms);
        self.record_departed(id.to_owned(), born_ms);
        is_removed
    }

    /// Returns the incarnations that have left or are leaving.
    pub fn departed(&self) -> Vec<(String, u64)> {
        let leaving = self.current.iter();
        let leaving = leaving.filter(|it| it.state == TargetState::Leaving);
        let leaving = leaving.map(|it| (it.id.clone(), it.born_ms));
        self.departed.iter().cloned().chain(leaving).collect()
    }

    /// Adopts departures from before the start of the process. Returns whether the target in use is among them.
    pub fn adopt_departed(&mut self, departed: Vec<(String, u64)>) -> bool {
        for (id, born_ms) in departed {
            self.record_departed(id, born_ms);
        }
        let Some(current) = self.current.take() else {
            return false;
        };
        let is_departed = self.is_departed(&current);
        if is_departed {
            self.unconfirmed_since = None;
        } else {
            self.current = Some(current);
        }
        is_departed
    }

    /// Returns whether the first report of the target is still unconfirmed.
    pub fn awaits_confirmation(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Records that an incarnation has confirmed that it accepts work.
    pub fn confirm(&mut self, id: &str, born_ms: u64) {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.id == id && current.born_ms == born_ms) {
            self.unconfirmed_since = None;
        }
    }

    /// Records that an incarnation has stated that it is leaving. Returns whether this is new.
    pub fn mark_leaving(&mut self, id: &str, born_ms: u64) -> bool {
        let current = self.current.as_mut();
        let current = current.filter(|it| it.id == id && it.born_ms == born_ms);
        let serving = current.filter(|it| it.state != TargetState::Leaving);
        let Some(serving) = serving else {
            return false;
        };
        serving.state = TargetState::Leaving;
        true
    }

    /// Marks the target as unreachable until its next report.
    pub fn mark_lost(&mut self) {
        self.is_lost = true;
    }

    /// Returns the target in use.
    pub fn current(&self) -> Option<&TargetReport> {
        self.current.as_ref()
    }

    /// Returns the target if it may receive requests: it is ready, confirmed and reachable, and its last report is not older
    /// than `oldest`.
    pub fn ready(&self, oldest: TickTime) -> Option<&TargetReport> {
        let current = self.current.as_ref()?;
        let is_known = !self.is_lost && !self.awaits_confirmation();
        let is_ready = current.state == TargetState::Ready && is_known;
        (is_ready && self.last_report_at >= oldest).then_some(current)
    }

    fn adopt(&mut self, now: TickTime, report: TargetReport) -> ReportEffect {
        if let Some(replaced) = self.current.take() {
            self.record_departed(replaced.id, replaced.born_ms);
        } else if self.confirm_after.is_some() && !self.has_received_report {
            self.unconfirmed_since = Some(now);
        }
        self.has_received_report = true;
        self.current = Some(report);
        self.last_report_at = now;
        self.is_lost = false;
        ReportEffect::NewIncarnation
    }

    fn record_departed(&mut self, id: String, born_ms: u64) {
        self.departed.push_back((id, born_ms));
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }

    fn is_departed(&self, report: &TargetReport) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(id, born_ms)| *id == report.id && report.born_ms <= *born_ms)
    }
}
