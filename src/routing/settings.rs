//! Settings of target selection.

use std::time::Duration;

const DEFAULT_SLOW_START: Duration = Duration::from_secs(10);
const DEFAULT_SLOW_START_WEIGHT: f64 = 0.1;
const DEFAULT_LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);
const DEFAULT_FIRST_LATENCY: Duration = Duration::from_millis(10);
// Typical round trips are 1 to 2 ms between zones and 24 ms between regions.
const DEFAULT_ZONE_COST: Duration = Duration::from_millis(2);
const DEFAULT_REGION_COST: Duration = Duration::from_millis(24);
const DEFAULT_EJECT_AFTER_FAILURES: u32 = 5;
const DEFAULT_EJECT_MIN_ATTEMPTS: u32 = 20;
const DEFAULT_FIRST_EJECTION_DURATION: Duration = Duration::from_secs(2);
const DEFAULT_MAX_EJECTION_DURATION: Duration = Duration::from_secs(30);
const DEFAULT_OUTLIER_HOLD: Duration = Duration::from_secs(1);
const DEFAULT_LEAVING_HOLD: Duration = Duration::from_secs(5);
const DEFAULT_LEVEL_HALF_LIFE: Duration = Duration::from_secs(1);
const DEFAULT_PROBE_SHARE: f64 = 0.02;
const DEFAULT_DOWNSTREAM_MEMORY: Duration = Duration::from_secs(30);

/// How many targets of one service may be ejected at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionBound {
    /// No target is ejected.
    None,
    /// At most a third, because failures at more targets indicate a fault in a shared dependency.
    Third,
    /// All of them.
    All,
}

impl EjectionBound {
    /// Returns the bound for a service with `targets` ready targets.
    pub const fn limit(self, targets: usize) -> usize {
        match self {
            Self::None => 0,
            Self::Third => targets / 3,
            Self::All => targets,
        }
    }
}

/// Settings of a `TargetTable`.
#[derive(Debug, Clone)]
pub struct RoutingSettings {
    /// Time over which the weight of a new or recovered target rises to its full value.
    pub slow_start: Duration,
    /// Weight at the beginning of the slow start, as a fraction of the full weight.
    pub slow_start_weight: f64,
    /// Half-life of a measured latency without newer samples.
    pub latency_half_life: Duration,
    /// Latency assumed for a service before the first answer.
    pub first_latency: Duration,
    /// Network cost of a call to another zone of the region, added to its expected completion time.
    pub zone_cost: Duration,
    /// Network cost of a call to another region, added to its expected completion time.
    pub region_cost: Duration,
    /// Time that a call to another zone must save in addition to `zone_cost`, because traffic between zones is billed.
    pub zone_surcharge: Duration,
    /// Time that a call to another region must save in addition to `region_cost`, for the same reason.
    pub region_surcharge: Duration,
    /// Additional time that a call to another zone or region must save for each kilobyte of the request body.
    pub kilobyte_surcharge: Duration,
    /// Consecutive failures after which a target is ejected.
    pub eject_after_failures: u32,
    /// Minimum number of recent attempts before the failure ratio can eject a target.
    pub eject_min_attempts: u32,
    /// Duration of the first ejection. It doubles with each further ejection.
    pub first_ejection_duration: Duration,
    /// Upper bound on the duration of an ejection.
    pub max_ejection_duration: Duration,
    /// Bound on the targets of a service that are ejected at the same time.
    pub ejection_bound: EjectionBound,
    /// Time between trial requests to a target that is an outlier in latency; zero for no hold.
    pub outlier_hold: Duration,
    /// Time after a leaving notice during which a ready announcement does not make the target healthy again.
    pub leaving_hold: Duration,
    /// Half-life of an admission level reported by a target.
    pub level_half_life: Duration,
    /// Fraction of the requests below the admission level that is sent as probes.
    pub probe_share: f64,
    /// Time for which a call is remembered as downstream of an endpoint.
    pub downstream_memory: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            slow_start: DEFAULT_SLOW_START,
            slow_start_weight: DEFAULT_SLOW_START_WEIGHT,
            latency_half_life: DEFAULT_LATENCY_HALF_LIFE,
            first_latency: DEFAULT_FIRST_LATENCY,
            zone_cost: DEFAULT_ZONE_COST,
            region_cost: DEFAULT_REGION_COST,
            zone_surcharge: Duration::ZERO,
            region_surcharge: Duration::ZERO,
            kilobyte_surcharge: Duration::ZERO,
            eject_after_failures: DEFAULT_EJECT_AFTER_FAILURES,
            eject_min_attempts: DEFAULT_EJECT_MIN_ATTEMPTS,
            first_ejection_duration: DEFAULT_FIRST_EJECTION_DURATION,
            max_ejection_duration: DEFAULT_MAX_EJECTION_DURATION,
            ejection_bound: EjectionBound::Third,
            outlier_hold: DEFAULT_OUTLIER_HOLD,
            leaving_hold: DEFAULT_LEAVING_HOLD,
            level_half_life: DEFAULT_LEVEL_HALF_LIFE,
            probe_share: DEFAULT_PROBE_SHARE,
            downstream_memory: DEFAULT_DOWNSTREAM_MEMORY,
        }
    }
}
