//! Counts of outcomes by route and second, and of the work that was lost.

use std::collections::BTreeMap;
use std::fmt;

use super::line::LogLine;

/// Separates the id of a request from the suffix that identifies a call made by it.
const ID_SEPARATOR: char = '.';
/// Number of causes that the report lists.
const MAX_CAUSES: usize = 20;

/// Client requests by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OutcomeCounts {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    /// Ended with a status that blames the client, such as 404.
    rejected: u32,
    attempts: u64,
}

impl OutcomeCounts {
    fn asked(&self) -> u32 {
        self.in_time + self.late + self.refused + self.failed + self.rejected
    }

    fn count(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::InTime => self.in_time += 1,
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Rejected => self.rejected += 1,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    InTime,
    Late,
    Refused,
    Failed,
    Rejected,
}

impl RequestOutcome {
    fn of(status: u64, span_ms: u64, objective_ms: Option<u64>) -> Self {
        match status {
            200..400 if objective_ms.is_none_or(|objective| span_ms <= objective) => Self::InTime,
            200..400 => Self::Late,
            429 | 503 => Self::Refused,
            500.. => Self::Failed,
            _ => Self::Rejected,
        }
    }
}

/// Attempts of all requests of one call chain.
#[derive(Debug, Default)]
struct ChainRecord {
    is_failed: bool,
    is_answered: bool,
    /// Runs of targets, by service.
    runs: BTreeMap<String, u32>,
    /// Depth, service and reason of the deepest attempt that did not succeed; the latest of them.
    cause: Option<(usize, String, String)>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    runs: u32,
    /// Runs for chains whose client request failed.
    lost_runs: u32,
    /// Attempts that were refused, by reason.
    refusals: BTreeMap<String, u32>,
}

/// Collects lines until all are read.
#[derive(Debug, Default)]
pub(crate) struct LossTally {
    by_route: BTreeMap<String, OutcomeCounts>,
    by_second: BTreeMap<i64, OutcomeCounts>,
    chains: BTreeMap<String, ChainRecord>,
    /// Refusals before a route was chosen, by reason.
    unrouted: BTreeMap<String, u32>,
    services: BTreeMap<String, ServiceCounts>,
    marks: Vec<(f64, String)>,
    lines: u64,
    unreadable: u64,
}

impl LossTally {
    /// Adds one line of text.
    pub(crate) fn add(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        self.lines += 1;
        let added = LogLine::parse(text).and_then(|line| self.add_line(&line));
        if added.is_none() {
            self.unreadable += 1;
        }
    }

    /// Adds a line; returns `None` if it lacks a key that its event needs.
    fn add_line(&mut self, line: &LogLine<'_>) -> Option<()> {
        match line.event {
            "answered" => self.add_answer(line),
            "attempt" => self.add_attempt(line),
            "refused" => {
                let reason = line.text("reason")?;
                *self.unrouted.entry(reason.to_owned()).or_default() += 1;
                Some(())
            }
            "role-changed" if line.text("role")? == "Leader" => {
                let term = line.text("term")?;
                self.marks
                    .push((line.time_s, format!("leader of term {term}")));
                Some(())
            }
            _ => Some(()),
        }
    }

    fn add_answer(&mut self, line: &LogLine<'_>) -> Option<()> {
        let id = line.text("request_id")?;
        let (status, span_ms) = (line.number("status")?, line.number("span_ms")?);
        if id.contains(ID_SEPARATOR) {
            return Some(());
        }
        let outcome = RequestOutcome::of(status, span_ms, line.number("objective_ms"));
        let arrived_s = (line.time_s - span_ms as f64 / 1_000.0).floor() as i64;
        let route = line.text("route")?.to_owned();
        for counts in [
            self.by_route.entry(route).or_default(),
            self.by_second.entry(arrived_s).or_default(),
        ] {
            counts.count(outcome);
            counts.attempts += line.number("attempts").unwrap_or_default()
                + line.number("refusals").unwrap_or_default();
        }
        let chain = self.chains.entry(id.to_owned()).or_default();
        chain.is_answered = true;
        chain.is_failed = outcome == RequestOutcome::Failed;
        Some(())
    }

    fn add_attempt(&mut self, line: &LogLine<'_>) -> Option<()> {
        let id = line.text("request_id")?;
        let (service, outcome) = (line.text("service")?, line.text("outcome")?);
        let detail = line.text("detail")?;
        let counts = self.services.entry(service.to_owned()).or_default();
        let first_id = id.split(ID_SEPARATOR).next().unwrap_or(id);
        let chain = self.chains.entry(first_id.to_owned()).or_default();
        if outcome == "ran" {
            counts.runs += 1;
            *chain.runs.entry(service.to_owned()).or_default() += 1;
        }
        if outcome == "ran" && !detail.starts_with('5') {
            return Some(());
        }
        let reason = match outcome {
            "not-run" => detail.to_owned(),
            "ran" => format!("status {detail}"),
            _ => outcome.to_owned(),
        };
        if outcome == "not-run" {
            *counts.refusals.entry(detail.to_owned()).or_default() += 1;
        }
        let depth = id.matches(ID_SEPARATOR).count();
        if chain.cause.as_ref().is_none_or(|cause| cause.0 <= depth) {
            chain.cause = Some((depth, service.to_owned(), reason));
        }
        Some(())
    }

    /// Ends the collection.
    pub(crate) fn finish(mut self) -> LossReport {
        let mut causes: BTreeMap<(String, String), u32> = BTreeMap::new();
        let failed = self.chains.values().filter(|chain| chain.is_failed);
        for chain in failed {
            for (service, runs) in &chain.runs {
                if let Some(counts) = self.services.get_mut(service) {
                    counts.lost_runs += runs;
                }
            }
            let cause = chain.cause.clone();
            let cause = cause.map_or_else(
                || ("-".to_owned(), "no attempt in these lines".to_owned()),
                |(_, service, reason)| (service, reason),
            );
            *causes.entry(cause).or_default() += 1;
        }
        let mut causes: Vec<_> = causes.into_iter().collect();
        causes.sort_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
        let unanswered = self.chains.values();
        let unanswered = unanswered.filter(|chain| !chain.is_answered).count();
        LossReport {
            tally: self,
            causes,
            unanswered,
        }
    }
}

/// Finished counts; its `Display` is the printed report.
#[derive(Debug)]
pub(crate) struct LossReport {
    tally: LossTally,
    causes: Vec<((String, String), u32)>,
    unanswered: usize,
}

impl LossReport {
    /// Returns whether no line could be used.
    pub(crate) fn is_empty(&self) -> bool {
        self.tally.lines == self.tally.unreadable
    }

    /// Counts by the second in which requests arrived.
    pub(crate) fn by_second(&self) -> &BTreeMap<i64, OutcomeCounts> {
        &self.tally.by_second
    }

    /// Events of the control plane, with the time of day in seconds.
    pub(crate) fn marks(&self) -> &[(f64, String)] {
        &self.tally.marks
    }
}

/// Formats a second of the day as `16:35:59`.
pub(super) fn clock_time(second: i64) -> String {
    let (hours, minutes) = (
        second.div_euclid(3_600),
        second.div_euclid(60).rem_euclid(60),
    );
    format!("{hours:02}:{minutes:02}:{:02}", second.rem_euclid(60))
}

fn write_counts(f: &mut fmt::Formatter<'_>, name: &str, counts: &OutcomeCounts) -> fmt::Result {
    let asked = counts.asked();
    let tries = counts.attempts as f64 / f64::from(asked.max(1));
    writeln!(
        f,
        "{name:<16} {asked:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {tries:>6.2}",
        counts.in_time, counts.late, counts.refused, counts.failed, counts.rejected
    )
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        let heading = |name: &str| {
            format!("{name:<16}   asked in time    late refused  failed rejected  tries")
        };
        writeln!(f, "{}", heading("route"))?;
        for (route, counts) in &tally.by_route {
            write_counts(f, route, counts)?;
        }
        writeln!(f, "\n{}", heading("arrived at"))?;
        for (second, counts) in &tally.by_second {
            write_counts(f, &clock_time(*second), counts)?;
        }
        writeln!(
            f,
            "\nservice             runs   for failed requests   refused"
        )?;
        for (service, counts) in &tally.services {
            write!(
                f,
                "{service:<16} {:>7} {:>21}  ",
                counts.runs, counts.lost_runs
            )?;
            for (reason, count) in &counts.refusals {
                write!(f, " {reason} {count}")?;
            }
            writeln!(f)?;
        }
        writeln!(
            f,
            "\nfailed requests by the deepest attempt that did not succeed"
        )?;
        for ((service, reason), count) in self.causes.iter().take(MAX_CAUSES) {
            writeln!(f, "{count:>7}  {service} {reason}")?;
        }
        for (reason, count) in &tally.unrouted {
            writeln!(f, "{count:>7}  refused before a route was chosen: {reason}")?;
        }
        for (time_s, mark) in &tally.marks {
            writeln!(f, "{}  {mark}", clock_time(time_s.floor() as i64))?;
        }
        writeln!(
            f,
            "\n{} lines, {} unreadable; {} requests without a final answer in these lines",
            tally.lines, tally.unreadable, self.unanswered
        )
    }
}
