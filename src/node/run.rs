//! Startup and graceful shutdown of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use crate::config::NodeConfig;
use crate::error::{MeshError, Result};
use crate::proxy::{ListenerKind, serve_listener};
use crate::signals::{SettingsWatch, StopSignals};

use super::heartbeat::{run_heartbeats, send_last_heartbeat};
use super::probe::{run_probes, run_ticks};
use super::{LifecycleEvent, NodeState, lock};

// Time in which the node refuses work as not-run before it closes connections, because other nodes receive the withdrawal
// only with their next heartbeat. A closed port would also prove that the work did not run, but a connection that closes
// during a request would not.
const WITHDRAWAL_GRACE: Duration = Duration::from_millis(1_500);
const DRAIN_POLL: Duration = Duration::from_millis(10);
// Part of the stop timeout that is reserved for closing connections and writing the log.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// Runs a node with the settings from a file until SIGTERM or SIGINT, followed by a graceful shutdown.
pub async fn run_node(settings: &Path) -> Result<()> {
    let config = NodeConfig::load(settings)?;
    let mut stop_signals = StopSignals::new()?;
    let watch = SettingsWatch::new(settings)?;
    let entry = bind(config.entry_address, ListenerKind::Entry).await?;
    let mesh = bind(config.mesh_address, ListenerKind::Mesh).await?;
    let local = bind(config.local_address, ListenerKind::Local).await?;
    let mesh_address = advertised_address(&config, &mesh)?;
    let state = Arc::new(NodeState::new(config, mesh_address)?);
    log::info!(
        "event=started node={} mesh_address={mesh_address}",
        state.node_id
    );
    let heartbeats = tokio::spawn(run_heartbeats(Arc::clone(&state)));
    let ticks = tokio::spawn(run_ticks(Arc::clone(&state)));
    let probes = tokio::spawn(run_probes(Arc::clone(&state)));
    let reloads = tokio::spawn(follow_settings(watch, Arc::clone(&state)));
    for (listener, kind) in [
        (entry, ListenerKind::Entry),
        (mesh, ListenerKind::Mesh),
        (local, ListenerKind::Local),
    ] {
        tokio::spawn(serve_listener(Arc::clone(&state), listener, kind));
    }
    stop_signals.next().await;
    // Further signals are received and ignored, so that they do not terminate the process before it has drained.
    tokio::spawn(async move {
        loop {
            stop_signals.next().await;
            log::info!("event=stop_requested_again");
        }
    });
    stop(&state).await;
    for task in [heartbeats, ticks, probes, reloads] {
        task.abort();
    }
    Ok(())
}

async fn bind(address: SocketAddr, kind: ListenerKind) -> Result<TcpListener> {
    let failed = |source| {
        let action = format!("cannot listen on {address} ({})", kind.as_str());
        MeshError::io(action, source)
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    log::info!("event=listening listener={} address={bound}", kind.as_str());
    Ok(listener)
}

// Port 0 is replaced by the port that the mesh listener is bound to.
fn advertised_address(config: &NodeConfig, mesh: &TcpListener) -> Result<SocketAddr> {
    let bound = mesh
        .local_addr()
        .map_err(|source| MeshError::io("cannot read the mesh address", source))?;
    let mut advertised = config.advertise_address.unwrap_or(bound);
    if advertised.port() == 0 {
        advertised.set_port(bound.port());
    }
    Ok(advertised)
}

async fn stop(state: &Arc<NodeState>) {
    let started = Instant::now();
    let bound = state.config.stop_timeout;
    let deadline = started + bound.saturating_sub(STOP_RESERVE).max(bound / 2);
    state.apply_lifecycle_event(&LifecycleEvent::StopRequested);
    lock(&state.target).withdraw();
    // A replica that does not answer must not delay the shutdown beyond the deadline.
    let _ = timeout_at(deadline, send_last_heartbeat(state)).await;
    let withdrawal_grace = WITHDRAWAL_GRACE.min(bound / 4);
    let _ = timeout_at(deadline, sleep(withdrawal_grace)).await;
    let drained = timeout_at(deadline, wait_for_work(state)).await.is_ok();
    state.closing.cancel();
    state.tasks.close();
    let closed = timeout_at(started + bound, state.tasks.wait())
        .await
        .is_ok();
    state.apply_lifecycle_event(&LifecycleEvent::WorkEnded);
    let left = lock(&state.attempts).len();
    log::info!("event=stopped drained={drained} closed={closed} attempts_left={left}");
}

async fn wait_for_work(state: &NodeState) {
    while !state.is_idle() {
        sleep(DRAIN_POLL).await;
    }
}

/// Applies changed addresses of control replicas from the settings file; other settings take effect only after a restart.
async fn follow_settings(mut watch: SettingsWatch, state: Arc<NodeState>) {
    loop {
        watch.changed().await;
        match NodeConfig::load(watch.path()) {
            Ok(config) => {
                log::info!("event=reloaded control={:?}", config.control);
                state.control.configure(config.control);
            }
            Err(error) => log::warn!("event=reload_failed error={:?}", error.to_string()),
        }
    }
}
