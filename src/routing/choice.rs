//! Selection of the target of an attempt.

use std::cell::LazyCell;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngCore};

use crate::types::{NodeId, PriorityClass, RefusalReason, RequestPriority, ServiceName, TickTime};

use super::table::{PathTier, ServiceTargets, TargetEntry};
use super::{RoutingSettings, TargetKey, TargetTable};

/// Probability that a request is used to probe a target whose ejection has expired.
const PROBE_PROBABILITY: f64 = 0.1;
/// Probe probability for critical requests; lower, because they should not be put at risk while requests of other
/// classes can probe.
const CRITICAL_PROBE_PROBABILITY: f64 = 0.01;
/// Retry delay given to the caller when no target can be chosen.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// The second random candidate replaces the first only if its completion time is below this fraction of the first's.
/// Without this margin, all nodes would send to the one target that is slightly faster.
const SECOND_CANDIDATE_RATIO: f64 = 0.8;
const MIN_LEVEL_RETRY_S: f64 = 0.25;
const MAX_LEVEL_RETRY_S: f64 = 5.0;
/// Relative jitter of the retry delay, in both directions, so that refused callers do not retry together.
const RETRY_JITTER: f64 = 0.25;

/// Properties of a request that determine its target.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Called service.
    pub service: &'a ServiceName,
    /// First segment of the request path.
    pub endpoint: &'a str,
    /// Priority compared with the admission levels of the targets.
    pub priority: RequestPriority,
    /// Expected completion time up to which a nearer target is preferred to a faster one farther away; zero to prefer
    /// the faster one in any case.
    pub acceptable_completion_time: Duration,
    /// Whether the call is made on behalf of a request that is already running.
    pub is_nested: bool,
    /// Size of the request body; traffic between zones is billed.
    pub body_bytes: usize,
    /// Targets already tried by earlier attempts of this call.
    pub excluded: &'a [TargetKey],
}

/// Chosen target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// Key to pass to `start` and `record`.
    pub key: TargetKey,
    /// Node that serves the target.
    pub node_id: NodeId,
    /// Mesh address of that node.
    pub address: SocketAddr,
    /// Whether another target that was not excluded has room within its limit.
    pub has_alternative: bool,
}

/// Result of choosing a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send to this target.
    Send(RouteChoice),
    /// Refuse the request without sending it, so it has not run.
    Refuse {
        /// Reason reported to the caller.
        reason: RefusalReason,
        /// Jittered time until a retry is worthwhile.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct RouteCandidate {
    key: TargetKey,
    tier: PathTier,
    weight: f64,
    level: RequestPriority,
    is_outlier: bool,
}

/// Expected completion time of a request at one target.
#[derive(Debug, Clone, Copy)]
struct CompletionTime {
    // Compares targets at the same distance.
    same_tier_s: f64,
    // Compares targets at different distances; includes the path cost and surcharge.
    cross_tier_s: f64,
}

impl TargetTable {
    /// Chooses a target, or refuses the request if it would be shed or no target is left.
    pub fn choose(
        &mut self,
        now: TickTime,
        request: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> RouteDecision {
        self.note_called(now, request.service);
        let Some(service) = self.by_service.get(request.service) else {
            return refuse(
                self.absence_reason(now, request.service),
                NO_TARGET_RETRY,
                rng,
            );
        };
        for key in &service.keys {
            self.targets[*key].refresh(now, &self.settings);
        }
        let mut candidates = self.candidates(now, service, request);
        if let Some(refusal) = self.apply_admission_levels(request.priority, &mut candidates, rng) {
            return refusal;
        }
        let is_last_resort = candidates.is_empty();
        let probe = self.recovery_probe(service, request, is_last_resort, rng);
        let chosen =
            probe.or_else(|| self.choose_candidate(now, service, &candidates, request, rng));
        chosen.map_or_else(
            || refuse(RefusalReason::NoTarget, NO_TARGET_RETRY, &mut *rng),
            |key| {
                let mut others = candidates.iter().filter(|other| other.key != key);
                let has_room = |other: &RouteCandidate| !self.targets[other.key].is_limited(now);
                self.send(key, others.any(has_room))
            },
        )
    }

    fn absence_reason(&self, now: TickTime, service: &ServiceName) -> RefusalReason {
        if self.was_asked_for(now, service) {
            RefusalReason::UnknownService
        } else {
            RefusalReason::NoTarget
        }
    }

    fn send(&self, key: TargetKey, has_alternative: bool) -> RouteDecision {
        let target = &self.targets[key];
        RouteDecision::Send(RouteChoice {
            key,
            node_id: target.node_id,
            address: target.address,
            has_alternative,
        })
    }

    fn candidates(
        &self,
        now: TickTime,
        service: &ServiceTargets,
        request: &RouteRequest<'_>,
    ) -> Vec<RouteCandidate> {
        let half_life = self.settings.level_half_life;
        let levels = service.levels.endpoint(request.endpoint);
        // Computed lazily: the median sorts all levels and is only needed for targets without a recent sample.
        let median = LazyCell::new(|| levels.map(|levels| levels.median(now, half_life)));
        let level_of = |key: TargetKey| {
            let own = levels.and_then(|levels| levels.of_target(now, half_life, key));
            let level = own.or_else(|| *median);
            level.unwrap_or(RequestPriority::from_raw(0))
        };
        let keys = service.keys.iter().copied();
        let keys = keys.filter(|key| !request.excluded.contains(key));
        let targets = keys.map(|key| (key, &self.targets[key]));
        let candidates = targets.filter(|(_, target)| target.is_candidate());
        let mut candidates = candidates
            .map(|(key, target)| RouteCandidate {
                key,
                tier: target.tier,
                weight: target.weight(now, &self.settings),
                level: level_of(key),
                is_outlier: target.is_latency_outlier(now),
            })
            .collect();
        self.remove_limited(now, &mut candidates);
        remove_outliers(&mut candidates);
        candidates
    }

    /// Removes targets whose limit admits no request at present, unless all are limited.
    fn remove_limited(&self, now: TickTime, candidates: &mut Vec<RouteCandidate>) {
        let has_room = |candidate: &RouteCandidate| !self.targets[candidate.key].is_limited(now);
        if candidates.iter().any(has_room) {
            candidates.retain(has_room);
        }
    }

    /// Removes candidates whose admission level is above the request's priority; refuses the request if none is left.
    fn apply_admission_levels(
        &self,
        priority: RequestPriority,
        candidates: &mut Vec<RouteCandidate>,
        rng: &mut dyn RngCore,
    ) -> Option<RouteDecision> {
        let levels = candidates.iter().map(|candidate| candidate.level);
        let (lowest, highest) = (levels.clone().min()?, levels.max()?);
        if highest <= priority {
            return None;
        }
        // A request must not be sent as a probe while the level sheds requests of a higher class.
        let is_probe = rng.random_bool(self.settings.probe_share.clamp(0.0, 1.0));
        if is_probe && priority.class() >= highest.class() {
            return None;
        }
        if lowest > priority {
            let delay = time_until_admitted(lowest, priority, self.settings.level_half_life);
            return Some(refuse(RefusalReason::AdmissionLevel, delay, rng));
        }
        candidates.retain(|candidate| candidate.level <= priority);
        None
    }

    fn recovery_probe(
        &self,
        service: &ServiceTargets,
        request: &RouteRequest<'_>,
        is_last_resort: bool,
        rng: &mut dyn RngCore,
    ) -> Option<TargetKey> {
        let mut keys = service.keys.iter().copied();
        let key = keys.find(|key| {
            self.targets[*key].is_awaiting_probe() && !request.excluded.contains(key)
        })?;
        let chance = if is_last_resort {
            1.0
        } else if request.priority.class() == PriorityClass::Critical {
            CRITICAL_PROBE_PROBABILITY
        } else {
            PROBE_PROBABILITY
        };
        rng.random_bool(chance).then_some(key)
    }

    /// Takes the better of two random candidates at each distance. Returns the nearest if it is expected to complete
    /// within `request.acceptable_completion_time`; otherwise a farther one replaces it if its expected completion is
    /// earlier.
    fn choose_candidate(
        &self,
        now: TickTime,
        service: &ServiceTargets,
        candidates: &[RouteCandidate],
        request: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<TargetKey> {
        let typical_s = service.typical.get(request.endpoint);
        let completion = |key: TargetKey| {
            let target = &self.targets[key];
            target.completion(now, typical_s, request, &self.settings)
        };
        let mut chosen: Option<(TargetKey, CompletionTime)> = None;
        for tier in PathTier::ALL {
            let Some(best) = best_of_two(candidates, tier, &completion, rng) else {
                continue;
            };
            if best.1.cross_tier_s <= request.acceptable_completion_time.as_secs_f64()
                && chosen.is_none()
            {
                return Some(best.0);
            }
            if chosen.is_none_or(|nearer| best.1.cross_tier_s < nearer.1.cross_tier_s) {
                chosen = Some(best);
            }
        }
        chosen.map(|(key, _)| key)
    }
}

impl TargetEntry {
    fn completion(
        &self,
        now: TickTime,
        typical_s: Option<f64>,
        request: &RouteRequest<'_>,
        settings: &RoutingSettings,
    ) -> CompletionTime {
        let half_life = settings.latency_half_life;
        let first_s = settings.first_latency.as_secs_f64();
        let scaled_s = self.estimate.service_time(now, half_life, first_s);
        let service_s = scaled_s * typical_s.map_or(1.0, |typical_s| typical_s / first_s);
        let wait_s = self.estimate.wait(now, request.is_nested);
        let in_flight = f64::from(self.in_flight);
        let path = self.tier.cost(settings) + self.tier.surcharge(request.body_bytes, settings);
        let path_s = path.as_secs_f64();
        let occupied = in_flight / f64::from(self.slots);
        CompletionTime {
            same_tier_s: service_s * (in_flight + 1.0) + wait_s,
            cross_tier_s: service_s * (1.0 + occupied) + wait_s + path_s,
        }
    }
}

/// Removes outliers, unless they are more than a third of the candidates: the rest could not take over their load.
fn remove_outliers(candidates: &mut Vec<RouteCandidate>) {
    let outliers = candidates.iter().filter(|candidate| candidate.is_outlier);
    if outliers.count() <= candidates.len() / 3 {
        candidates.retain(|candidate| !candidate.is_outlier);
    }
}

fn best_of_two(
    candidates: &[RouteCandidate],
    tier: PathTier,
    completion: &dyn Fn(TargetKey) -> CompletionTime,
    rng: &mut dyn RngCore,
) -> Option<(TargetKey, CompletionTime)> {
    let in_tier = || candidates.iter().filter(|candidate| candidate.tier == tier);
    let total = in_tier().map(|candidate| candidate.weight).sum::<f64>();
    let first = pick_weighted(in_tier(), total, rng)?;
    let second = pick_weighted(in_tier(), total, rng)?;
    let (first, second) = (
        (first.key, completion(first.key)),
        (second.key, completion(second.key)),
    );
    if second.1.same_tier_s < first.1.same_tier_s * SECOND_CANDIDATE_RATIO {
        Some(second)
    } else {
        Some(first)
    }
}

fn pick_weighted<'a>(
    candidates: impl Iterator<Item = &'a RouteCandidate>,
    total: f64,
    rng: &mut dyn RngCore,
) -> Option<RouteCandidate> {
    let mut point = rng.random::<f64>() * total;
    let mut last = None;
    for candidate in candidates {
        last = Some(*candidate);
        point -= candidate.weight;
        if point < 0.0 {
            break;
        }
    }
    last
}

/// Returns the time until a decaying level falls to the priority, clamped to the bounds on the retry delay.
fn time_until_admitted(
    level: RequestPriority,
    priority: RequestPriority,
    half_life: Duration,
) -> Duration {
    let ratio = f64::from(level.as_raw()) / f64::from(priority.as_raw().max(1));
    let seconds = ratio.max(1.0).log2() * half_life.as_secs_f64();
    Duration::from_secs_f64(seconds.clamp(MIN_LEVEL_RETRY_S, MAX_LEVEL_RETRY_S))
}

fn refuse(reason: RefusalReason, delay: Duration, rng: &mut dyn RngCore) -> RouteDecision {
    let factor = 1.0 + RETRY_JITTER * (2.0 * rng.random::<f64>() - 1.0);
    RouteDecision::Refuse {
        reason,
        retry_after: delay.mul_f64(factor),
    }
}
