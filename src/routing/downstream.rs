//! Calls that this node's target makes to other services while it serves an endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{ServiceName, TickTime};

/// Bound on the endpoints kept, because paths come from callers. `MAX_CALLS` bounds the calls of each endpoint.
const MAX_OWN_ENDPOINTS: usize = 64;
const MAX_CALLS: usize = 64;

#[derive(Debug, Default)]
pub(super) struct DownstreamMap {
    endpoints: BTreeMap<Box<str>, Vec<DownstreamCall>>,
}

#[derive(Debug)]
struct DownstreamCall {
    service: ServiceName,
    endpoint: Box<str>,
    called_at: TickTime,
}

impl DownstreamMap {
    pub(super) fn note(
        &mut self,
        now: TickTime,
        own_endpoint: &str,
        service: &ServiceName,
        endpoint: &str,
    ) {
        if !self.endpoints.contains_key(own_endpoint) {
            self.evict_oldest();
            self.endpoints.insert(own_endpoint.into(), Vec::new());
        }
        let Some(calls) = self.endpoints.get_mut(own_endpoint) else {
            return;
        };
        let mut known = calls.iter_mut();
        let known = known.find(|call| call.service == *service && *call.endpoint == *endpoint);
        if let Some(call) = known {
            call.called_at = now;
            return;
        }
        if calls.len() == MAX_CALLS
            && let Some(oldest) = (0..calls.len()).min_by_key(|index| calls[*index].called_at)
        {
            calls.swap_remove(oldest);
        }
        calls.push(DownstreamCall {
            service: service.clone(),
            endpoint: endpoint.into(),
            called_at: now,
        });
    }

    /// Returns the calls made under an endpoint within the last `memory`.
    pub(super) fn calls(
        &self,
        now: TickTime,
        memory: Duration,
        own_endpoint: &str,
    ) -> impl Iterator<Item = (&ServiceName, &str)> {
        let calls = self.endpoints.get(own_endpoint).into_iter().flatten();
        calls
            .filter(move |call| now.saturating_since(call.called_at) < memory)
            .map(|call| (&call.service, &*call.endpoint))
    }

    fn evict_oldest(&mut self) {
        if self.endpoints.len() < MAX_OWN_ENDPOINTS {
            return;
        }
        let last_call = |calls: &Vec<DownstreamCall>| calls.iter().map(|call| call.called_at).max();
        let oldest = self.endpoints.iter().min_by_key(|entry| last_call(entry.1));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.endpoints.remove(&name);
        }
    }
}
