//! Heartbeats to the control replicas: they announce the local target and return changes of routes and directory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::control_client::ReplicaReply;
use crate::error::Result;
use crate::generated::{
    DirectoryDelta, HeartbeatReply, HeartbeatRequest, NodeInfo, RouteDelta, TargetInfo,
};
use crate::routes::{RouteBook, apply_delta};
use crate::routing::{DirectoryUpdate, TargetState};
use crate::types::TickTime;

use super::departures::DepartureQuestion;
use super::state::{GatewayState, lock};

/// Time for which the leader may delay its reply while there are no changes. It is below the time limits of relays and
/// the lease of targets.
const LONG_POLL_WAIT: Duration = Duration::from_millis(600);
/// Time for which the leader may delay its reply to a node without routes or a directory. Such a node cannot answer
/// requests, so it polls more often.
const START_POLL_WAIT: Duration = Duration::from_millis(100);
/// Pause between heartbeats and between announcements, which bounds the load while replies arrive immediately.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(30);
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Round trip, beyond the time for which the leader may hold its reply, from which a heartbeat is logged as slow.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(300);

/// Term and revision of the directory that the node holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct DirectoryPosition {
    term: u64,
    revision: u64,
}

impl DirectoryPosition {
    pub(super) fn is_known(self) -> bool {
        self.term > 0
    }
}

/// Keeps the node's routes and directory up to date until the process ends.
///
/// Heartbeats are not interrupted when the local target changes: [`run_announcements`] reports that. An interrupted
/// heartbeat would begin anew at the same replica, and a target that changes often would keep the node at a replica that
/// does not answer.
pub(super) async fn run_sync(state: Arc<GatewayState>) {
    let mut is_connected = false;
    loop {
        let request = build_request(&state, is_connected);
        match follow_control(&state, request).await {
            Ok(()) => {
                if !is_connected {
                    is_connected = true;
                    log::info!("event=control_regained");
                }
                sleep(HEARTBEAT_PAUSE).await;
            }
            Err(error) => {
                if is_connected {
                    is_connected = false;
                    log::warn!("event=control_lost error={:?}", error.to_string());
                }
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Announces each change of the local target at once, until the process ends. Changes during an announcement are announced
/// together after it.
pub(super) async fn run_announcements(state: Arc<GatewayState>) {
    loop {
        state.announced.notified().await;
        if let Err(error) = announce_once(&state).await {
            // The next heartbeat announces the change.
            log::warn!("event=announcement_failed error={:?}", error.to_string());
        }
        sleep(HEARTBEAT_PAUSE).await;
    }
}

/// Announces the state of the local target once, without waiting for changes.
///
/// Changes of routes and directory in the reply are left to the heartbeats. They are differences to what the node held when
/// it asked, and a heartbeat that was sent meanwhile would find its own difference outdated.
pub(super) async fn announce_once(state: &GatewayState) -> Result<()> {
    let request = HeartbeatRequest {
        wait_ms: 0,
        ..build_request(state, true)
    };
    exchange_heartbeat(state, request).await.map(drop)
}

/// Sends a heartbeat and applies the changes of routes and directory that the reply contains.
async fn follow_control(state: &GatewayState, request: HeartbeatRequest) -> Result<()> {
    let sent_at = state.now();
    let reply = exchange_heartbeat(state, request).await?;
    apply_views(state, sent_at, &reply)
}

/// Sends a heartbeat and applies all of the reply but the changes of routes and directory.
async fn exchange_heartbeat(
    state: &GatewayState,
    request: HeartbeatRequest,
) -> Result<ReplicaReply<HeartbeatReply>> {
    let sent_at = state.now();
    let last_end = state.suspects.last_number();
    let cleared = request.cleared.clone();
    let question = DepartureQuestion::from(&request);
    let hold = Duration::from_millis(request.wait_ms.into());
    let reply = state.control.heartbeat(request).await?;
    record_round_trip(state, sent_at, hold, reply.address);
    state
        .suspects
        .adopt(state.now(), last_end, &cleared, &reply.message);
    let departed = lock(&state.departures).apply(question, &reply.message);
    if !departed.is_empty() {
        state.gate.adopt_departed(departed);
    }
    state.control.adopt_replicas(&reply.message.replicas);
    Ok(reply)
}

/// Records how long a reply took. A pause of the process tells a busy processor from a slow link.
fn record_round_trip(state: &GatewayState, sent_at: TickTime, hold: Duration, replica: SocketAddr) {
    let now = state.now();
    let span = now - sent_at;
    state.metrics.time("heartbeat", span);
    let pause = lock(&state.pause).take_longest_gap(now);
    if span >= hold + SLOW_ROUND_TRIP {
        log::info!(
            "event=heartbeat_slow replica={replica} span_ms={} hold_ms={} pause_ms={}",
            span.as_millis(),
            hold.as_millis(),
            pause.as_millis()
        );
    }
}

fn build_request(state: &GatewayState, is_connected: bool) -> HeartbeatRequest {
    let position = *lock(&state.position);
    let holds_views = state.book().version() > 0 && position.is_known();
    let wait = match (holds_views, is_connected) {
        (false, _) => START_POLL_WAIT,
        // A replica that does not answer is recognised sooner if it has no reason to wait.
        (true, false) => Duration::ZERO,
        (true, true) => LONG_POLL_WAIT,
    };
    let mut request = HeartbeatRequest {
        node: Some(node_info(state)),
        plan_version: 0,
        directory_term: position.term,
        directory_revision: position.revision,
        demands: Vec::new(),
        relayed: false,
        all_services: true,
        services: Vec::new(),
        directory_digest: lock(&state.held_directory).digest(),
        route_version: lock(&state.held_routes).version,
        sequence: state.next_sequence(),
        wait_ms: wait.as_millis() as u32,
        ..HeartbeatRequest::default()
    };
    state.suspects.fill(state.now(), &mut request);
    lock(&state.departures).fill(state.gate.departed(), &mut request);
    request
}

fn node_info(state: &GatewayState) -> NodeInfo {
    let target = state.gate.announcement().map(|(report, announced)| {
        let announced = match announced {
            TargetState::Ready if state.is_stopping() => TargetState::Leaving,
            other => other,
        };
        TargetInfo {
            service: report.service.to_string(),
            slots: report.slots.max(1),
            connections: 0,
            state: crate::generated::TargetState::from(announced).into(),
        }
    });
    NodeInfo {
        node_id: state.node_id.as_bytes().to_vec().into(),
        zone: state.config.zone.to_string(),
        region: state.config.region.to_string(),
        mesh_address: state.config.advertise_address.to_string(),
        target,
    }
}

fn apply_views(
    state: &GatewayState,
    sent_at: TickTime,
    reply: &ReplicaReply<HeartbeatReply>,
) -> Result<()> {
    let message = &reply.message;
    if let Some(delta) = &message.routes
        && apply_routes(state, delta)?
    {
        log::info!(
            "event=routes_received version={} replica={} leader={} term={} age_ms={} span_ms={}",
            delta.version,
            reply.address,
            message.leader_id,
            message.term,
            message.route_age_ms,
            (state.now() - sent_at).as_millis()
        );
        state
            .metrics
            .show_routes(delta.version, Duration::from_millis(message.route_age_ms));
    }
    if let Some(delta) = &message.directory {
        apply_directory(state, delta);
    }
    Ok(())
}

/// Returns whether the routes are newer than those in force, which they then replace.
fn apply_routes(state: &GatewayState, delta: &RouteDelta) -> Result<bool> {
    let mut held = lock(&state.held_routes);
    // A reply that arrives out of order must not restore an older version.
    if delta.version <= held.version {
        return Ok(false);
    }
    let Some(set) = apply_delta(&held, delta) else {
        log::warn!(
            "event=routes_refused held={} base={}",
            held.version,
            delta.base_version
        );
        return Ok(false);
    };
    let book = RouteBook::try_from(&set)?;
    log::info!(
        "event=routes_adopted version={} base={} routes={}",
        set.version,
        held.version,
        book.len()
    );
    *held = set;
    state.adopt_book(book);
    Ok(true)
}

fn apply_directory(state: &GatewayState, delta: &DirectoryDelta) {
    let changed = delta.changed.len() + delta.removed.len();
    let mut position = lock(&state.position);
    let is_older = delta.term < position.term
        || (delta.term == position.term && delta.revision < position.revision);
    if is_older {
        return;
    }
    if delta.full || changed > 0 {
        log::info!(
            "event=directory term={} revision={} full={} changed={changed}",
            delta.term,
            delta.revision,
            delta.full
        );
    }
    let update = DirectoryUpdate::from(delta.clone());
    lock(&state.held_directory).apply(delta);
    let mut table = lock(&state.table);
    table.apply_update(state.now(), update);
    state
        .peers
        .retain(|address| table.contains_node_address(address));
    drop(table);
    *position = DirectoryPosition {
        term: delta.term,
        revision: delta.revision,
    };
}
