//! Buffer for a body that arrives in parts.

use bytes::Bytes;

/// Size of a segment. A single growing buffer copies its contents when it is enlarged, and with an endless body would take
/// up to three times the size of the body.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Partially received body, stored in segments and joined when it is complete.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    length: usize,
}

impl BodyBuffer {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn push(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let taken = data.len().min(SEGMENT_BYTES - self.last.len());
            self.last.extend_from_slice(&data[..taken]);
            data = &data[taken..];
            if self.last.len() == SEGMENT_BYTES {
                let next = Vec::with_capacity(SEGMENT_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
        }
    }

    pub(super) fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        let mut joined = Vec::with_capacity(self.length);
        for segment in self.full {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&self.last);
        joined.into()
    }
}
