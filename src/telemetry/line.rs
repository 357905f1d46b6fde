//! Format of one log line.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{self, Key, Value, VisitSource};

/// Writes `time=.. level=.. event=.. key=value ..` for one record.
///
/// A record without an `event` key gets `event=log`, unless its text is itself a list of pairs that starts with
/// `event=`; other text follows as `message`.
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
    // The writer keeps its own I/O error; the visit itself cannot fail otherwise.
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
