//! Bound on the bytes of bodies that a process holds, over all requests and answers in flight.

use std::sync::{Arc, Mutex};

use bytes::Bytes;

use super::state::lock;

/// Memory for bodies in flight.
///
/// One body may hold at most as much as would then still be free (dynamic thresholds, Choudhury and Hahne 1998). Senders
/// that never end thus leave room for the small bodies of all others.
#[derive(Debug, Clone)]
pub struct MemoryPool {
    free: Arc<Mutex<usize>>,
}

impl MemoryPool {
    /// Creates a pool of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(Mutex::new(bytes)),
        }
    }

    /// Returns an empty share for one body.
    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            pool: self.clone(),
            held: 0,
        }
    }

    /// Returns the bytes that are free.
    pub fn free(&self) -> usize {
        *lock(&self.free)
    }
}

/// Part of the pool that one body holds until it is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    pool: MemoryPool,
    held: usize,
}

impl MemoryShare {
    /// Grows or shrinks the share to `bytes`; returns false, without a change, if there is no room.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut free = lock(&self.pool.free);
        let available = *free + self.held;
        if bytes > self.held && bytes > available / 2 {
            return false;
        }
        *free = available - bytes;
        self.held = bytes;
        true
    }

    /// Returns whether the share holds nothing.
    pub fn is_empty(&self) -> bool {
        self.held == 0
    }

    /// Binds the share to a body: it is given back when the last copy of the body is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        if self.held == 0 {
            return body;
        }
        Bytes::from_owner(SharedBody { body, _share: self })
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        *lock(&self.pool.free) += self.held;
    }
}

#[derive(Debug)]
struct SharedBody {
    body: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
