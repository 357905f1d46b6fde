//! Node and stand-in processes under test, and a Registry service inside the test process.
#![allow(dead_code, reason = "each test binary uses a part of the support code")]

pub mod http;
pub mod mesh;
pub mod process;
pub mod registry;

use std::time::{Duration, Instant};

/// Timeout for polling, well above the expected time.
pub const BOUND: Duration = Duration::from_secs(20);

/// Polls until the check returns a value; panics after `BOUND`.
pub async fn poll<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < BOUND, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
