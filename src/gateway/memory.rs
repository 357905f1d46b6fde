//! Limit on the memory for bodies, over all requests and answers in flight in the process.

use std::sync::{Arc, Mutex};

use bytes::Bytes;

use super::state::lock;

/// Memory pool for bodies in flight.
///
/// One body may take at most as much as then remains free (dynamic thresholds, Choudhury and Hahne 1998). Endless bodies
/// therefore leave room for the small bodies of other senders.
#[derive(Debug, Clone)]
pub struct MemoryPool {
    free: Arc<Mutex<usize>>,
}

impl MemoryPool {
    /// Creates a pool with a capacity of `bytes`.
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

    /// Returns the number of free bytes.
    pub fn free(&self) -> usize {
        *lock(&self.free)
    }
}

/// Memory reserved for one body, returned to the pool on drop.
#[derive(Debug)]
pub struct MemoryShare {
    pool: MemoryPool,
    held: usize,
}

impl MemoryShare {
    /// Grows or shrinks the share to `bytes`. Returns false and changes nothing if the pool has no room.
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

    /// Returns whether no memory is reserved.
    pub fn is_empty(&self) -> bool {
        self.held == 0
    }

    /// Ties the share to a body, so that it is returned to the pool when the last clone of the body is dropped.
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
