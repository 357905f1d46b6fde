//! Configurable behaviour of the stand-in: processing time, size and status of responses, faults and nested calls.

use std::str::FromStr;

use ebonyjunction::error::{MeshError, Result};
use serde::Deserialize;

/// How a response is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CutMode {
    /// The response is complete.
    None,
    /// Cut in the middle of a body that has a `content-length`.
    Length,
    /// Cut in the middle of a chunked body.
    Chunked,
}

/// Path of a call to another service, with the service as its first segment.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct CallPath(pub(crate) String);

impl FromStr for CallPath {
    type Err = MeshError;

    fn from_str(raw: &str) -> Result<Self> {
        Self::try_from(raw.to_owned())
    }
}

impl TryFrom<String> for CallPath {
    type Error = MeshError;

    fn try_from(raw: String) -> Result<Self> {
        if !raw.starts_with('/') || raw.len() < 2 {
            return Err(MeshError::invalid("call", "must be /SERVICE/PATH"));
        }
        Ok(Self(raw))
    }
}

/// How each request is handled.
#[derive(Debug, Clone)]
pub(crate) struct Behaviour {
    pub(crate) service_ms: u64,
    pub(crate) answer_bytes: usize,
    pub(crate) status: u16,
    pub(crate) cut: CutMode,
    pub(crate) calls: Vec<CallPath>,
}

/// Change of the behaviour. Absent fields keep their value.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BehaviourChange {
    service_ms: Option<u64>,
    answer_bytes: Option<usize>,
    status: Option<u16>,
    cut: Option<CutMode>,
    calls: Option<Vec<CallPath>>,
}

impl BehaviourChange {
    /// Parses a change from JSON.
    pub(crate) fn parse(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text)
            .map_err(|error| MeshError::invalid("behaviour", error.to_string()))
    }

    /// Parses a change from the query of a request. Unknown names and malformed values are ignored.
    pub(crate) fn from_query(query: &str) -> Self {
        let mut change = Self::default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "service_ms" => change.service_ms = value.parse().ok(),
                "answer_bytes" => change.answer_bytes = value.parse().ok(),
                "status" => change.status = value.parse().ok(),
                "cut" if value == "length" => change.cut = Some(CutMode::Length),
                "cut" if value == "chunked" => change.cut = Some(CutMode::Chunked),
                _ => {}
            }
        }
        change
    }

    /// Applies the change to `behaviour`.
    pub(crate) fn apply(self, behaviour: &mut Behaviour) {
        if let Some(service_ms) = self.service_ms {
            behaviour.service_ms = service_ms;
        }
        if let Some(answer_bytes) = self.answer_bytes {
            behaviour.answer_bytes = answer_bytes;
        }
        if let Some(status) = self.status {
            behaviour.status = status;
        }
        if let Some(cut) = self.cut {
            behaviour.cut = cut;
        }
        if let Some(calls) = self.calls {
            behaviour.calls = calls;
        }
    }
}
