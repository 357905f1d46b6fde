//! Typical latencies of the endpoints of a service.

use std::collections::BTreeMap;
use std::time::Duration;

/// Smoothing factor of the typical latency of an endpoint.
const TYPICAL_GAIN: f64 = 0.05;
/// Multiple of the typical latency from which an answer counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Maximum number of endpoints of a service with a typical latency of their own. Further ones are treated as having
/// `RoutingSettings::first_latency`.
const MAX_ENDPOINTS: usize = 1_024;

/// Moving average of the latency of each endpoint of a service, over all its targets.
///
/// Endpoints of one service may differ by a factor of fifty. Latencies measured at a target are normalized by these
/// averages, so that requests to slow endpoints do not make the target appear slow for fast ones.
#[derive(Debug, Default)]
pub(super) struct TypicalLatencies {
    by_endpoint: BTreeMap<String, f64>,
}

impl TypicalLatencies {
    /// Returns the typical latency of an endpoint in seconds.
    pub(super) fn get(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint).copied()
    }

    /// Adds the latency of an answer to the average of its endpoint.
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
