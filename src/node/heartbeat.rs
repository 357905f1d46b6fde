//! Heartbeats to the control replicas.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::error::Result;
use crate::generated::{
    DirectoryDelta, HeartbeatReply, HeartbeatRequest, NodeInfo, RateDemand, TargetInfo,
};
use crate::plans::PlanBook;
use crate::routing::{DirectoryUpdate, TargetState};
use crate::types::TickTime;

use super::{LifecycleEvent, NodePhase, NodeState, lock};

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
// Spreads the heartbeats of nodes that start together.
const HEARTBEAT_JITTER: f64 = 0.1;
// Shorter period while the node has no plans or no directory, because it refuses all work until then.
const STARTUP_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
// Limits the heartbeats that a target causes by repeated announcements.
const MIN_HEARTBEAT_PAUSE: Duration = Duration::from_millis(50);

// Shortest delay of an early heartbeat that refused demand causes. Without it a caller above its rate would use up the
// traffic that is reserved for control messages.
const MIN_DEMAND_DELAY: Duration = Duration::from_millis(250);

/// Term and revision of the directory that the node holds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DirectoryPosition {
    term: u64,
    revision: u64,
}

impl DirectoryPosition {
    fn is_known(self) -> bool {
        self.term > 0
    }
}

/// Sends heartbeats until the node stops.
pub(super) async fn run_heartbeats(state: Arc<NodeState>) {
    loop {
        if let Err(error) = send_heartbeat(&state).await {
            log::warn!("event=heartbeat_failed error={:?}", error.to_string());
        }
        sleep(MIN_HEARTBEAT_PAUSE).await;
        let demand = async {
            sleep(MIN_DEMAND_DELAY).await;
            state.early_heartbeat.notified().await;
        };
        tokio::select! {
            () = sleep(next_period(&state)) => {}
            () = state.target_changed.notified() => {}
            () = demand => {}
        }
    }
}

/// Sends one heartbeat to report to the directory that the target is leaving.
pub(super) async fn send_last_heartbeat(state: &Arc<NodeState>) {
    match send_heartbeat(state).await {
        Ok(()) => log::info!("event=withdrawn"),
        Err(error) => log::warn!("event=withdraw_failed error={:?}", error.to_string()),
    }
}

fn next_period(state: &NodeState) -> Duration {
    let has_plans_and_directory =
        lock(&state.plans).version() > 0 && lock(&state.directory).is_known();
    if !has_plans_and_directory {
        return STARTUP_HEARTBEAT_PERIOD;
    }
    let factor = lock(&state.rng).random_range(1.0 - HEARTBEAT_JITTER..1.0 + HEARTBEAT_JITTER);
    HEARTBEAT_PERIOD.mul_f64(factor)
}

async fn send_heartbeat(state: &Arc<NodeState>) -> Result<()> {
    let sent_at = state.now();
    let position = *lock(&state.directory);
    let request = build_request(state, position, sent_at);
    let reply = state.control.heartbeat(request).await?;
    apply_reply(state, sent_at, reply.message)
}

fn build_request(
    state: &NodeState,
    position: DirectoryPosition,
    now: TickTime,
) -> HeartbeatRequest {
    let demands = lock(&state.shares).demands(now);
    HeartbeatRequest {
        node: Some(node_info(state)),
        plan_version: lock(&state.plans).version(),
        directory_term: position.term,
        directory_revision: position.revision,
        directory_digest: lock(&state.held_directory).digest(),
        demands: demands.iter().map(RateDemand::from).collect(),
        relayed: false,
        route_version: 0,
        wait_ms: 0,
        sequence: state.next_sequence(),
        tracks_suspects: false,
        suspect_term: 0,
        suspect_revision: 0,
        hands_over_suspects: false,
        held_suspects: None,
        ends: Vec::new(),
        cleared: Vec::new(),
        departed: Vec::new(),
        asks_departed: false,
        // Outside callers may call any service through any node, and the first call must not wait for a heartbeat.
        all_services: true,
        services: Vec::new(),
    }
}

fn node_info(state: &NodeState) -> NodeInfo {
    // While starting, the node refuses calls, so it does not report its target to the other nodes.
    let is_starting = state.phase() == NodePhase::Starting;
    let target = lock(&state.target);
    let announced = target.announcement().filter(|_| !is_starting);
    let target = announced.map(|(announcement, target_state)| {
        let target_state = if state.is_stopping() {
            TargetState::Leaving
        } else {
            target_state
        };
        TargetInfo {
            service: announcement.service.to_string(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: crate::generated::TargetState::from(target_state).into(),
        }
    });
    NodeInfo {
        node_id: state.node_id.as_bytes().to_vec().into(),
        zone: state.config.zone.to_string(),
        region: state.config.region.to_string(),
        mesh_address: state.mesh_address.to_string(),
        target,
    }
}

fn apply_reply(state: &NodeState, sent_at: TickTime, reply: HeartbeatReply) -> Result<()> {
    let now = state.now();
    if let Some(plans) = &reply.plans {
        let book = PlanBook::try_from(plans)?;
        let version = book.version();
        if lock(&state.plans).adopt(book) {
            log::info!("event=plans_adopted version={version}");
        }
    }
    // The reply states an age at the time of the leader's answer. The answer came after the heartbeat was sent, so
    // subtracting the age from the send time gives a lower bound of the confirmation time.
    let age = Duration::from_millis(reply.freshness_age_ms.into());
    let confirmed_at = TickTime::from_start(sent_at.since_start().saturating_sub(age));
    let is_confirmed = lock(&state.plans).confirm(reply.plan_version, confirmed_at);
    let shares: Vec<_> = reply
        .shares
        .iter()
        .filter_map(|share| share.try_into().ok())
        .collect();
    lock(&state.shares).update(sent_at, now, &shares);
    state.rate_granted.notify_waiters();
    if let Some(delta) = reply.directory {
        apply_directory(state, now, &delta);
    }
    if is_confirmed && lock(&state.directory).is_known() {
        state.apply_lifecycle_event(&LifecycleEvent::PlansAndDirectoryReceived);
    }
    Ok(())
}

fn apply_directory(state: &NodeState, now: TickTime, delta: &DirectoryDelta) {
    let next = DirectoryPosition {
        term: delta.term,
        revision: delta.revision,
    };
    let changed = delta.changed.len() + delta.removed.len();
    if delta.full || changed > 0 {
        log::info!(
            "event=directory term={} revision={} full={} changed={changed}",
            next.term,
            next.revision,
            delta.full
        );
    }
    let update = DirectoryUpdate::from(delta.clone());
    lock(&state.held_directory).apply(delta);
    lock(&state.routes).apply_update(now, update);
    *lock(&state.directory) = next;
}
