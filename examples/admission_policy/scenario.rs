//! Load scenarios and the generation of their arrivals.

use ebonyjunction::types::{PriorityClass, RequestPriority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Share of the requests that the upstream node sends even if they are below the known admission level.
const PROBE_SHARE: f64 = 0.02;
/// Time from arrival to deadline, by the index of the priority class.
const DEADLINES_S: [f64; 4] = [1.0, 1.0, 2.0, 2.0];

/// How service time depends on concurrency.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TargetModel {
    /// Every request runs at full speed.
    Independent,
    /// Up to this many requests run at full speed; more of them share the total speed equally.
    Shared(f64),
    /// As `Shared`, and the total speed also falls with the square root of the ratio of running requests to this number.
    Thrashing(f64),
    /// Every request runs at full speed, and requests above this number fail immediately.
    Failing(usize),
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) slots: u32,
    pub(crate) service_s: f64,
    /// Standard deviation of the logarithm of the service time.
    pub(crate) noise: f64,
    /// Offered load outside the slowdown, as a share of the capacity.
    pub(crate) load: f64,
    pub(crate) model: TargetModel,
    pub(crate) slow_from_s: f64,
    pub(crate) slow_until_s: f64,
    /// Speed of the target during the slowdown, as a share of its full speed.
    pub(crate) slow_speed: f64,
    /// Factor by which the arrival rate rises during the slowdown.
    pub(crate) demand_factor: f64,
    /// Time from the start over which the speed rises linearly from a fifth to full speed.
    pub(crate) cold_s: f64,
    /// Share of read, interactive, upload and critical requests.
    pub(crate) mix: [f64; 4],
    pub(crate) end_s: f64,
    /// Whether an upstream node refuses requests below the last known admission level.
    pub(crate) has_upstream: bool,
}

pub(crate) const SURGE: Scenario = Scenario {
    name: "surge",
    slots: 35,
    service_s: 0.05,
    noise: 0.8,
    load: 0.6,
    model: TargetModel::Independent,
    slow_from_s: 10.0,
    slow_until_s: 30.0,
    slow_speed: 0.25,
    demand_factor: 2.0,
    cold_s: 0.0,
    mix: [0.5, 0.2, 0.1, 0.2],
    end_s: 45.0,
    has_upstream: false,
};

pub(crate) const SCENARIOS: &[Scenario] = &[
    SURGE,
    Scenario {
        name: "surge_upstream",
        has_upstream: true,
        ..SURGE
    },
    Scenario {
        name: "surge_small",
        slots: 10,
        service_s: 0.2,
        ..SURGE
    },
    Scenario {
        name: "surge_shared",
        model: TargetModel::Shared(12.0),
        service_s: 0.02,
        ..SURGE
    },
    Scenario {
        name: "surge_thrashing",
        model: TargetModel::Thrashing(12.0),
        service_s: 0.02,
        ..SURGE
    },
    Scenario {
        name: "surge_failing",
        model: TargetModel::Failing(12),
        ..SURGE
    },
    Scenario {
        name: "surge_flood",
        demand_factor: 6.0,
        has_upstream: true,
        ..SURGE
    },
    Scenario {
        name: "surge_critical",
        mix: [0.3, 0.1, 0.0, 0.6],
        ..SURGE
    },
    Scenario {
        name: "surge_reads",
        mix: [1.0, 0.0, 0.0, 0.0],
        has_upstream: true,
        ..SURGE
    },
    Scenario {
        name: "steady_noisy",
        noise: 1.6,
        load: 0.7,
        slow_until_s: 10.0,
        ..SURGE
    },
    Scenario {
        name: "cold_start",
        cold_s: 10.0,
        load: 0.5,
        slow_until_s: 10.0,
        ..SURGE
    },
    Scenario {
        name: "low_load",
        slots: 10,
        load: 0.02,
        slow_until_s: 10.0,
        ..SURGE
    },
];

impl Scenario {
    pub(crate) fn is_slow(&self, now: f64) -> bool {
        (self.slow_from_s..self.slow_until_s).contains(&now)
    }

    /// Returns the requests per second that the target can serve at full speed.
    pub(crate) fn capacity(&self) -> f64 {
        let parallel = match self.model {
            TargetModel::Independent => f64::from(self.slots),
            TargetModel::Shared(cores) | TargetModel::Thrashing(cores) => cores,
            TargetModel::Failing(most) => most as f64,
        };
        parallel / self.service_s
    }

    pub(crate) fn speed(&self, now: f64, running: usize) -> f64 {
        let shared = match self.model {
            TargetModel::Independent | TargetModel::Failing(_) => 1.0,
            TargetModel::Shared(cores) => (cores / running.max(1) as f64).min(1.0),
            TargetModel::Thrashing(cores) => (cores / running.max(1) as f64).min(1.0).powf(1.5),
        };
        let slowed = if self.is_slow(now) {
            self.slow_speed
        } else {
            1.0
        };
        let warm = if now < self.cold_s {
            0.2 + 0.8 * now / self.cold_s
        } else {
            1.0
        };
        shared * slowed * warm
    }

    /// Returns whether a request that starts beside `working` others fails immediately.
    pub(crate) fn fails(&self, working: usize) -> bool {
        matches!(self.model, TargetModel::Failing(most) if working >= most)
    }

    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut now = 0.0;
        while now < self.end_s {
            let factor = if self.is_slow(now) {
                self.demand_factor
            } else {
                1.0
            };
            let rate = self.capacity() * self.load * factor;
            now -= (1.0 - rng.random::<f64>()).ln() / rate;
            let class = pick_class(&self.mix, rng.random());
            // This shift gives the lognormal factor a mean of 1.
            let shift = -self.noise * self.noise / 2.0;
            let work = self.service_s * (normal(&mut rng) * self.noise + shift).exp();
            let hash: u16 = rng.random::<u16>() >> 2;
            arrivals.push(Arrival {
                at: now,
                deadline: now + DEADLINES_S[class.index()],
                priority: RequestPriority::from_raw(((class as u16) << 14) | hash),
                is_probe: rng.random_bool(PROBE_SHARE),
                work,
            });
        }
        arrivals
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) deadline: f64,
    pub(crate) priority: RequestPriority,
    pub(crate) is_probe: bool,
    pub(crate) work: f64,
}

pub(crate) fn pick_class(mix: &[f64; 4], mut point: f64) -> PriorityClass {
    for class in PriorityClass::ALL {
        if point < mix[class.index()] {
            return class;
        }
        point -= mix[class.index()];
    }
    PriorityClass::Critical
}

/// Returns a sample of the standard normal distribution (Box-Muller transform).
pub(crate) fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
