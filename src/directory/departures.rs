//! Incarnations of targets that have left, kept by the leader for nodes that restart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::generated::DepartedTarget;
use crate::types::TickTime;

/// Time for which a departure is kept. Reports of a target that has left arrive at most seconds late.
const KEEP_TIME: Duration = Duration::from_mins(10);
/// Maximum number of nodes whose departures are kept, about seven times the design size.
const MAX_ADDRESSES: usize = 4_096;

#[derive(Debug)]
struct NodeDepartures {
    targets: Vec<DepartedTarget>,
    recorded_at: TickTime,
}

/// Departed incarnations by the mesh address of the node beside them, which a restart of the node does not change.
#[derive(Debug, Default)]
pub struct DepartureTable {
    by_address: BTreeMap<String, NodeDepartures>,
}

impl DepartureTable {
    /// Adds the departures that a node has reported.
    pub fn record(&mut self, now: TickTime, address: &str, targets: &[DepartedTarget]) {
        if targets.is_empty() {
            return;
        }
        if self.by_address.len() >= MAX_ADDRESSES && !self.by_address.contains_key(address) {
            self.evict_oldest();
        }
        let recorded = NodeDepartures {
            targets: targets.to_vec(),
            recorded_at: now,
        };
        self.by_address.insert(address.to_owned(), recorded);
    }

    /// Returns the departures beside the node at an address.
    pub fn of(&self, address: &str) -> Vec<DepartedTarget> {
        let departures = self.by_address.get(address);
        departures.map_or_else(Vec::new, |departures| departures.targets.clone())
    }

    /// Removes departures that no late report can belong to.
    pub fn expire(&mut self, now: TickTime) {
        self.by_address
            .retain(|_, it| now.saturating_since(it.recorded_at) < KEEP_TIME);
    }

    fn evict_oldest(&mut self) {
        let addresses = self.by_address.iter();
        let oldest = addresses.min_by_key(|(_, departures)| departures.recorded_at);
        if let Some(address) = oldest.map(|(address, _)| address.clone()) {
            log::warn!(event = "departures-evicted", address; "");
            self.by_address.remove(&address);
        }
    }
}
