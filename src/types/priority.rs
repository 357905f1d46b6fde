//! Priority of requests.

use std::fmt;

use crate::error::{MeshError, Result};

use super::RequestId;

const CLASS_SHIFT: u32 = 14;
const HASH_MASK: u16 = (1 << CLASS_SHIFT) - 1;

/// Priority class of a request. Lower classes are shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorityClass {
    /// Stock checks and status reads.
    Read,
    /// Interactive reads, such as viewing a scan.
    Interactive,
    /// Uploads.
    Upload,
    /// Payments and order confirmations.
    Critical,
}

impl PriorityClass {
    /// All classes, lowest first.
    pub const ALL: [Self; 4] = [Self::Read, Self::Interactive, Self::Upload, Self::Critical];

    /// Returns the name used in lists, headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Interactive => "interactive",
            Self::Upload => "upload",
            Self::Critical => "critical",
        }
    }

    /// Returns the index of the class, 0 for the lowest.
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl TryFrom<&str> for PriorityClass {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        let found = Self::ALL.into_iter().find(|class| class.as_str() == raw);
        found.ok_or_else(|| {
            let detail = format!("{raw:?} must be read, interactive, upload or critical");
            MeshError::invalid("priority class", detail)
        })
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Priority of a request for load shedding: the class, then a hash of the request id.
///
/// The hash is the same at every node, so that all services shed the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestPriority(u16);

impl RequestPriority {
    /// Derives the priority of a request.
    pub fn new(class: PriorityClass, request_id: RequestId) -> Self {
        let hash = crc32fast::hash(request_id.as_bytes()) as u16 & HASH_MASK;
        Self(((class as u16) << CLASS_SHIFT) | hash)
    }

    /// Returns the lowest priority of a class.
    pub const fn lowest_of(class: PriorityClass) -> Self {
        Self((class as u16) << CLASS_SHIFT)
    }

    /// Wraps a value received from another node.
    pub const fn from_raw(raw: u16) -> Self {
        Self(raw)
    }

    /// Returns the value sent to other nodes.
    pub const fn as_raw(self) -> u16 {
        self.0
    }

    /// Returns the class encoded in the two high bits.
    pub const fn class(self) -> PriorityClass {
        PriorityClass::ALL[(self.0 >> CLASS_SHIFT) as usize]
    }
}

/// Rank of a chain of calls; the smallest rank comes first. It is a hash of the id of the first request of the chain, so
/// that it is the same at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ChainRank(u32);

impl ChainRank {
    /// Derives the rank from the id of the first request.
    pub fn from_first_id(first_id: &[u8]) -> Self {
        Self(crc32fast::hash(first_id))
    }

    /// Returns the rank as a fraction of the range of all ranks.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}
