//! Identity of requests that are the same to a target.

use sha2::{Digest, Sha256};

/// Digest of what a target reads of a request: method, host, path with query, and body. Headers are left out, because
/// clients and nodes set ids and times in them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let host = host.to_ascii_lowercase();
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let bytes = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&bytes[..8]);
        Self(u64::from_le_bytes(first))
    }

    pub(super) const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    pub(super) const fn to_bits(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
