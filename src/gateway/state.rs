//! Shared state of a gateway's tasks. Locks are held for short sections and never across an await.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use crate::clock::{TickClock, unix_millis};
use crate::control_client::ControlClient;
use crate::directory::DirectoryDigests;
use crate::environment::ProcessEnvironment;
use crate::error::Result;
use crate::generated::RouteSet;
use crate::retry::{RetryBudget, RetryCause, RetrySettings};
use crate::routes::RouteBook;
use crate::routing::{RoutingSettings, TargetTable};
use crate::types::{NodeId, RefusalReason, ServiceName, TickTime};

use super::announced_target::{ReportEffect, TargetReport};
use super::answer::AttemptResult;
use super::call_paces::CallPaces;
use super::chain_limits::ChainLimits;
use super::config::GatewayConfig;
use super::departures::DepartureReport;
use super::entry::PartCounters;
use super::gate::TargetGate;
use super::hop::{HopReply, HopRequest};
use super::memory::MemoryPool;
use super::metrics::GatewayMetrics;
use super::pause::PauseDetector;
use super::peer_client::PeerClient;
use super::suspect_watch::SuspectWatch;
use super::sync::DirectoryPosition;
use super::target_terms::TermsBook;

/// Time that a target in another zone must save to justify the traffic between zones.
const ZONE_SURCHARGE: Duration = Duration::from_millis(60);
/// Time that a target in another region must save to justify the traffic.
const REGION_SURCHARGE: Duration = Duration::from_millis(70);
/// Additional time that must be saved for each kilobyte of a request: a scan of 60 KB stays in its zone unless a target
/// elsewhere is 0.4 s faster.
const KILOBYTE_SURCHARGE: Duration = Duration::from_millis(6);
/// Fraction of the permitted retries that nodes may spend. The rest covers calls made by repeated requests, and nodes
/// whose busiest windows do not coincide.
const BUDGET_FRACTION: f64 = 0.8;

/// Bodies in flight may take a quarter of the memory. The rest is for connections and for the copies that are made when
/// a body is joined and forwarded.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Time to wait for the routes, which contain the health path. A second report confirms the target within this time anyway.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the routes are checked; they arrive with the first heartbeat, some ten milliseconds after the start.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of a running gateway.
#[derive(Debug)]
pub struct GatewayState {
    pub(super) config: GatewayConfig,
    pub(super) node_id: NodeId,
    clock: TickClock,
    pub(super) memory: MemoryPool,
    pub(super) pause: Mutex<PauseDetector>,
    pub(super) control: ControlClient,
    pub(super) peers: PeerClient,
    pub(super) gate: TargetGate,
    pub(super) suspects: Arc<SuspectWatch>,
    pub(super) metrics: GatewayMetrics,
    book: Mutex<Arc<RouteBook>>,
    pub(super) held_routes: Mutex<RouteSet>,
    pub(super) held_directory: Mutex<DirectoryDigests>,
    pub(super) table: Mutex<TargetTable>,
    pub(super) position: Mutex<DirectoryPosition>,
    pub(super) departures: Mutex<DepartureReport>,
    pub(super) budgets: Mutex<BTreeMap<ServiceName, RetryBudget>>,
    pub(super) chain_limits: ChainLimits,
    pub(super) call_paces: CallPaces,
    pub(super) counters: Mutex<PartCounters>,
    pub(super) rng: Mutex<SmallRng>,
    pub(super) announced: Arc<Notify>,
    /// Number of heartbeats sent; it orders their announcements.
    heartbeats: AtomicU64,
    /// Terms that other targets have stated in their answers.
    pub(super) terms: Mutex<TermsBook>,
    pub(super) is_stopping: AtomicBool,
    pub(super) active: AtomicUsize,
    /// Cancelled when client connections must not accept further requests.
    pub(super) closing_clients: CancellationToken,
    /// Cancelled when connections from other nodes must close.
    pub(super) closing: CancellationToken,
    /// Cancelled when requests that are still open must get a final answer, because the process ends.
    pub(super) ending: CancellationToken,
    /// Time until which requests are still accepted; set when a stop begins.
    pub(super) accept_until: OnceLock<TickTime>,
    pub(super) tasks: TaskTracker,
}

/// Locks a mutex and ignores poisoning: the data stays usable after a panic of another task.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl GatewayState {
    pub(super) fn new(config: GatewayConfig, environment: &ProcessEnvironment) -> Self {
        let settings = RoutingSettings {
            zone_surcharge: ZONE_SURCHARGE,
            region_surcharge: REGION_SURCHARGE,
            kilobyte_surcharge: KILOBYTE_SURCHARGE,
            ..RoutingSettings::default()
        };
        let clock = environment.clock;
        let memory = MemoryPool::new(config.memory_bytes / BODY_MEMORY_DIVISOR);
        let announced = Arc::<Notify>::default();
        let node_id = NodeId::from_uuid(Uuid::new_v4());
        let suspects = Arc::new(SuspectWatch::new(node_id));
        let table = TargetTable::new(settings, config.zone.clone(), config.region.clone());
        Self {
            node_id,
            clock,
            memory: memory.clone(),
            pause: Mutex::default(),
            control: ControlClient::new_in(environment, config.control.clone(), &config.mesh_token),
            peers: PeerClient::new(&config.mesh_token, memory.clone()),
            gate: TargetGate::new(
                &config,
                clock,
                memory,
                Arc::clone(&announced),
                Arc::clone(&suspects),
            ),
            suspects,
            metrics: GatewayMetrics::new(),
            book: Mutex::default(),
            held_routes: Mutex::default(),
            held_directory: Mutex::default(),
            table: Mutex::new(table),
            position: Mutex::default(),
            departures: Mutex::default(),
            budgets: Mutex::default(),
            chain_limits: ChainLimits::default(),
            call_paces: CallPaces::default(),
            counters: Mutex::default(),
            rng: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
            announced,
            heartbeats: AtomicU64::new(0),
            terms: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            closing_clients: CancellationToken::new(),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            accept_until: OnceLock::new(),
            tasks: TaskTracker::new(),
            config,
        }
    }

    pub(super) fn now(&self) -> TickTime {
        self.clock.now()
    }

    /// Returns the earliest time at which a message that is read now may have arrived, given the last pause of the process.
    pub(super) fn arrival_time(&self) -> TickTime {
        let now = self.now();
        now - lock(&self.pause).max_unread_time(now)
    }

    /// Returns the routes in force at this node.
    pub fn book(&self) -> Arc<RouteBook> {
        Arc::clone(&lock(&self.book))
    }

    pub(super) fn adopt_book(&self, book: RouteBook) {
        *lock(&self.book) = Arc::new(book);
    }

    /// Returns whether this node is ready for clients: it holds routes and a directory, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let holds_views = self.book().version() > 0 && lock(&self.position).is_known();
        holds_views && !self.is_stopping()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns whether a request that starts now comes too late in a planned stop to be finished.
    pub(super) fn is_past_acceptance(&self) -> bool {
        let until = self.accept_until.get();
        until.is_some_and(|until| self.now() > *until)
    }

    /// Returns the gate that admits requests to the local target.
    pub fn gate(&self) -> &TargetGate {
        &self.gate
    }

    /// Runs a request at the local target, unless calls that it needs would not fit into the limits of other targets.
    pub(super) async fn run_at_target(&self, mut request: HopRequest) -> HopReply {
        if self.call_paces.are_in_use(self.now()) {
            request.route = self.route_name(&request);
        }
        if let Some(route) = &request.route
            && let Err(wait) = self.call_paces.admit(self.now(), route, request.urgency)
        {
            self.metrics.count("refused.call_pace");
            log::info!(
                "event=chain_paced request_id={} route={route} urgency={} wait_ms={}",
                request.request_id.to_str().unwrap_or("malformed"),
                request.urgency,
                wait.as_millis()
            );
            let reason = RefusalReason::AdmissionLevel;
            return AttemptResult::NotRun { reason, wait }.into();
        }
        self.gate.handle(request).await
    }

    fn route_name(&self, request: &HopRequest) -> Option<Arc<str>> {
        let book = self.book();
        let path = request.target.split('?').next().unwrap_or_default();
        let key = book.find(&request.host, path)?;
        Some(Arc::from(book.route(key).name.as_str()))
    }

    /// Applies a report of the local target and starts its confirmation if one is needed. A report with values out of
    /// range is refused and changes nothing.
    pub fn apply_report(self: &Arc<Self>, report: TargetReport) -> Result<ReportEffect> {
        report.check(unix_millis())?;
        let verdict = self.gate.report(report);
        if verdict == ReportEffect::NewIncarnation
            && let Some(report) = self.gate.unconfirmed_report()
        {
            tokio::spawn(confirm_target(Arc::clone(self), report));
        }
        Ok(verdict)
    }

    /// Triggers a heartbeat that announces a change of the local target to the control replicas.
    pub fn announce_soon(&self) {
        self.announced.notify_one();
    }

    /// Returns the number of the next heartbeat, counting from 1.
    pub(super) fn next_sequence(&self) -> u64 {
        self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Replaces the configured addresses of the control replicas.
    pub fn configure_control(&self, addresses: Vec<std::net::SocketAddr>) {
        self.control.configure(addresses);
    }

    /// Counts a first request for a service in its retry budget.
    pub(super) fn record_first(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_first(now));
    }

    /// Counts a request that is a repeat because its parent request was retried upstream.
    pub(super) fn record_upstream_retry(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_upstream_retry(now));
    }

    /// Counts a retry if this node's share of the mesh-wide budget allows it, and returns whether it does.
    pub(super) fn try_retry(&self, service: &ServiceName, urgency: u32, cause: RetryCause) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_retry_for(now, urgency, cause))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = self.retry_settings();
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings));
        budget.configure(settings);
        act(budget)
    }

    /// Returns this node's share of the retry budget. The ratio applies to each node unchanged, because nodes that each
    /// stay below it also stay below it in total; the slack is divided by the number of nodes.
    fn retry_settings(&self) -> RetrySettings {
        let nodes = lock(&self.table).len().max(1) as f64;
        let window_s = self.config.retry_window.as_secs_f64().max(1.0);
        let slack = f64::from(self.config.retry_slack) * BUDGET_FRACTION / nodes;
        RetrySettings {
            retry_ratio: self.config.retry_ratio * BUDGET_FRACTION,
            min_retries_per_s: slack / window_s,
            window: self.config.retry_window,
            counts_earlier_windows: true,
            ..RetrySettings::default()
        }
    }

    pub(super) fn jitter(&self, mean: Duration) -> Duration {
        mean.mul_f64(lock(&self.rng).random_range(0.75..1.25))
    }
}

/// Checks the target's health path, once the routes contain it, to confirm that the target still accepts work. Without a
/// confirmation the next report decides.
async fn confirm_target(state: Arc<GatewayState>, report: TargetReport) {
    let until = state.now() + CONFIRM_TIMEOUT;
    let health_path = loop {
        if let Some(service) = state.book().service(&report.service) {
            break service.health_path.clone();
        }
        if state.now() >= until {
            return;
        }
        sleep(CONFIRM_POLL_INTERVAL).await;
    };
    let is_confirmed = !health_path.is_empty() && state.gate.confirm(&report, &health_path).await;
    log::info!(
        "event=target_confirmed id={:?} born_ms={} confirmed={is_confirmed}",
        report.id,
        report.born_ms
    );
    if is_confirmed {
        state.announce_soon();
    }
}

/// Counts an active request until it is dropped, so that a graceful stop can wait for it.
#[derive(Debug)]
pub(super) struct ActiveGuard<'a>(&'a AtomicUsize);

impl<'a> ActiveGuard<'a> {
    pub(super) fn new(active: &'a AtomicUsize) -> Self {
        active.fetch_add(1, Ordering::Relaxed);
        Self(active)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
