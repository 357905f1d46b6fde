//! Start and graceful stop of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout, timeout_at};

use crate::admission::RequestRate;
use crate::environment::ProcessEnvironment;
use crate::error::{MeshError, Result};

use super::config::GatewayConfig;
use super::connection::{FIRST_REQUEST_TIMEOUT, LAST_ACCEPT_TIME, serve_clients};
use super::limit_usage::UsageReport;
use super::metrics::serve_metrics;
use super::peer_server::serve_peers;
use super::state::{GatewayState, lock};
use super::sync::{announce_once, run_announcements, run_sync};

/// Time for which a stopping node still accepts clients. They are sent to it until two readiness checks, one a second, have
/// failed. Requests accepted later could not finish before the stop ends.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Part of the stop timeout that is reserved for closing connections.
const STOP_RESERVE: Duration = Duration::from_millis(500);
/// Time before the end of a stop at which requests that are still open are given up, so that their answers are written.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Interval at which waiting requests are checked for expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Running gateway that serves its listeners.
#[derive(Debug)]
pub struct RunningGateway {
    state: Arc<GatewayState>,
}

/// Binds the listeners and starts a gateway.
pub async fn start_gateway(config: GatewayConfig) -> Result<RunningGateway> {
    let mut listeners = Vec::new();
    for address in &config.client_addresses {
        listeners.push(bind(*address, "client").await?);
    }
    let peers = bind(config.peer_address, "peer").await?;
    let metrics_address = config.metrics_address;
    let state = Arc::new(GatewayState::new(config, &ProcessEnvironment::default()));
    if let Some(address) = metrics_address {
        serve_metrics(address, state.metrics.page.clone()).await?;
    }
    log::info!(
        "event=started node={} service={} zone={}",
        state.node_id,
        state.config.service,
        state.config.zone
    );
    for listener in listeners {
        // Tracked, so that the process does not end between two connections while it still accepts.
        state
            .tasks
            .spawn(serve_clients(Arc::clone(&state), listener));
    }
    tokio::spawn(serve_peers(Arc::clone(&state), peers));
    follow_control(&state).detach_all();
    Ok(RunningGateway { state })
}

/// Gateway without listeners, which only follows the control replicas and announces its target.
#[derive(Debug)]
pub struct FollowingGateway {
    state: Arc<GatewayState>,
    _tasks: JoinSet<()>,
}

impl FollowingGateway {
    /// Starts to follow the control replicas, until the gateway is dropped.
    pub fn start(config: GatewayConfig, environment: &ProcessEnvironment) -> Self {
        let state = Arc::new(GatewayState::new(config, environment));
        let tasks = follow_control(&state);
        Self {
            state,
            _tasks: tasks,
        }
    }

    /// Returns the state, with the routes in force.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }
}

/// Starts the tasks that follow the control replicas, announce the local target and let waiting requests expire.
fn follow_control(state: &Arc<GatewayState>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(run_sync(Arc::clone(state)));
    tasks.spawn(run_announcements(Arc::clone(state)));
    tasks.spawn(run_ticks(Arc::clone(state)));
    tasks
}

impl RunningGateway {
    /// Returns the state, for interfaces outside the request path.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Serves until `stop` completes, then finishes pending requests and closes all connections within the stop timeout.
    pub async fn run_until(self, stop: impl Future<Output = ()>) {
        stop.await;
        let state = &self.state;
        let started = Instant::now();
        let bound = state.config.stop_timeout;
        let work_time = bound.saturating_sub(STOP_RESERVE);
        let deadline = started + work_time;
        log::info!("event=stopping bound_ms={}", bound.as_millis());
        // Connections accepted last may still deliver their first request.
        let accept_time = STOP_ACCEPT_TIME + LAST_ACCEPT_TIME + FIRST_REQUEST_TIMEOUT;
        let accept_until = state.now() + accept_time.min(work_time);
        state.accept_until.get_or_init(|| accept_until);
        state.is_stopping.store(true, Ordering::Relaxed);
        state.gate.stop();
        state.announce_soon();
        if let Ok(Err(error)) = timeout(ANNOUNCE_TIMEOUT, announce_once(state)).await {
            log::warn!("event=withdraw_failed error={:?}", error.to_string());
        }
        let linger_until = (started + STOP_ACCEPT_TIME).min(deadline);
        sleep(linger_until.saturating_duration_since(Instant::now())).await;
        state.closing_clients.cancel();
        let drained = timeout_at(deadline, wait_for_work(state)).await.is_ok();
        state.closing.cancel();
        state.tasks.close();
        let last_answer_at = started + bound.saturating_sub(LAST_ANSWER_TIME);
        if timeout_at(last_answer_at, state.tasks.wait())
            .await
            .is_err()
        {
            state.ending.cancel();
        }
        let closed = timeout_at(started + bound, state.tasks.wait())
            .await
            .is_ok();
        log::info!("event=stopped drained={drained} closed={closed}");
    }
}

async fn bind(address: SocketAddr, name: &'static str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| MeshError::io(format!("cannot listen on {address} ({name})"), source))?;
    log::info!("event=listening listener={name} address={address}");
    Ok(listener)
}

async fn wait_for_work(state: &GatewayState) {
    loop {
        let (running, waiting) = state.gate.load();
        let active = state.active.load(Ordering::Relaxed);
        if running == 0 && waiting == 0 && active == 0 {
            return;
        }
        sleep(DRAIN_POLL).await;
    }
}

async fn run_ticks(state: Arc<GatewayState>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        lock(&state.pause).tick(state.now());
        if let Some(report) = state.gate.tick() {
            log_usage(&report);
            state.metrics.show_usage(&report);
        }
    }
}

fn log_usage(report: &UsageReport) {
    log::info!(
        "event=target_limit_usage per_s={} span_ms={} allowed={:.1} served={} refused={} served_share={:.3}",
        report.limit.map_or(-1.0, RequestRate::per_second),
        report.span.as_millis(),
        report.allowed,
        report.served,
        report.refused,
        report.served_share()
    );
}
