//! Computes the figures of a finished simulation.

use ebonyjunction::types::PriorityClass;

use crate::simulation::Simulation;

/// Share of the arrivals of a window that must be answered in time for the target to count as recovered.
const RECOVERED: f64 = 0.95;
/// Length of the arrival window in which the success share is measured for the recovery time.
const RECOVERY_WINDOW_S: f64 = 0.5;
/// Time from the start of the slowdown until the admission level counts as settled.
const SETTLE_S: f64 = 5.0;
/// Smallest change of the admission level that counts as a swing, in units of one priority class.
const SWING: f64 = 0.5;

impl Simulation<'_> {
    fn is_good(&self, index: usize) -> bool {
        self.answered[index].is_some_and(|at| at <= self.arrivals[index].deadline)
    }

    /// Returns the answers per second that were given within their deadline during a period.
    fn goodput(&self, from: f64, until: f64) -> f64 {
        let in_period = |index: &usize| {
            self.answered[*index].is_some_and(|at| (from..until).contains(&at))
                && self.is_good(*index)
        };
        (0..self.arrivals.len()).filter(in_period).count() as f64 / (until - from)
    }

    /// Returns the share of the requests arriving in a period that are answered within their deadline.
    fn success(&self, from: f64, until: f64, class: Option<PriorityClass>) -> f64 {
        let arrived: Vec<usize> = (0..self.arrivals.len())
            .filter(|&index| (from..until).contains(&self.arrivals[index].at))
            .filter(|&index| {
                class.is_none_or(|class| self.arrivals[index].priority.class() == class)
            })
            .collect();
        let good = arrived.iter().filter(|&&index| self.is_good(index)).count();
        good as f64 / arrived.len().max(1) as f64
    }

    /// Returns the seconds from the end of the slowdown to the first window of arrivals of which 95% are answered in time.
    fn recovery(&self) -> f64 {
        let mut start = self.scenario.slow_until_s;
        while start < self.scenario.end_s - 3.0 {
            if self.success(start, start + RECOVERY_WINDOW_S, None) >= RECOVERED {
                return start - self.scenario.slow_until_s;
            }
            start += 0.05;
        }
        f64::INFINITY
    }

    pub(crate) fn figures(&self) -> Vec<(String, f64)> {
        let scenario = self.scenario;
        let mut figures = Vec::new();
        let mut add = |key: &str, value: f64| figures.push((key.to_owned(), value));
        let has_slowdown = scenario.slow_until_s > scenario.slow_from_s;
        if has_slowdown {
            let slowed = scenario.capacity() * scenario.slow_speed;
            add(
                "goodput_ratio",
                self.goodput(scenario.slow_from_s, scenario.slow_until_s) / slowed,
            );
            add("recovery_s", self.recovery());
            let critical = Some(PriorityClass::Critical);
            add(
                "critical_success",
                self.success(scenario.slow_from_s, scenario.slow_until_s, critical),
            );
        }
        add(
            "success_outside",
            self.success(scenario.slow_until_s + 2.0, scenario.end_s - 3.0, None),
        );
        add(
            "success_before",
            self.success(0.0, scenario.slow_from_s, None),
        );
        for class in PriorityClass::ALL {
            let is_refused = |&index: &usize| {
                self.refused[index].is_some() && self.arrivals[index].priority.class() == class
            };
            let count = (0..self.arrivals.len()).filter(is_refused).count();
            add(&format!("refused_{class}"), count as f64);
        }
        add("shed_upstream", self.shed_upstream as f64);
        let late = (0..self.arrivals.len())
            .filter(|&index| self.answered[index].is_some() && !self.is_good(index));
        add("answered_late", late.count() as f64);
        add(
            "critical_shed_while_reads_ran",
            self.critical_shed_while_reads_ran as f64,
        );
        let limits = self.states.iter().map(|state| f64::from(state.2));
        add("limit_min", limits.fold(f64::INFINITY, f64::min));
        if has_slowdown {
            self.add_level_figures(&mut figures);
        }
        figures
    }

    /// Adds the figures of the admission level after its initial rise, in units of one priority class.
    fn add_level_figures(&self, figures: &mut Vec<(String, f64)>) {
        let steady = self.scenario.slow_from_s + SETTLE_S..self.scenario.slow_until_s;
        let levels: Vec<f64> = self
            .states
            .iter()
            .filter(|state| steady.contains(&state.0))
            .map(|state| f64::from(state.1) / 16_384.0)
            .collect();
        let count = levels.len().max(1) as f64;
        let mean = levels.iter().sum::<f64>() / count;
        let squares = levels.iter().map(|level| (level - mean).powi(2));
        let variance = squares.sum::<f64>() / count;
        let mut add = |key: &str, value: f64| figures.push((key.to_owned(), value));
        add("level_mean", mean);
        add("level_deviation", variance.sqrt());
        add("level_max", levels.iter().copied().fold(0.0, f64::max));
        add(
            "level_swings_per_s",
            count_swings(&levels) / (steady.end - steady.start),
        );
    }
}

/// Counts the reversals of direction in which the level moved by more than `SWING` from its last extreme.
fn count_swings(levels: &[f64]) -> f64 {
    let mut swings = 0.0;
    let mut extreme = levels.first().copied().unwrap_or_default();
    let mut direction = 0.0;
    for &level in levels {
        let change = level - extreme;
        if change * direction >= 0.0 && change.abs() > 0.0 && direction != 0.0 {
            extreme = level;
        } else if change.abs() > SWING {
            swings += f64::from(u8::from(direction != 0.0));
            direction = change.signum();
            extreme = level;
        }
    }
    swings
}
