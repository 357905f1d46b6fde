//! The memory pool of bodies in flight.

use bytes::Bytes;
use ebonyjunction::gateway::MemoryPool;

const POOL_BYTES: usize = 1_024 * 1_024;
const SMALL_BYTES: usize = 8 * 1_024;

// Guards against endless bodies that use all memory and leave none for the small bodies of other requests.
#[test]
fn resize_endless_bodies() {
    let pool = MemoryPool::new(POOL_BYTES);
    let mut shares: Vec<_> = (0..20).map(|_| pool.share()).collect();
    let mut is_growing = true;
    let mut length = 0;
    while is_growing {
        length += SMALL_BYTES;
        is_growing = false;
        for share in &mut shares {
            is_growing |= share.resize(length);
        }
    }
    assert!(pool.free() >= SMALL_BYTES * 2, "{}", pool.free());
    assert!(pool.share().resize(SMALL_BYTES));
}

// Guards against memory that is not returned to the pool, or is returned while a slice of the body is still in use.
#[test]
fn attach_returns_memory() {
    let pool = MemoryPool::new(POOL_BYTES);
    let mut share = pool.share();
    assert!(share.resize(SMALL_BYTES));
    let body = share.attach(Bytes::from(vec![1; SMALL_BYTES]));
    let copy = body.slice(4..8);
    drop(body);
    assert_eq!(pool.free(), POOL_BYTES - SMALL_BYTES);
    assert_eq!(copy, [1; 4].as_slice());
    drop(copy);
    assert_eq!(pool.free(), POOL_BYTES);
}

// Guards against a share that cannot shrink while the pool is full.
#[test]
fn resize_smaller() {
    let pool = MemoryPool::new(POOL_BYTES);
    let mut share = pool.share();
    assert!(share.resize(POOL_BYTES / 2));
    assert!(!share.resize(POOL_BYTES / 2 + 1));
    let mut other = pool.share();
    assert!(other.resize(POOL_BYTES / 4));
    assert!(share.resize(POOL_BYTES / 2 - 1));
    drop((share, other));
    assert_eq!(pool.free(), POOL_BYTES);
}
