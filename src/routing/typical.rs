//! Latencies that are typical of the endpoints of a service.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of one answer in the latency that is typical of a service.
const TYPICAL_GAIN: f64 = 0.05;
/// Multiple of the typical latency from which an answer counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Endpoints of a service whose latencies are kept apart; later ones count as if they had the first latency.
const MAX_ENDPOINTS: usize = 1_024;

/// Latency that is typical of each endpoint of a service, over all its targets.
///
/// Endpoints of one service may differ by a factor of fifty. What is measured at a target is kept relative to these, so
/// that slow requests do not make their target look slow for quick ones.
#[derive(Debug, Default)]
pub(super) struct TypicalLatencies {
    by_endpoint: BTreeMap<String, f64>,
}

impl TypicalLatencies {
    /// Returns the typical latency of an endpoint in seconds.
    pub(super) fn get(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint).copied()
    }

    /// Takes the latency of an answer over.
    pub(super) fn note(&mut self, endpoint: &str, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        if let Some(typical) = self.by_endpoint.get_mut(endpoint) {
            *typical += TYPICAL_GAIN * (latency_s - *typical);
        } else if self.by_endpoint.len() < MAX_ENDPOINTS {
            self.by_endpoint.insert(endpoint.to_owned(), latency_s);
        }
    }

    /// Returns whether a latency is far above the typical one.
    pub(super) fn is_slow(&self, endpoint: &str, latency: Duration) -> bool {
        let typical = self.get(endpoint);
        typical.is_some_and(|typical_s| latency.as_secs_f64() > typical_s * SLOW_FACTOR)
    }
}
