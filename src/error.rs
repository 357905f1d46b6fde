//! The error type of the crate and the findings reported for invalid input.

use std::fmt;

use displaydoc::Display;

/// Result with the error type of this crate.
pub type Result<T, E = MeshError> = std::result::Result<T, E>;

/// Error reported by this crate.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum MeshError {
    /// {0}
    Findings(FindingList),
    /// cannot read {path}: {source}
    ReadFile {
        /// Path as given by the user.
        path: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// {action}: {source}
    Io {
        /// What was attempted.
        action: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// {file} is damaged at byte {offset}: {detail}
    CorruptFile {
        /// Damaged file.
        file: String,
        /// Offset of the first damaged record.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// invalid {field}: {detail}
    InvalidValue {
        /// Name of the rejected field.
        field: &'static str,
        /// Why the value was rejected.
        detail: String,
    },
    /// invalid command line: {0}
    Usage(String),
    /// no control replica answered: {0}
    ControlUnavailable(String),
    /// control request failed: {0}
    Control(String),
    /// HTTP exchange failed: {0}
    Http(String),
}

impl std::error::Error for MeshError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::ReadFile { source, .. } | Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl MeshError {
    /// Wraps an I/O error with the action that failed.
    pub fn io(action: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            action: action.into(),
            source,
        }
    }

    /// Reports a rejected value.
    pub fn invalid(field: &'static str, detail: impl Into<String>) -> Self {
        Self::InvalidValue {
            field,
            detail: detail.into(),
        }
    }

    /// Returns the process exit code for this error: 2 for bad input, 1 for a failed operation.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Usage(_) | Self::ReadFile { .. } => 2,
            _ => 1,
        }
    }
}

/// One problem found in the input, with its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingFinding {
    /// File that holds the value.
    pub file: String,
    /// Line of the value, counted from 1.
    pub line: usize,
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

impl fmt::Display for SettingFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.file, self.line, self.key, self.message
        )
    }
}

/// All findings of one validation, reported together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<SettingFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: SettingFinding) {
        self.findings.push(finding);
    }

    /// Appends all findings of another list.
    pub fn extend(&mut self, other: Self) {
        self.findings.extend(other.findings);
    }

    /// Iterates over the findings, which `into_result` sorts by location.
    pub fn iter(&self) -> impl Iterator<Item = &SettingFinding> {
        self.findings.iter()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted and without duplicates, if there are any or if the value is absent.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => {
                self.findings.sort();
                self.findings.dedup();
                Err(MeshError::Findings(self))
            }
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.findings.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
