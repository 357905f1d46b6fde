//! Admission levels reported in answers, by endpoint of a called service.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::types::{RequestPriority, TickTime};

use super::TargetKey;
use super::estimate::decay;

/// Bound on the endpoints kept for one service, because paths come from callers.
const MAX_ENDPOINTS: usize = 64;
/// Age in half-lives after which a level has decayed below every relevant priority and is ignored.
const FORGET_AFTER_HALF_LIVES: u32 = 16;

/// Levels of all targets of one service.
#[derive(Debug, Default)]
pub(super) struct LevelBook {
    endpoints: BTreeMap<Box<str>, EndpointLevels>,
}

/// Levels of the targets of one service for one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointLevels {
    samples: SecondaryMap<TargetKey, LevelSample>,
    used_at: TickTime,
}

#[derive(Debug, Clone, Copy)]
struct LevelSample {
    level: RequestPriority,
    learnt_at: TickTime,
}

impl LevelBook {
    pub(super) fn learn(
        &mut self,
        now: TickTime,
        endpoint: &str,
        key: TargetKey,
        level: RequestPriority,
    ) {
        if !self.endpoints.contains_key(endpoint) {
            self.evict_oldest();
            self.endpoints
                .insert(endpoint.into(), EndpointLevels::default());
        }
        let Some(levels) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        levels.used_at = now;
        let learnt_at = now;
        levels.samples.insert(key, LevelSample { level, learnt_at });
    }

    pub(super) fn endpoint(&self, endpoint: &str) -> Option<&EndpointLevels> {
        self.endpoints.get(endpoint)
    }

    pub(super) fn remove_target(&mut self, key: TargetKey) {
        for levels in self.endpoints.values_mut() {
            levels.samples.remove(key);
        }
    }

    fn evict_oldest(&mut self) {
        if self.endpoints.len() < MAX_ENDPOINTS {
            return;
        }
        let oldest = self.endpoints.iter().min_by_key(|entry| entry.1.used_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.endpoints.remove(&name);
        }
    }
}

impl EndpointLevels {
    /// Returns the decayed level of a target, or `None` without a recent sample.
    pub(super) fn of_target(
        &self,
        now: TickTime,
        half_life: Duration,
        key: TargetKey,
    ) -> Option<RequestPriority> {
        self.samples.get(key)?.decayed(now, half_life)
    }

    /// Returns the lower median over the targets with recent samples, so that a single target that reports an extreme
    /// level does not determine the result.
    pub(super) fn median(&self, now: TickTime, half_life: Duration) -> RequestPriority {
        let samples = self.samples.values();
        let mut levels = samples
            .filter_map(|sample| sample.decayed(now, half_life))
            .collect::<Vec<_>>();
        levels.sort_unstable();
        let middle = levels.len().saturating_sub(1) / 2;
        let median = levels.get(middle).copied();
        median.unwrap_or(RequestPriority::from_raw(0))
    }
}

impl LevelSample {
    fn decayed(self, now: TickTime, half_life: Duration) -> Option<RequestPriority> {
        let age = now - self.learnt_at;
        if age > half_life * FORGET_AFTER_HALF_LIVES {
            return None;
        }
        if self.level.as_raw() == 0 {
            return Some(self.level);
        }
        let raw = f64::from(self.level.as_raw()) * decay(age, half_life);
        Some(RequestPriority::from_raw(raw as u16))
    }
}
