//! Processes under test and a Registry service in the test process.
#![allow(dead_code, reason = "each test binary uses a part of the support code")]

pub mod http;
pub mod mesh;
pub mod process;
pub mod registry;

use std::time::{Duration, Instant};

/// Generous bound for anything that is polled.
pub const BOUND: Duration = Duration::from_secs(20);

/// Polls until a value is there; the bound only decides when to give up.
pub async fn poll<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < BOUND, "gave up waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
