//! Formats log records as lines of `key=value` pairs.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{self, Key, Value, VisitSource};

/// Writes one record as `time=.. level=.. event=.. key=value ..`, without a line break at the end.
///
/// A message that starts with `event=` is a list of pairs and is written as it is, except for line breaks. Any other
/// message is written as the value of `message`, and the event is the record's `event` key or else `log`.
pub(super) fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        out,
        "time={} level={level}",
        now.format("%Y-%m-%dT%H:%M:%S%.6fZ")
    )?;
    let text = record.args().to_string();
    let pairs = record.key_values();
    let is_pairs_text = text.starts_with("event=");
    if !is_pairs_text {
        let event = pairs.get(Key::from_str("event"));
        let event = event.map_or_else(|| "log".to_owned(), |event| event.to_string());
        write_pair(out, "event", &event)?;
    }
    let mut writer = PairWriter { out, error: None };
    // `visit_pair` stores an I/O error in the writer and never returns an error.
    let _ = pairs.visit(&mut writer);
    if let Some(error) = writer.error {
        return Err(error);
    }
    match text.as_str() {
        "" => Ok(()),
        pairs if is_pairs_text => write!(out, " {}", pairs.replace(['\n', '\r'], " ")),
        message => write_pair(out, "message", message),
    }
}

struct PairWriter<'a> {
    out: &'a mut dyn Write,
    error: Option<io::Error>,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if key.as_str() != "event" && self.error.is_none() {
            self.error = write_pair(self.out, key.as_str(), &value.to_string()).err();
        }
        Ok(())
    }
}

fn write_pair(out: &mut dyn Write, key: &str, value: &str) -> io::Result<()> {
    let is_plain = |byte: char| !byte.is_whitespace() && !byte.is_control() && byte != '"';
    if !value.is_empty() && value.chars().all(is_plain) {
        write!(out, " {key}={value}")
    } else {
        write!(out, " {key}={value:?}")
    }
}
