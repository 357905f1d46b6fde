//! State shared by the tasks of a node.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cadence::{CountedExt, StatsdClient, Timed};
use http::HeaderValue;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::AdmissionSettings;
use crate::clock::TickClock;
use crate::config::NodeConfig;
use crate::control_client::ControlClient;
use crate::decisions::DecisionLog;
use crate::directory::DirectoryDigests;
use crate::error::{MeshError, Result};
use crate::plans::{CallerEntry, PlanBook, PlanEntry};
use crate::proxy::{AttemptTable, EntryTable, MeshClient, TargetConnections, new_client};
use crate::retry::{AttemptIdTable, RetryBudget, RetryPolicy, RetrySettings};
use crate::routing::{RoutingSettings, TargetTable};
use crate::shares::ShareBucket;
use crate::telemetry::metrics_client;
use crate::types::{NodeId, RefusalReason, TickTime};

use super::answer_cache::AnswerCache;
use super::heartbeat::DirectoryPosition;
use super::lifecycle::LifecycleMachine;
use super::target::LocalTarget;
use super::{HeldPlans, LifecycleEvent, NodePhase};

const METRIC_PREFIX: &str = "ebonyjunction.node";
// Longest wait of a caller's first requests at a node for a share of the caller's rate.
const MAX_SHARE_WAIT: Duration = Duration::from_millis(500);
/// Shortest time between two tries of a waiting request to take a token.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(5);
/// Longest wait for the next token of a lease; a lease has a rate of at least one token per second.
const MAX_LEASE_TOKEN_WAIT: Duration = Duration::from_millis(1_100);
const MAX_SHARE_WAITERS: usize = 64;

/// Locks a mutex and ignores poisoning, so that a panic in another task does not make the data unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Retry policy and the budget that limits retries.
#[derive(Debug)]
pub(crate) struct RetryState {
    pub(crate) policy: RetryPolicy,
    pub(crate) budget: RetryBudget,
}

/// State of a node; each mutable part has its own lock.
#[derive(Debug)]
pub struct NodeState {
    pub(crate) config: NodeConfig,
    pub(crate) node_id: NodeId,
    pub(crate) mesh_address: SocketAddr,
    pub(crate) mesh_token: HeaderValue,
    /// Connections to other nodes.
    pub(crate) client: MeshClient,
    pub(crate) target_connections: TargetConnections,
    pub(crate) control: ControlClient,
    pub(crate) decisions: DecisionLog,
    metrics: Option<StatsdClient>,
    pub(crate) plans: Mutex<HeldPlans>,
    pub(crate) target: Mutex<LocalTarget>,
    pub(crate) routes: Mutex<TargetTable>,
    pub(crate) shares: Mutex<ShareBucket>,
    pub(crate) retries: Mutex<RetryState>,
    pub(crate) attempts: Mutex<AttemptTable>,
    pub(crate) cancelled: Mutex<AttemptIdTable>,
    pub(crate) answers: Mutex<AnswerCache>,
    pub(crate) entries: Mutex<EntryTable>,
    pub(crate) directory: Mutex<DirectoryPosition>,
    /// Digests of the directory entries that the node holds.
    pub(crate) held_directory: Mutex<DirectoryDigests>,
    pub(crate) rng: Mutex<SmallRng>,
    lifecycle: Mutex<LifecycleMachine>,
    /// Number of heartbeats sent; it orders their announcements.
    heartbeats: AtomicU64,
    /// Wakes the heartbeat loop when a change of the local target must be reported to the directory.
    pub(crate) target_changed: Notify,
    /// Wakes the heartbeat loop when a request waits for a rate token or when another node holds newer plans.
    pub(crate) early_heartbeat: Notify,
    /// Wakes requests that wait for a rate token after each heartbeat.
    pub(crate) rate_granted: Notify,
    rate_waiters: AtomicUsize,
    /// Cancelled when listeners and connections must close.
    pub(crate) closing: CancellationToken,
    /// Tasks of connections, and of work that continues after its connection has closed.
    pub(crate) tasks: TaskTracker,
    clock: TickClock,
}

impl NodeState {
    /// Creates the state of a node whose mesh listener is bound to an address.
    pub(crate) fn new(config: NodeConfig, mesh_address: SocketAddr) -> Result<Self> {
        let mesh_token = HeaderValue::from_str(config.mesh_token.as_str())
            .map_err(|error| MeshError::invalid("mesh token", error.to_string()))?;
        let retry_settings = RetrySettings::default();
        let admission_settings = AdmissionSettings {
            queue_limit: config.queue_limit,
            ..AdmissionSettings::default()
        };
        let node_id = NodeId::random();
        // There is no client without a receiver, because the client formats each metric even if the sink discards it.
        let metrics = config
            .metrics_address
            .map(|address| metrics_client(METRIC_PREFIX, Some(address)))
            .transpose()?;
        Ok(Self {
            node_id,
            mesh_address,
            mesh_token,
            client: new_client(),
            target_connections: TargetConnections::new(),
            control: ControlClient::new(config.control.clone(), config.mesh_token.clone()),
            decisions: DecisionLog::new(),
            metrics,
            plans: Mutex::new(HeldPlans::new(config.plan_lease, config.stale_plans)),
            target: Mutex::new(LocalTarget::new(admission_settings)),
            routes: Mutex::new(TargetTable::new(
                RoutingSettings::default(),
                config.zone.clone(),
                config.region.clone(),
            )),
            shares: Mutex::new(ShareBucket::new()),
            retries: Mutex::new(RetryState {
                policy: RetryPolicy::new(retry_settings),
                budget: RetryBudget::new(retry_settings),
            }),
            attempts: Mutex::default(),
            cancelled: Mutex::new(AttemptIdTable::new()),
            answers: Mutex::default(),
            entries: Mutex::default(),
            directory: Mutex::default(),
            held_directory: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed_from(node_id))),
            lifecycle: Mutex::new(LifecycleMachine::new()),
            heartbeats: AtomicU64::new(0),
            target_changed: Notify::new(),
            early_heartbeat: Notify::new(),
            rate_granted: Notify::new(),
            rate_waiters: AtomicUsize::new(0),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
            clock: TickClock::start(),
            config,
        })
    }

    /// Returns the number of the next heartbeat, counting from 1.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the time since the node started.
    pub(crate) fn now(&self) -> TickTime {
        self.clock.now()
    }

    /// Returns the phase of the process.
    pub(crate) fn phase(&self) -> NodePhase {
        lock(&self.lifecycle).phase()
    }

    /// Returns whether new work is refused because the process stops.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase(), NodePhase::Draining | NodePhase::Stopped)
    }

    /// Applies a lifecycle event and logs a change of phase; returns whether the phase changed.
    pub(crate) fn apply_lifecycle_event(&self, event: &LifecycleEvent) -> bool {
        let (before, after) = lock(&self.lifecycle).apply(event);
        if before != after {
            log::info!("event=phase from={before:?} to={after:?}");
        }
        before != after
    }

    /// Returns the plans, if work may currently be admitted under them.
    pub(crate) fn usable_plans(&self) -> Option<Arc<PlanBook>> {
        if self.phase() == NodePhase::Starting {
            return None;
        }
        lock(&self.plans).usable(self.now())
    }

    /// Returns whether no attempt is in flight at the local target.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.attempts).len() == 0
    }

    /// Takes a token from the caller's rate limit; the error is the time after which a retry is useful.
    ///
    /// A request of a caller without a share at this node waits for an early heartbeat, so that the first request is not
    /// refused only because the node has not yet requested a share.
    pub(crate) async fn take_token(
        &self,
        caller: &CallerEntry,
        plan: &PlanEntry,
    ) -> Result<(), Duration> {
        let Err(wait) = self.try_token(caller, plan) else {
            return Ok(());
        };
        let held_rate = lock(&self.shares).held_rate(self.now(), &caller.name);
        if plan.rate_per_s.is_some_and(|rate| held_rate >= rate) {
            return Err(wait);
        }
        // A lease below the plan's rate does not mean that the caller's rate is used up, so the request waits for the next
        // token of the lease.
        let bound = if held_rate > 0 {
            MAX_LEASE_TOKEN_WAIT
        } else {
            MAX_SHARE_WAIT
        };
        let waiters = self.rate_waiters.fetch_add(1, Ordering::Relaxed);
        let _waiter = WaiterGuard(&self.rate_waiters);
        // The requests that already wait will take all tokens that become available within the bound.
        let is_crowded =
            held_rate > 0 && waiters as f64 >= f64::from(held_rate) * bound.as_secs_f64();
        if waiters >= MAX_SHARE_WAITERS || is_crowded {
            return Err(wait);
        }
        self.await_token(caller, plan, wait, Instant::now() + bound)
            .await
    }

    /// Retries at each heartbeat and when the next token is due. Most heartbeats grant nothing to this caller, so a single
    /// heartbeat does not end the wait.
    async fn await_token(
        &self,
        caller: &CallerEntry,
        plan: &PlanEntry,
        mut wait: Duration,
        mut until: Instant,
    ) -> Result<(), Duration> {
        let held_rate = || lock(&self.shares).held_rate(self.now(), &caller.name);
        let mut has_lease = held_rate() > 0;
        loop {
            let granted = self.rate_granted.notified();
            tokio::pin!(granted);
            granted.as_mut().enable();
            self.early_heartbeat.notify_one();
            let next_try = until.min(Instant::now() + wait.max(MIN_TOKEN_WAIT));
            // A grant and a timeout both lead to the next try.
            let _ = timeout_at(next_try.into(), granted).await;
            let Err(next_wait) = lock(&self.shares).retry_take(self.now(), caller, plan) else {
                return Ok(());
            };
            if !has_lease && held_rate() > 0 {
                // A new lease starts without tokens.
                has_lease = true;
                until = Instant::now() + MAX_LEASE_TOKEN_WAIT;
            }
            if Instant::now() >= until {
                return Err(next_wait);
            }
            wait = next_wait;
        }
    }

    fn try_token(&self, caller: &CallerEntry, plan: &PlanEntry) -> Result<(), Duration> {
        lock(&self.shares).take(self.now(), caller, plan)
    }

    /// Increments the counter of refusals for a reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        let Some(metrics) = &self.metrics else {
            return;
        };
        let metric = metrics.incr_with_tags("refusals");
        metric.with_tag("reason", reason.as_str()).send();
    }

    /// Increments a counter.
    pub(crate) fn increment_counter(&self, name: &str) {
        if let Some(metrics) = &self.metrics {
            // Metrics are best effort: the sink drops them when it is full.
            let _ = metrics.incr(name);
        }
    }

    /// Reports the time since `since` as a timing metric.
    pub(crate) fn record_duration(&self, name: &str, since: TickTime) {
        if let Some(metrics) = &self.metrics {
            let span = self.now().saturating_since(since);
            let _ = metrics.time(name, span);
        }
    }
}

#[derive(Debug)]
struct WaiterGuard<'a>(&'a AtomicUsize);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn seed_from(node_id: NodeId) -> u64 {
    let bytes = node_id.as_bytes();
    bytes
        .iter()
        .fold(0, |seed: u64, byte| seed.rotate_left(8) ^ u64::from(*byte))
}
