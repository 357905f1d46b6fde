//! Log lines as key=value pairs.

use std::collections::BTreeMap;

const TIME_KEY: &str = "time=";
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One complete log line.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine<'a> {
    /// Time of day in seconds.
    pub(crate) time_s: f64,
    pub(crate) event: &'a str,
    pairs: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Parses a line. Text before `time=`, such as the name of the VM, is skipped. Returns `None` for a line without time
    /// or event, for one that was cut inside a quoted value, and for one that runs into another line.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let mut rest = &text[text.find(TIME_KEY)?..];
        if rest[TIME_KEY.len()..].contains(TIME_KEY) {
            return None;
        }
        let mut pairs = BTreeMap::new();
        while let Some((key, after)) = rest.split_once('=') {
            let key = key.trim_start();
            let (value, tail) = split_value(after)?;
            pairs.insert(key, value);
            rest = tail;
        }
        let time_s = parse_time_of_day(pairs.get("time")?)?;
        let event = pairs.get("event").copied()?;
        Some(Self {
            time_s,
            event,
            pairs,
        })
    }

    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        self.pairs.get(key).copied()
    }

    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.text(key)?.parse().ok()
    }
}

/// Splits a value off the text, at a space or behind its closing quote.
fn split_value(text: &str) -> Option<(&str, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((&text[..end], &text[end..]));
    };
    let mut is_escaped = false;
    let end = quoted.find(|letter| {
        let is_end = letter == '"' && !is_escaped;
        is_escaped = letter == '\\' && !is_escaped;
        is_end
    })?;
    Some((&quoted[..end], &quoted[end + 1..]))
}

/// Reads the time of day from `2026-12-04T16:35:59.123456Z`.
fn parse_time_of_day(text: &str) -> Option<f64> {
    let clock = text.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = clock.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let time_s = hours * 3_600.0 + minutes * 60.0 + seconds;
    (0.0..SECONDS_PER_DAY + 1.0)
        .contains(&time_s)
        .then_some(time_s)
}
