//! Digest of a directory, which spares a new leader from sending entries that a node already holds.

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message;
use sha2::{Digest, Sha256};

use crate::generated::{DirectoryDelta, NodeInfo};

/// Returns the digest of one entry, which is combined into the digest of its directory.
pub(super) fn entry_digest(info: &NodeInfo) -> u64 {
    let hash = Sha256::digest(info.encode_to_vec());
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |digest, byte| (digest << 8) | u64::from(*byte))
}

/// Digests of the entries that a node holds.
///
/// The digest of the directory is the exclusive or of the entry digests, so that it does not depend on their order.
#[derive(Debug, Default)]
pub struct DirectoryDigests {
    entries: BTreeMap<Bytes, u64>,
}

impl DirectoryDigests {
    /// Applies a change of the directory.
    pub fn apply(&mut self, delta: &DirectoryDelta) {
        if delta.full {
            self.entries.clear();
        }
        for node_id in &delta.removed {
            self.entries.remove(node_id);
        }
        for info in &delta.changed {
            self.entries
                .insert(info.node_id.clone(), entry_digest(info));
        }
    }

    /// Returns the digest of the directory.
    pub fn digest(&self) -> u64 {
        self.entries
            .values()
            .fold(0, |digest, entry| digest ^ entry)
    }
}
