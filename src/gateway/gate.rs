//! Admission to the local target: final checks of slots, draining, identity and deadline.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{Request, Uri};
use http_body_util::Full;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::admission::{SlotDecision, SlotQueue, SlotRequest, WaitKey};
use crate::clock::{TickClock, unix_millis};
use crate::retry::HandOverRecord;
use crate::routing::TargetState;
use crate::types::{AttemptId, RefusalReason, TickTime};

use super::announced_target::{AnnouncedTarget, ReportEffect, TargetReport};
use super::answer::AttemptResult;
use super::config::{GatewayConfig, HeaderNames};
use super::gate_state::{GateState, Refusal, TermsState, WaitingRequest};
use super::hop::{HopReply, HopRequest, LimitPolicy};
use super::limit_usage::UsageReport;
use super::memory::MemoryPool;
use super::parents::{ParentTable, chain_rank};
use super::state::lock;
use super::suspect_watch::{SuspectTurn, SuspectWatch};
use super::target_client::{ExchangeFailure, TargetAnswer, TargetClient};
use super::target_notice::TargetNotice;
use super::target_terms::TargetIdentity;

/// Report intervals without a report after which the target counts as down. A report may be late by a second.
const MAX_MISSED_REPORTS: u32 = 3;
/// Consecutive failed connections after which the target counts as down until its next report. A target resets
/// connections above its limit, so a single failure does not show that it is down.
const CONNECT_FAILURE_THRESHOLD: u32 = 2;
/// Time in which nodes learn that requests are suspect: the collection of the report, two ways through a busy leader, and the
/// ways between regions.
const SUSPECT_LIST_TIME: Duration = Duration::from_millis(150);
/// Longest wait of a suspect of one round for others that are at work at the target.
const FIRST_ROUND_WAIT: Duration = Duration::from_millis(300);
/// Longest time between two checks whether a suspect may run at the target.
const TURN_POLL_TIME: Duration = Duration::from_millis(50);

/// Admits requests to the local target.
#[derive(Debug)]
pub struct TargetGate {
    shared: Arc<GateShared>,
}

#[derive(Debug)]
struct GateShared {
    clock: TickClock,
    names: HeaderNames,
    report_timeout: Duration,
    client: TargetClient,
    parents: ParentTable,
    state: Mutex<GateState>,
    /// Notified when the state to announce has changed without a report.
    changed: Arc<Notify>,
    suspects: Arc<SuspectWatch>,
    last_probe: tokio::sync::Mutex<Option<TargetProbe>>,
}

/// Result of cancelling an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelOutcome {
    NotRun,
    Unknown,
}

/// Result of a connection to the target that was made to see whether it listens.
#[derive(Debug)]
struct TargetProbe {
    target: TargetIdentity,
    ended_at: TickTime,
    is_refused: bool,
}

impl TargetGate {
    pub(super) fn new(
        config: &GatewayConfig,
        clock: TickClock,
        memory: MemoryPool,
        changed: Arc<Notify>,
        suspects: Arc<SuspectWatch>,
    ) -> Self {
        let state = GateState {
            target: if config.is_first_start {
                AnnouncedTarget::default()
            } else {
                AnnouncedTarget::after_restart(config.report_interval / 2)
            },
            queue: SlotQueue::new(0),
            waiting: BTreeMap::new(),
            hand_overs: HandOverRecord::default(),
            connect_failures: 0,
            is_stopping: false,
            terms: TermsState::default(),
            usage: None,
        };
        Self {
            shared: Arc::new(GateShared {
                clock,
                names: config.names.clone(),
                report_timeout: config.report_interval * MAX_MISSED_REPORTS,
                client: TargetClient::new(config.target_address, config.names.clone(), memory),
                parents: ParentTable::default(),
                state: Mutex::new(state),
                changed,
                suspects,
                last_probe: tokio::sync::Mutex::default(),
            }),
        }
    }

    /// Applies a report of the target.
    pub(super) fn report(&self, report: TargetReport) -> ReportEffect {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        let replaced = state.serving_identity();
        let verdict = state.target.report(now, report);
        if verdict == ReportEffect::NewIncarnation {
            if let Some(replaced) = replaced {
                self.shared.suspects.record_end(now, replaced);
            }
            self.shared.client.clear();
            state.reset_terms(now);
        }
        if verdict != ReportEffect::Outdated {
            state.connect_failures = 0;
        }
        state.follow_target(now);
        verdict
    }

    /// Returns the last report of a ready incarnation that has yet to be confirmed.
    pub(super) fn unconfirmed_report(&self) -> Option<TargetReport> {
        let state = lock(&self.shared.state);
        let current = state.target.current()?;
        let is_ready = current.state == TargetState::Ready;
        (is_ready && state.target.awaits_confirmation()).then(|| current.clone())
    }

    /// Checks the health path of an incarnation and returns whether it confirmed that it accepts work.
    pub(super) async fn confirm(&self, report: &TargetReport, health_path: &str) -> bool {
        let asked_at = self.shared.now();
        let client = &self.shared.client;
        let Some(answer) = client.check_health(health_path, &report.id).await else {
            return false;
        };
        let identity = TargetIdentity {
            id: report.id.clone(),
            born_ms: report.born_ms,
        };
        let notice = answer.notice;
        // Health checks are not counted against a limit, so one that names none does not end it.
        self.shared.apply_notice(&identity, notice, asked_at, false);
        if !answer.is_in_service || notice.is_leaving {
            return false;
        }
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        state.target.confirm(&report.id, report.born_ms);
        state.follow_target(now);
        true
    }

    /// Removes a target that has left and returns whether it was in use.
    pub fn remove(&self, id: &str) -> bool {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        let is_removed = state.target.remove(id, unix_millis());
        state.follow_target(now);
        is_removed
    }

    /// Returns the incarnations of the target that have left or are leaving.
    pub(super) fn departed(&self) -> Vec<(String, u64)> {
        lock(&self.shared.state).target.departed()
    }

    /// Adopts the incarnations that had left when an earlier process ran beside the target.
    pub(super) fn adopt_departed(&self, departed: Vec<(String, u64)>) {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        let is_current = state.target.adopt_departed(departed);
        state.follow_target(now);
        drop(state);
        if is_current {
            log::info!("event=target_left current=true source=leader");
            self.shared.changed.notify_one();
        }
    }

    /// Refuses waiting and new requests because the process is stopping.
    pub(super) fn stop(&self) {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        state.is_stopping = true;
        state.follow_target(now);
    }

    /// Returns the target and the state to announce to other nodes.
    pub(super) fn announcement(&self) -> Option<(TargetReport, TargetState)> {
        let state = lock(&self.shared.state);
        let current = state.target.current()?.clone();
        let announced = if state.is_stopping {
            TargetState::Leaving
        } else if state.ready(self.shared.oldest_report()).is_some() {
            TargetState::Ready
        } else if current.state == TargetState::Leaving {
            TargetState::Leaving
        } else {
            TargetState::Down
        };
        Some((current, announced))
    }

    /// Returns the target state to announce to other nodes.
    pub fn announced_state(&self) -> Option<TargetState> {
        self.announcement().map(|(_, state)| state)
    }

    /// Returns the numbers of running and waiting requests.
    pub(super) fn load(&self) -> (u32, usize) {
        let state = lock(&self.shared.state);
        (state.queue.running(), state.queue.waiting())
    }

    /// Returns the requests that are running at the target.
    pub(super) fn parents(&self) -> &ParentTable {
        &self.shared.parents
    }

    /// Starts waiting requests that the target's limit now admits, and refuses those that can no longer start in time. Must be
    /// called periodically. Returns a report on the use of the limit when one is due.
    pub(super) fn tick(&self) -> Option<UsageReport> {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        let mut actions = state.queue.start_waiting(now);
        actions.extend(state.queue.expire(now));
        state.apply_actions(now, actions);
        if self.shared.suspects.tick(now) {
            self.shared.changed.notify_one();
        }
        state.hand_overs.expire(now);
        state.take_usage(now)
    }

    /// Forbids an attempt. The result is final because a copy that arrives later is refused.
    pub(super) fn cancel(&self, attempt_id: AttemptId) -> CancelOutcome {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        if state.hand_overs.forbid(now, attempt_id) {
            CancelOutcome::NotRun
        } else {
            CancelOutcome::Unknown
        }
    }

    /// Runs a request at the target and returns the result with the state of the target.
    pub(super) async fn handle(&self, request: HopRequest) -> HopReply {
        if let Some(terms) = &request.terms {
            let now = self.shared.now();
            if lock(&self.shared.state).adopt_terms(now, terms) {
                self.shared.changed.notify_one();
            }
        }
        let result = self.run(request).await;
        let status = lock(&self.shared.state).status(self.shared.now());
        HopReply { result, status }
    }

    /// Runs a request at the target. Dropping the future cancels the request, unless it is at-most-once and already has
    /// a slot.
    async fn run(&self, mut request: HopRequest) -> AttemptResult {
        let shared = Arc::clone(&self.shared);
        let deadline = shared.now() + request.timeout;
        let turn = match shared.wait_for_turn(&mut request).await {
            Ok(turn) => turn,
            Err((reason, wait)) => return AttemptResult::NotRun { reason, wait },
        };
        let slot = match shared.acquire(&request).await {
            Ok(slot) => slot,
            Err((reason, wait)) => return AttemptResult::NotRun { reason, wait },
        };
        if !request.is_at_most_once {
            let result = shared.hand_over(request, slot, deadline).await;
            drop(turn);
            return result;
        }
        let running = tokio::spawn(async move {
            let result = shared.hand_over(request, slot, deadline).await;
            drop(turn);
            result
        });
        running
            .await
            .unwrap_or_else(|error| AttemptResult::Unknown {
                detail: format!("the request's task failed: {error}"),
            })
    }
}

impl GateShared {
    fn now(&self) -> TickTime {
        self.clock.now()
    }

    fn oldest_report(&self) -> TickTime {
        self.now() - self.report_timeout
    }

    /// Waits while another suspect is at work at the target, if the request is suspect. The wait is taken off the request's times.
    ///
    /// A suspect of one round waits for a short time only and then runs beside others: most of these were at work at a target that
    /// ended for a cause of its own.
    async fn wait_for_turn(
        &self,
        request: &mut HopRequest,
    ) -> Result<Option<SuspectTurn>, Refusal> {
        let began_at = self.now();
        let longest = request
            .objective
            .min(request.timeout.saturating_sub(request.refusal_time));
        let mut has_waited = false;
        let turn = loop {
            let busy = match self.suspects.take_turn(request) {
                Ok(turn) => break turn,
                Err(busy) => busy,
            };
            let bound = if busy.is_ambiguous {
                longest
            } else {
                longest.min(FIRST_ROUND_WAIT)
            };
            let time_left = bound.saturating_sub(self.now() - began_at);
            let may_go_elsewhere = request.when_limited == LimitPolicy::Refuse;
            let is_refused = may_go_elsewhere || (time_left.is_zero() && busy.is_ambiguous);
            if is_refused || !has_waited {
                has_waited = true;
                log::info!(
                    "event=suspect_at_work request_id={} digest={} running={} refused={is_refused}",
                    request.request_id.to_str().unwrap_or("malformed"),
                    busy.digest,
                    busy.running
                );
            }
            if is_refused {
                return Err((RefusalReason::SuspectAtWork, TURN_POLL_TIME));
            }
            if time_left.is_zero() {
                break None;
            }
            // A turn may end between the check and the wait.
            let changed = self.suspects.turn_changed();
            let _ = timeout(time_left.min(TURN_POLL_TIME), changed).await;
        };
        let waited = self.now() - began_at;
        request.objective = request.objective.saturating_sub(waited);
        request.timeout = request.timeout.saturating_sub(waited);
        Ok(turn)
    }

    /// Waits for a slot, then checks again that the request may be handed to the target.
    async fn acquire(self: &Arc<Self>, request: &HopRequest) -> Result<SlotGuard, Refusal> {
        let mut wait_guard = {
            let now = self.now();
            let mut state = lock(&self.state);
            state.check(self.oldest_report(), request)?;
            state.check_limit(now, request.when_limited)?;
            let slot_request = SlotRequest {
                is_nested: request.is_nested,
                urgency: request.urgency,
                chain_rank: chain_rank(&request.request_id),
                objective: now + request.objective,
                deadline: now + request.timeout.saturating_sub(request.refusal_time),
            };
            let (decision, actions) = state.queue.offer(now, slot_request);
            state.apply_actions(now, actions);
            match decision {
                SlotDecision::Start => return Ok(SlotGuard::new(Arc::clone(self), request)),
                SlotDecision::Refuse { wait } => {
                    return Err(state.queue_refusal(now, RefusalReason::QueueFull, wait));
                }
                SlotDecision::Wait(key) => {
                    let (sender, grant) = oneshot::channel();
                    let waiting = WaitingRequest {
                        grant: sender,
                        is_nested: request.is_nested,
                    };
                    state.waiting.insert(key, waiting);
                    WaitGuard {
                        shared: Arc::clone(self),
                        key: Some(key),
                        is_nested: request.is_nested,
                        grant,
                    }
                }
            }
        };
        let granted = (&mut wait_guard.grant).await;
        wait_guard.key = None;
        match granted {
            Ok(Ok(())) => {}
            Ok(Err(wait)) => {
                let now = self.now();
                let mut state = lock(&self.state);
                return Err(state.queue_refusal(now, RefusalReason::Displaced, wait));
            }
            Err(_) => return Err((RefusalReason::Stopping, Duration::ZERO)),
        }
        let slot = SlotGuard::new(Arc::clone(self), request);
        lock(&self.state).check(self.oldest_report(), request)?;
        Ok(slot)
    }

    async fn hand_over(
        self: Arc<Self>,
        request: HopRequest,
        mut slot: SlotGuard,
        deadline: TickTime,
    ) -> AttemptResult {
        let started = self.now();
        let time_left = deadline - started;
        // The process may have been paused after the request acquired its slot.
        if time_left.is_zero() {
            return AttemptResult::NotRun {
                reason: RefusalReason::DeadlineExceeded,
                wait: Duration::ZERO,
            };
        }
        if let Some(hold) = self.suspects.hold(started, &request) {
            log::info!(
                "event=request_held request_id={} digest={} hold_ms={}",
                request.request_id.to_str().unwrap_or("malformed"),
                hold.digest,
                hold.time_left.as_millis()
            );
            let (reason, wait) = (RefusalReason::RequestHeld, hold.time_left);
            return AttemptResult::NotRun { reason, wait };
        }
        let begun = lock(&self.state).begin_hand_over(self.oldest_report(), &request, deadline);
        let target = match begun {
            Ok(target) => target,
            Err((reason, wait)) => return AttemptResult::NotRun { reason, wait },
        };
        let message = match self.build_message(&request, &target.id, time_left) {
            Ok(message) => message,
            Err(detail) => {
                log::warn!("event=hand_over_failed error={detail:?}");
                return AttemptResult::NotRun {
                    reason: RefusalReason::BadRequest,
                    wait: Duration::ZERO,
                };
            }
        };
        log::info!(
            "event=hand_over request_id={} attempt_id={} target={:?} nested={} repeat={} waited_ms={} left_ms={}",
            request.request_id.to_str().unwrap_or("malformed"),
            request.attempt_id,
            target.id,
            request.is_nested,
            request.is_repeat,
            request.timeout.saturating_sub(time_left).as_millis(),
            time_left.as_millis()
        );
        let parent = self.parents.register(&request, deadline);
        let exchange = self
            .client
            .exchange(message, &request.request_id, request.is_at_most_once);
        let Ok(outcome) = timeout(time_left, exchange).await else {
            return AttemptResult::Unknown {
                detail: "the target did not answer in time".to_owned(),
            };
        };
        if let Err(ExchangeFailure::Broken(_)) = &outcome {
            self.suspects
                .record_broken(self.now(), &target, &request, started);
            self.probe_after_break(&target);
            if !request.is_at_most_once {
                self.delay_repeat(&target, deadline).await;
            }
        }
        let outcome = outcome.map(|TargetAnswer { result, notice }| {
            let is_whole = matches!(
                &result,
                AttemptResult::Ran { answer, .. } if !answer.status.is_server_error()
            );
            if let Some(notice) = notice {
                self.apply_notice(&target, notice, started, is_whole);
            }
            result
        });
        let mut result = self.record_outcome(outcome);
        let has_run = matches!(result, AttemptResult::Ran { .. });
        if has_run && self.suspects.record_answer(&request) {
            self.changed.notify_one();
        }
        if let AttemptResult::Ran {
            answer,
            is_downstream_failure,
            chain_limit,
            wait,
        } = &mut result
        {
            *is_downstream_failure = answer.status.is_server_error() && parent.has_refused_call();
            *chain_limit = parent.chain_limit();
            slot.service_time = Some(self.now() - started);
            *wait = lock(&self.state)
                .queue
                .expected_wait(self.now(), request.is_nested);
        }
        result
    }

    fn apply_notice(
        &self,
        target: &TargetIdentity,
        notice: TargetNotice,
        handed_over_at: TickTime,
        is_whole: bool,
    ) {
        let mut state = lock(&self.state);
        if state.apply_notice(self.now(), target, notice, handed_over_at, is_whole) {
            self.changed.notify_one();
        }
    }

    /// Finds out whether the target has ended after a connection to it broke. A connection may break for other reasons, so only
    /// a refused one counts; otherwise the report of the next incarnation tells.
    fn probe_after_break(self: &Arc<Self>, target: &TargetIdentity) {
        let (shared, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            if shared.refuses_connections(&target).await {
                shared.record_end(&target);
            }
        });
    }

    /// Returns whether nothing listens at the target's address any more. Those who ask meanwhile share a connection.
    async fn refuses_connections(&self, target: &TargetIdentity) -> bool {
        let asked_at = self.now();
        let mut last = self.last_probe.lock().await;
        if let Some(probe) = last.as_ref().filter(|probe| probe.target == *target) {
            let age = asked_at.saturating_since(probe.ended_at);
            if age.is_zero() || (probe.is_refused && age < SUSPECT_LIST_TIME) {
                return probe.is_refused;
            }
        }
        let is_refused = self.client.refuses_connections().await;
        *last = Some(TargetProbe {
            target: target.clone(),
            ended_at: self.now(),
            is_refused,
        });
        is_refused
    }

    /// Delays the result of a request under which the target has ended until all nodes know that the request is suspect. Repeated
    /// at once, all requests that were at work here would meet at the next target, and if that one ended too, it would not be
    /// known under which of them.
    async fn delay_repeat(&self, target: &TargetIdentity, deadline: TickTime) {
        let probe = timeout(SUSPECT_LIST_TIME, self.refuses_connections(target));
        if probe.await == Ok(true) {
            let time_left = deadline - self.now();
            sleep(SUSPECT_LIST_TIME.min(time_left)).await;
        }
    }

    /// Records the end of the incarnation, unless it is leaving or another one is in use.
    fn record_end(&self, target: &TargetIdentity) {
        let serving = lock(&self.state).serving_identity();
        if let Some(serving) = serving.filter(|serving| serving == target) {
            self.suspects.record_end(self.now(), serving);
        }
    }

    fn record_outcome(&self, outcome: Result<AttemptResult, ExchangeFailure>) -> AttemptResult {
        let mut state = lock(&self.state);
        match outcome {
            Ok(result) => {
                state.connect_failures = 0;
                if let AttemptResult::NotRun {
                    reason: RefusalReason::TargetReplaced,
                    ..
                } = result
                {
                    // Another incarnation now has this address; its report is expected soon.
                    state.target.mark_lost();
                    log::info!("event=target_lost reason=identity");
                }
                result
            }
            Err(ExchangeFailure::Connect(detail)) => {
                state.connect_failures += 1;
                if state.connect_failures >= CONNECT_FAILURE_THRESHOLD {
                    state.target.mark_lost();
                    log::info!("event=target_lost reason=connect error={detail:?}");
                }
                AttemptResult::NotRun {
                    reason: RefusalReason::TargetDown,
                    wait: Duration::ZERO,
                }
            }
            Err(ExchangeFailure::Broken(detail)) => AttemptResult::Unknown { detail },
        }
    }

    fn build_message(
        &self,
        request: &HopRequest,
        target_id: &str,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>, String> {
        let uri = Uri::try_from(&request.target).map_err(|error| error.to_string())?;
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = uri;
        let headers = message.headers_mut();
        headers.clone_from(&request.headers);
        let mut set = |name: &HeaderName, value: &str| {
            let value = HeaderValue::from_str(value).map_err(|error| error.to_string())?;
            headers.insert(name, value);
            Ok::<_, String>(())
        };
        set(&HOST, &request.host)?;
        set(&self.names.caller, request.caller.as_str())?;
        set(&self.names.expected_target, target_id)?;
        set(&self.names.deadline_ms, &time_left.as_millis().to_string())?;
        Ok(message)
    }
}

/// Holds a slot until it is dropped.
#[derive(Debug)]
struct SlotGuard {
    shared: Arc<GateShared>,
    is_nested: bool,
    service_time: Option<Duration>,
}

impl SlotGuard {
    fn new(shared: Arc<GateShared>, request: &HopRequest) -> Self {
        Self {
            shared,
            is_nested: request.is_nested,
            service_time: None,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        let actions = state.queue.finish(now, self.is_nested, self.service_time);
        state.apply_actions(now, actions);
    }
}

/// Removes a request from the queue, or releases its granted slot, if its future is dropped.
#[derive(Debug)]
struct WaitGuard {
    shared: Arc<GateShared>,
    key: Option<WaitKey>,
    is_nested: bool,
    grant: oneshot::Receiver<Result<(), Duration>>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let Some(key) = self.key else {
            return;
        };
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        if state.waiting.remove(&key).is_some() {
            state.queue.cancel(key);
        } else if let Ok(Ok(())) = self.grant.try_recv() {
            let actions = state.queue.finish(now, self.is_nested, None);
            state.apply_actions(now, actions);
        }
    }
}
