//! Reads TOML tables key by key and collects findings with their line numbers.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::{FindingList, MeshError, SettingFinding};

/// Text of one TOML file with the name shown in findings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SourceText<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl<'a> SourceText<'a> {
    fn line_at(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        1 + before.matches('\n').count()
    }

    /// Parses the text. Syntax errors become findings, and the part that could be parsed is returned.
    pub(crate) fn parse(&self, findings: &mut FindingList) -> DeTable<'a> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            findings.push(SettingFinding {
                file: self.file.to_owned(),
                line: self.line_at(offset),
                key: "syntax".to_owned(),
                message: error.message().replace('\n', " "),
            });
        }
        table.into_inner()
    }
}

/// Reader of one table. It records which keys were read, so that unknown keys can be reported.
#[derive(Debug)]
pub(crate) struct TableReader<'a, 'f> {
    source: SourceText<'a>,
    table: &'a DeTable<'a>,
    path: String,
    line: usize,
    read_keys: BTreeSet<&'static str>,
    findings: &'f mut FindingList,
}

impl<'a, 'f> TableReader<'a, 'f> {
    pub(crate) fn new(
        source: SourceText<'a>,
        table: &'a DeTable<'a>,
        findings: &'f mut FindingList,
    ) -> Self {
        let path = String::new();
        Self {
            source,
            table,
            path,
            line: 1,
            read_keys: BTreeSet::new(),
            findings,
        }
    }

    /// Returns the line where the table starts.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Adds a finding for one key.
    pub(crate) fn report(&mut self, key: &str, message: impl Display) {
        let line = self
            .table
            .get(key)
            .map_or(self.line, |value| self.source.line_at(value.span().start));
        let finding = SettingFinding {
            file: self.source.file.to_owned(),
            line,
            key: self.key_path(key),
            message: message.to_string(),
        };
        self.findings.push(finding);
    }

    fn value(&mut self, key: &'static str) -> Option<&'a DeValue<'a>> {
        self.read_keys.insert(key);
        self.table.get(key).map(Spanned::get_ref)
    }

    fn report_type_mismatch(&mut self, key: &'static str, expected: &str, found: &DeValue<'_>) {
        self.report(
            key,
            format!("expected {expected}, found {}", found.type_str()),
        );
    }

    /// Reads optional text.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<&'a str> {
        let value = self.value(key)?;
        let found = value.as_str();
        if found.is_none() {
            self.report_type_mismatch(key, "a string", value);
        }
        found
    }

    /// Reads text that must be present.
    pub(crate) fn required_text(&mut self, key: &'static str) -> Option<&'a str> {
        if !self.table.contains_key(key) {
            self.read_keys.insert(key);
            self.report(key, "is required");
            return None;
        }
        self.text(key)
    }

    /// Reads text that must be present and converts it to a validated type.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<&'a str, Error = MeshError>,
    {
        let raw = self.required_text(key)?;
        self.convert(key, raw)
    }

    /// Reads optional text and converts it to a validated type.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<&'a str, Error = MeshError>,
    {
        let raw = self.text(key)?;
        self.convert(key, raw)
    }

    fn convert<T>(&mut self, key: &'static str, raw: &'a str) -> Option<T>
    where
        T: TryFrom<&'a str, Error = MeshError>,
    {
        match T::try_from(raw) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(key, error);
                None
            }
        }
    }

    /// Reads a socket address.
    pub(crate) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let raw = self.text(key)?;
        let parsed = raw.parse().ok();
        if parsed.is_none() {
            self.report(
                key,
                format!("{raw:?} must be an IP address and port such as 127.0.0.1:7000"),
            );
        }
        parsed
    }

    /// Reads a socket address that must be present.
    pub(crate) fn required_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required_text(key)?;
        self.address(key)
    }

    /// Reads a list of socket addresses with at least one element.
    pub(crate) fn required_addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let Some(value) = self.value(key) else {
            self.report(key, "is required");
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report_type_mismatch(key, "an array of addresses", value);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for item in array {
            match item.get_ref().as_str().and_then(|raw| raw.parse().ok()) {
                Some(address) => addresses.push(address),
                None => self.report(key, "every element must be a string \"IP:PORT\""),
            }
        }
        if array.is_empty() {
            self.report(key, "must contain at least one address");
        }
        addresses
    }

    /// Reads an integer within a range, or returns the default.
    pub(crate) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.value(key) else {
            return default;
        };
        let Some(integer) = value.as_integer() else {
            self.report_type_mismatch(key, "an integer", value);
            return default;
        };
        let parsed = u64::from_str_radix(integer.as_str(), integer.radix());
        match parsed {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let message = format!(
                    "{} must lie between {} and {}",
                    integer.as_str(),
                    range.start(),
                    range.end()
                );
                self.report(key, message);
                default
            }
        }
    }

    /// Reads an integer that must be present.
    pub(crate) fn required_integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if self.value(key).is_none() {
            self.report(key, "is required");
            return None;
        }
        Some(self.integer(key, range, 0))
    }

    /// Reads a boolean, or returns the default.
    pub(crate) fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.value(key) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.report_type_mismatch(key, "true or false", value);
            default
        })
    }

    /// Visits every table of an array of tables.
    pub(crate) fn each_table(
        &mut self,
        key: &'static str,
        mut visit: impl FnMut(&mut TableReader<'a, '_>),
    ) {
        let Some(value) = self.value(key) else {
            return;
        };
        let Some(array) = value.as_array() else {
            self.report_type_mismatch(key, "an array of tables", value);
            return;
        };
        for (position, item) in array.iter().enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                self.report_type_mismatch(key, "an array of tables", item.get_ref());
                continue;
            };
            let mut reader = TableReader {
                source: self.source,
                table,
                path: self.key_path(&format!("{key}[{position}]")),
                line: self.source.line_at(item.span().start),
                read_keys: BTreeSet::new(),
                findings: self.findings,
            };
            visit(&mut reader);
            reader.finish();
        }
    }

    /// Reports the keys that were not read.
    pub(crate) fn finish(mut self) {
        self.report_unknown();
    }

    fn report_unknown(&mut self) {
        let unknown: Vec<Cow<'_, str>> = self
            .table
            .keys()
            .map(|key| Cow::Borrowed(key.get_ref().as_ref()))
            .filter(|key: &Cow<'_, str>| !self.read_keys.contains(key.as_ref()))
            .collect();
        for key in unknown {
            let known: Vec<&str> = self.read_keys.iter().copied().collect();
            self.report(
                &key,
                format!("unknown key; known keys are {}", known.join(", ")),
            );
        }
    }
}
