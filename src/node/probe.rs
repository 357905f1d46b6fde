//! Periodic tasks of a node: probes of the local target, admission control and expiry of old entries.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{NodeState, lock};

/// Period of the admission control.
const TICK_PERIOD: Duration = Duration::from_millis(20);
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const EXPIRE_PERIOD_TICKS: u32 = 50;

/// Runs the periodic step of the admission control and removes expired entries from the tables.
pub(super) async fn run_ticks(state: Arc<NodeState>) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u32;
    loop {
        ticks.tick().await;
        let now = state.now();
        lock(&state.target).tick(now);
        count = count.wrapping_add(1);
        if count.is_multiple_of(EXPIRE_PERIOD_TICKS) {
            lock(&state.cancelled).expire(now);
            lock(&state.entries).expire(now);
            lock(&state.attempts).expire(now);
        }
    }
}

/// Probes the local target by opening a TCP connection.
pub(super) async fn run_probes(state: Arc<NodeState>) {
    let mut ticks = interval(PROBE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let probed = {
            let target = lock(&state.target);
            let announcement = target.announcement();
            announcement.map(|(announcement, _)| (announcement.address, target.epoch()))
        };
        let Some((address, epoch)) = probed else {
            continue;
        };
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let is_reachable = matches!(connected, Ok(Ok(_)));
        state.note_reachable(epoch, is_reachable);
    }
}

impl NodeState {
    /// Records whether the local target accepts connections and triggers a heartbeat on a change.
    pub(crate) fn note_reachable(&self, epoch: u64, is_reachable: bool) {
        if lock(&self.target).note_reachable(epoch, is_reachable) {
            log::warn!("event=target_state reachable={is_reachable}");
            self.target_changed.notify_one();
        }
    }
}
