//! Pace of requests whose calls go to a service that refuses some of them because its targets' limits are used up.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::TickTime;

/// Factor by which the pace slows down with a refused call.
const SLOW_DOWN: f64 = 2.0;
/// Factor by which the pace speeds up with each call that is served.
const SPEED_UP: f64 = 0.9;
const MIN_SPACING: Duration = Duration::from_millis(2);
const MAX_SPACING: Duration = Duration::from_secs(4);
/// Spacing after the first refused call of a class.
const FIRST_SPACING: Duration = Duration::from_millis(100);
/// Time without a refused call after which there is no pace.
const PACE_TIME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct ClassPace {
    spacing: Duration,
    next_at: TickTime,
    refused_at: TickTime,
    slowed_at: TickTime,
}

/// Pace of one node's requests that call one service, by class of urgency. It slows down with refused calls and speeds up with
/// served ones, so that the nodes that call the service share what its limits allow.
#[derive(Debug, Default)]
pub struct CallPace {
    classes: BTreeMap<u32, ClassPace>,
}

impl CallPace {
    /// Records that a call was refused because limits are used up.
    pub fn record_refused(&mut self, now: TickTime, urgency: u32) {
        let pace = self.classes.entry(urgency).or_insert(ClassPace {
            spacing: FIRST_SPACING,
            next_at: now + FIRST_SPACING,
            refused_at: now,
            slowed_at: now,
        });
        pace.refused_at = now;
        // Calls that were refused together are one sign of excess.
        if now - pace.slowed_at >= pace.spacing {
            pace.slowed_at = now;
            pace.spacing = pace.spacing.mul_f64(SLOW_DOWN).min(MAX_SPACING);
            pace.next_at = pace.next_at.max(now + pace.spacing);
        }
    }

    /// Records that a call was served within a limit.
    pub fn record_served(&mut self, urgency: u32) {
        if let Some(pace) = self.classes.get_mut(&urgency) {
            pace.spacing = pace.spacing.mul_f64(SPEED_UP).max(MIN_SPACING);
        }
    }

    /// Ends the pace, because the service has a target without a limit.
    pub fn clear(&mut self) {
        self.classes.clear();
    }

    /// Admits a request, or returns the time until the next one may start.
    pub fn admit(&mut self, now: TickTime, urgency: u32) -> Result<(), Duration> {
        self.expire(now);
        let Some(pace) = self.classes.get_mut(&urgency) else {
            return Ok(());
        };
        if now < pace.next_at {
            return Err(pace.next_at - now);
        }
        pace.next_at = now + pace.spacing;
        Ok(())
    }

    /// Returns whether any class has a pace.
    pub fn is_in_force(&mut self, now: TickTime) -> bool {
        self.expire(now);
        !self.classes.is_empty()
    }

    fn expire(&mut self, now: TickTime) {
        self.classes
            .retain(|_, pace| now - pace.refused_at < PACE_TIME);
    }
}
