//! Paces of the requests at the local target that call services whose limits are used up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::admission::CallPace;
use crate::types::{ServiceName, TickTime};

use super::state::lock;

/// Bound on the routes whose calls are remembered.
const MAX_ROUTES: usize = 1_024;

/// Outcome of a call as far as limits go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitedCall {
    /// All targets refused it because of their limits.
    Refused,
    /// A target with a limit served it.
    Served,
    /// A target without a limit served it.
    Unlimited,
}

/// Paces by called service, and the routes whose requests call it.
#[derive(Debug, Default)]
pub(super) struct CallPaces {
    state: Mutex<PaceState>,
}

#[derive(Debug, Default)]
struct PaceState {
    by_service: BTreeMap<ServiceName, CallPace>,
    calls: BTreeMap<Arc<str>, BTreeSet<ServiceName>>,
}

impl CallPaces {
    /// Returns whether any service has a pace. Without one, the routes of requests need not be known.
    pub(super) fn are_in_use(&self, now: TickTime) -> bool {
        let mut state = lock(&self.state);
        let PaceState { by_service, calls } = &mut *state;
        by_service.retain(|_, pace| pace.is_in_force(now));
        if by_service.is_empty() {
            calls.clear();
        }
        !by_service.is_empty()
    }

    /// Records a call of a request on `route`, which is unknown for a request that started before any pace.
    pub(super) fn record(
        &self,
        now: TickTime,
        route: Option<Arc<str>>,
        service: &ServiceName,
        urgency: u32,
        call: LimitedCall,
    ) {
        let mut state = lock(&self.state);
        match call {
            LimitedCall::Refused => {
                let pace = state.by_service.entry(service.clone()).or_default();
                pace.record_refused(now, urgency);
                if let Some(route) = route
                    && (state.calls.len() < MAX_ROUTES || state.calls.contains_key(&route))
                {
                    let services = state.calls.entry(route).or_default();
                    services.insert(service.clone());
                }
            }
            LimitedCall::Served => {
                if let Some(pace) = state.by_service.get_mut(service) {
                    pace.record_served(urgency);
                }
            }
            LimitedCall::Unlimited => {
                if let Some(pace) = state.by_service.get_mut(service) {
                    pace.clear();
                }
            }
        }
    }

    /// Admits a request on a route, or returns the time until the next one may start.
    pub(super) fn admit(&self, now: TickTime, route: &str, urgency: u32) -> Result<(), Duration> {
        let mut state = lock(&self.state);
        let PaceState { by_service, calls } = &mut *state;
        let mut longest = None;
        for service in calls.get(route).into_iter().flatten() {
            if let Some(pace) = by_service.get_mut(service) {
                longest = longest.max(pace.admit(now, urgency).err());
            }
        }
        longest.map_or(Ok(()), Err)
    }
}
