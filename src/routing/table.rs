//! Table of the known targets with the load, latency and health that this node observed for each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::types::{NodeId, RegionName, RequestPriority, ServiceName, TickTime, ZoneName};

use super::downstream::DownstreamMap;
use super::estimate::{AttemptSample, TargetEstimate};
use super::health::{HealthEvent, HealthMachine, LoadReport, SendResult, State, new_machine};
use super::levels::LevelBook;
use super::typical::TypicalLatencies;
use super::{DirectoryUpdate, RoutingSettings, TargetKey, TargetRecord, TargetState};

/// Lower bound on a typical latency when it is used as a divisor, in seconds.
const MIN_TYPICAL_LATENCY_S: f64 = 0.000_01;
/// Consecutive slow answers after which a target is treated as an outlier.
const OUTLIER_SLOW_ANSWERS: u8 = 3;
/// Bound on the set of called services. Only services that callers hold a grant for are added.
const MAX_CALLED_SERVICES: usize = 1_024;

/// Time allowed for the directory to include a newly called service: three heartbeats.
const DIRECTORY_DELAY: Duration = Duration::from_secs(3);

/// Time after which a limited target is tried again, however long it expects requests to wait.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(2);

/// Network distance from this node to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PathTier {
    SameZone,
    SameRegion,
    OtherRegion,
}

const BYTES_PER_KILOBYTE: f64 = 1_024.0;

impl PathTier {
    /// All distances, nearest first.
    pub(super) const ALL: [Self; 3] = [Self::SameZone, Self::SameRegion, Self::OtherRegion];

    pub(super) const fn cost(self, settings: &RoutingSettings) -> Duration {
        match self {
            Self::SameZone => Duration::ZERO,
            Self::SameRegion => settings.zone_cost,
            Self::OtherRegion => settings.region_cost,
        }
    }

    pub(super) fn surcharge(self, body_bytes: usize, settings: &RoutingSettings) -> Duration {
        let by_distance = match self {
            Self::SameZone => return Duration::ZERO,
            Self::SameRegion => settings.zone_surcharge,
            Self::OtherRegion => settings.region_surcharge,
        };
        let kilobytes = body_bytes as f64 / BYTES_PER_KILOBYTE;
        by_distance + settings.kilobyte_surcharge.mul_f64(kilobytes)
    }

    /// Subtracts the configured path cost from a measured latency. The actual path may be faster than the configured
    /// cost, so at least `MIN_TARGET_FRACTION` of the latency is always attributed to the target.
    fn target_latency(self, latency: Duration, settings: &RoutingSettings) -> Duration {
        let rest = latency.saturating_sub(self.cost(settings));
        rest.max(latency.mul_f64(MIN_TARGET_FRACTION))
    }
}

/// Directory entry of one target and the state that this node keeps for it.
#[derive(Debug)]
pub(super) struct TargetEntry {
    pub(super) node_id: NodeId,
    pub(super) address: SocketAddr,
    service: ServiceName,
    pub(super) slots: u32,
    pub(super) tier: PathTier,
    state: TargetState,
    pub(super) in_flight: u32,
    slow_start_began_at: TickTime,
    pub(super) estimate: TargetEstimate,
    health: HealthMachine,
    slow_answers: u8,
    next_probe_at: TickTime,
    /// Time until which the target's limit admits no request.
    limited_until: TickTime,
}

/// Targets of one service, with their admission levels and the typical latencies of its endpoints.
#[derive(Debug, Default)]
pub(super) struct ServiceTargets {
    pub(super) keys: Vec<TargetKey>,
    pub(super) levels: LevelBook,
    pub(super) typical: TypicalLatencies,
}

/// Smallest fraction of a measured latency that is attributed to the target rather than to the path.
const MIN_TARGET_FRACTION: f64 = 0.25;

/// Directory of targets with this node's measurements; chooses the target of each attempt.
#[derive(Debug)]
pub struct TargetTable {
    pub(super) settings: RoutingSettings,
    zone: ZoneName,
    region: RegionName,
    pub(super) targets: SlotMap<TargetKey, TargetEntry>,
    by_node: BTreeMap<NodeId, TargetKey>,
    pub(super) by_service: BTreeMap<ServiceName, ServiceTargets>,
    called: BTreeMap<ServiceName, TickTime>,
    downstream: DownstreamMap,
}

impl TargetTable {
    /// Creates an empty table for a node in a zone of a region.
    pub fn new(settings: RoutingSettings, zone: ZoneName, region: RegionName) -> Self {
        Self {
            settings,
            zone,
            region,
            targets: SlotMap::with_key(),
            by_node: BTreeMap::new(),
            by_service: BTreeMap::new(),
            called: BTreeMap::new(),
            downstream: DownstreamMap::default(),
        }
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether a target in the table belongs to a node with this mesh address.
    pub fn contains_node_address(&self, address: SocketAddr) -> bool {
        self.targets
            .values()
            .any(|target| target.address == address)
    }

    /// Finds the target that a node serves.
    pub fn key_of(&self, node_id: NodeId) -> Option<TargetKey> {
        self.by_node.get(&node_id).copied()
    }

    /// Applies a directory update. The measurements of a target are kept while its node stays listed with the same
    /// service and the target does not return to ready from another state.
    pub fn apply_update(&mut self, now: TickTime, update: DirectoryUpdate) {
        let DirectoryUpdate {
            full,
            changed,
            removed,
        } = update;
        for node_id in removed {
            self.remove_node(node_id);
        }
        if full {
            self.remove_unlisted(&changed);
        }
        for record in changed {
            self.apply_record(now, &record);
        }
        self.enforce_ejection_bound();
    }

    fn remove_unlisted(&mut self, listed: &[TargetRecord]) {
        let listed = listed
            .iter()
            .map(|record| record.node_id)
            .collect::<BTreeSet<_>>();
        let nodes = self.by_node.keys().copied();
        for node_id in nodes.collect::<Vec<_>>() {
            if !listed.contains(&node_id) {
                self.remove_node(node_id);
            }
        }
    }

    fn remove_node(&mut self, node_id: NodeId) {
        let Some(key) = self.by_node.remove(&node_id) else {
            return;
        };
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        if let Some(service) = self.by_service.get_mut(&target.service) {
            service.keys.retain(|other| *other != key);
            service.levels.remove_target(key);
        }
    }

    fn apply_record(&mut self, now: TickTime, record: &TargetRecord) {
        let known = self.by_node.get(&record.node_id).copied();
        let is_same_service = known
            .and_then(|key| self.targets.get(key))
            .is_some_and(|target| target.service == record.service);
        if known.is_some() && !is_same_service {
            self.remove_node(record.node_id);
        }
        let key = self.by_node.get(&record.node_id).copied();
        let key = key.unwrap_or_else(|| self.insert_record(now, record));
        let tier = self.tier_of(record);
        let settings = &self.settings;
        if let Some(target) = self.targets.get_mut(key) {
            target.tier = tier;
            target.update(now, record, settings);
        }
    }

    fn insert_record(&mut self, now: TickTime, record: &TargetRecord) -> TargetKey {
        let known = self.by_service.get_key_value(&record.service);
        // One allocation of the name is shared by all targets of the service.
        let service = known.map_or_else(|| record.service.clone(), |(name, _)| name.clone());
        let key = self.targets.insert(TargetEntry {
            node_id: record.node_id,
            address: record.address,
            service: service.clone(),
            slots: record.slots.max(1),
            tier: self.tier_of(record),
            state: record.state,
            in_flight: 0,
            slow_start_began_at: now,
            estimate: TargetEstimate::default(),
            health: new_machine(&self.settings),
            slow_answers: 0,
            next_probe_at: now,
            limited_until: now,
        });
        self.by_node.insert(record.node_id, key);
        self.by_service.entry(service).or_default().keys.push(key);
        key
    }

    fn tier_of(&self, record: &TargetRecord) -> PathTier {
        if record.region != self.region {
            PathTier::OtherRegion
        } else if record.zone != self.zone {
            PathTier::SameRegion
        } else {
            PathTier::SameZone
        }
    }

    // The limit falls when targets leave, so some ejected targets may have to be reinstated.
    fn enforce_ejection_bound(&mut self) {
        for service in self.by_service.values() {
            let limit = ejection_limit(&self.targets, service, &self.settings);
            let ejected = service.keys.iter().copied();
            let ejected = ejected.filter(|key| self.targets[*key].is_ejected());
            for key in ejected.skip(limit).collect::<Vec<_>>() {
                self.targets[key].handle(&HealthEvent::Reinstate, &self.settings);
            }
        }
    }

    /// Counts an attempt in flight.
    pub fn start(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
        }
    }

    /// Ends an attempt without recording a success or failure for its target.
    pub fn cancel_started(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records the time until the target's limit admits another request.
    pub fn record_limit_wait(&mut self, now: TickTime, key: TargetKey, wait: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            target.limited_until = now + wait.min(MAX_LIMIT_WAIT);
        }
    }

    /// Ends an attempt and updates the target's levels, latency estimate and health from its result.
    pub fn record(
        &mut self,
        now: TickTime,
        key: TargetKey,
        endpoint: &str,
        latency: Duration,
        result: SendResult,
        report: &LoadReport,
    ) {
        self.cancel_started(key);
        let may_eject = result.verdict() == Some(false) && self.may_eject(key);
        let settings = &self.settings;
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(service) = self.by_service.get_mut(&target.service) else {
            return;
        };
        if let Some(level) = report.level {
            service.levels.learn(now, endpoint, key, level);
        }
        if report.leaving || result.is_leaving() {
            target.handle(&HealthEvent::Leaving { now }, settings);
        }
        let first_s = settings.first_latency.as_secs_f64();
        // Before the first sample of an endpoint, its own latency serves as the typical one.
        let own_latency = target.tier.target_latency(latency, settings);
        let typical_s = service.typical.get(endpoint);
        let typical_s = typical_s.unwrap_or(own_latency.as_secs_f64());
        let scale = first_s / typical_s.max(MIN_TYPICAL_LATENCY_S);
        target.estimate.record_wait(now, report, scale);
        let Some(is_success) = result.verdict() else {
            return;
        };
        let sample = AttemptSample {
            latency: own_latency,
            is_failure: !is_success,
        };
        target
            .estimate
            .add(now, settings.latency_half_life, sample, scale);
        if is_success {
            let is_slow = service.typical.is_slow(endpoint, sample.latency);
            target.record_slowness(now, is_slow, settings);
            service.typical.note(endpoint, sample.latency);
        }
        let event = HealthEvent::Verdict {
            now,
            is_success,
            may_eject,
        };
        target.apply_health_event(now, &event, settings);
    }

    fn may_eject(&self, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        let Some(service) = self.by_service.get(&target.service) else {
            return false;
        };
        let others = service.keys.iter().filter(|other| **other != key);
        let ejected = others.filter(|other| self.targets[**other].is_ejected());
        ejected.count() < ejection_limit(&self.targets, service, &self.settings)
    }

    /// Records that requests to an endpoint of this node's target call `endpoint` of `service`.
    pub fn note_downstream(
        &mut self,
        now: TickTime,
        own_endpoint: &str,
        service: &ServiceName,
        endpoint: &str,
    ) {
        self.downstream.note(now, own_endpoint, service, endpoint);
    }

    /// Returns the admission level to report for an endpoint of this node's target: the maximum of `own_level` and the
    /// levels learnt for the downstream calls of that endpoint.
    pub fn advertised_level(
        &self,
        now: TickTime,
        own_endpoint: &str,
        own_level: RequestPriority,
    ) -> RequestPriority {
        let memory = self.settings.downstream_memory;
        let calls = self.downstream.calls(now, memory, own_endpoint);
        let levels = calls.map(|(service, endpoint)| self.learnt_level(now, service, endpoint));
        levels.fold(own_level, RequestPriority::max)
    }

    /// Returns the median of the decayed admission levels that the targets of a service reported for an endpoint.
    pub fn learnt_level(
        &self,
        now: TickTime,
        service: &ServiceName,
        endpoint: &str,
    ) -> RequestPriority {
        let service = self.by_service.get(service);
        let levels = service.and_then(|service| service.levels.endpoint(endpoint));
        levels.map_or(RequestPriority::from_raw(0), |levels| {
            levels.median(now, self.settings.level_half_life)
        })
    }

    /// Returns the services that this node has called, known to the directory or not. When the
    /// set has grown, the next heartbeat must ask for the full directory (revision 0).
    pub fn called_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.called.keys()
    }

    pub(super) fn note_called(&mut self, now: TickTime, service: &ServiceName) {
        if !self.called.contains_key(service) && self.called.len() < MAX_CALLED_SERVICES {
            self.called.insert(service.clone(), now);
        }
    }

    /// Returns whether enough time has passed since the first call of a service for the directory to include it.
    pub(super) fn was_asked_for(&self, now: TickTime, service: &ServiceName) -> bool {
        let first_call = self.called.get(service);
        first_call.is_some_and(|at| now.saturating_since(*at) >= DIRECTORY_DELAY)
    }
}

fn ejection_limit(
    targets: &SlotMap<TargetKey, TargetEntry>,
    service: &ServiceTargets,
    settings: &RoutingSettings,
) -> usize {
    let keys = service.keys.iter();
    let ready = keys.filter(|key| targets[**key].is_ready()).count();
    settings.ejection_bound.limit(ready)
}

impl TargetEntry {
    fn update(&mut self, now: TickTime, record: &TargetRecord, settings: &RoutingSettings) {
        self.address = record.address;
        self.slots = record.slots.max(1);
        let was_ready = self.state == TargetState::Ready;
        self.state = record.state;
        match record.state {
            TargetState::Ready => {
                self.handle(&HealthEvent::AnnouncedReady, settings);
                if !was_ready {
                    self.handle(&HealthEvent::Reinstate, settings);
                    self.restart_slow_start(now);
                }
            }
            TargetState::Leaving => self.handle(&HealthEvent::Leaving { now }, settings),
            TargetState::Down => {}
        }
    }

    // Counts consecutive slow answers, because a single one may be due to its request.
    fn record_slowness(&mut self, now: TickTime, is_slow: bool, settings: &RoutingSettings) {
        self.slow_answers = if is_slow {
            self.slow_answers.saturating_add(1)
        } else {
            0
        };
        self.next_probe_at = now + settings.outlier_hold;
    }

    /// Returns whether the target is an outlier in latency and not yet due for a probe request.
    pub(super) fn is_latency_outlier(&self, now: TickTime) -> bool {
        let is_slow = self.slow_answers >= OUTLIER_SLOW_ANSWERS;
        is_slow && (now < self.next_probe_at || self.in_flight > 0)
    }

    fn restart_slow_start(&mut self, now: TickTime) {
        self.slow_start_began_at = now;
        self.slow_answers = 0;
        self.estimate.reset();
    }

    fn handle(&mut self, event: &HealthEvent, settings: &RoutingSettings) {
        let mut context = settings;
        self.health.handle_with_context(event, &mut context);
    }

    // A target that becomes healthy again begins a new slow start.
    fn apply_health_event(
        &mut self,
        now: TickTime,
        event: &HealthEvent,
        settings: &RoutingSettings,
    ) {
        let was_healthy = self.is_healthy();
        self.handle(event, settings);
        if !was_healthy && self.is_healthy() {
            self.restart_slow_start(now);
        }
    }

    /// Applies the time-based health transitions that are due.
    pub(super) fn refresh(&mut self, now: TickTime, settings: &RoutingSettings) {
        if !self.is_healthy() {
            self.apply_health_event(now, &HealthEvent::Elapsed { now }, settings);
        }
    }

    fn is_healthy(&self) -> bool {
        matches!(self.health.state(), State::Healthy {})
    }

    /// Returns whether the target's limit admits no request at present.
    pub(super) fn is_limited(&self, now: TickTime) -> bool {
        now < self.limited_until
    }

    fn is_ready(&self) -> bool {
        self.state == TargetState::Ready && !matches!(self.health.state(), State::Leaving { .. })
    }

    fn is_ejected(&self) -> bool {
        let state = self.health.state();
        matches!(state, State::Ejected { .. } | State::Probing {})
    }

    pub(super) fn is_candidate(&self) -> bool {
        self.state == TargetState::Ready && self.is_healthy()
    }

    pub(super) fn is_awaiting_probe(&self) -> bool {
        let is_probing = matches!(self.health.state(), State::Probing {});
        self.state == TargetState::Ready && is_probing && self.in_flight == 0
    }

    /// Returns the weight for random selection: the number of slots, reduced during the slow start.
    pub(super) fn weight(&self, now: TickTime, settings: &RoutingSettings) -> f64 {
        let span = settings.slow_start.as_secs_f64().max(f64::EPSILON);
        let progress = (now - self.slow_start_began_at).as_secs_f64() / span;
        let first = settings.slow_start_weight;
        f64::from(self.slots) * (first + (1.0 - first) * progress).min(1.0)
    }
}
