//! Processing of one client request: target choice, attempts, retries and the final answer.

use std::time::Duration;

use http::header::{HOST, HeaderValue};
use http::{HeaderMap, StatusCode};
use rand::Rng;
use tokio::time::timeout;
use uuid::Uuid;

use crate::admission::{ChainPosition, ReportedLimit};
use crate::retry::RetryCause;
use crate::routes::{RepeatKind, RouteBook, RouteEntry, RouteKey};
use crate::routing::{LoadReport, RouteChoice, RouteDecision, RouteRequest, SendResult, TargetKey};
use crate::types::{
    AttemptId, PriorityClass, RefusalReason, RequestPriority, ServiceName, TickTime,
};

use super::answer::{Answer, AttemptResult};
use super::call_paces::LimitedCall;
use super::chain_limits::tighter;
use super::entry::EntryRequest;
use super::gate::CancelOutcome;
use super::hop::{HopReply, HopRequest, LimitPolicy, strip_connection_headers};
use super::parents::chain_rank;
use super::state::{GatewayState, lock};
use super::suspect_watch::RequestHold;
use super::target_terms::TargetStatus;

/// Number of excluded targets at which a refusal by a node ends the search and is returned to the client. Targets that
/// refused the request themselves do not count. Each refusal costs a round trip.
const MAX_EXCLUDED_TARGETS: usize = 4;
/// Refusals by targets themselves after which the client is refused. The retry budget bounds their total. With 12, a call
/// that half of all targets refuse fails once in 4,000 times.
const MAX_TARGET_REFUSALS: usize = 12;
/// Refusals by targets whose limit is used up after which the request waits for the limit of the next one.
const MAX_LIMIT_REFUSALS: usize = 3;
/// Retry delay for clients when the expected wait is unknown: about one heartbeat.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of the latency objective within which the nearest target is fast enough; it is preferred because traffic
/// between zones is billed. The rest is a margin for requests that take longer than average.
const NEAREST_TARGET_FRACTION: f64 = 0.7;
/// Fraction of the latency objective after which a failed request is not sent again. The repeat would be late and would
/// take capacity from other requests.
const MAX_REPEAT_AGE_FRACTION: f64 = 0.4;
/// Mean retry delay of a request whose chain would not complete, as a fraction of its latency objective.
const CHAIN_RETRY_FRACTION: f64 = 0.5;
/// Lower bound of the retry delay. A client that retries sooner would usually find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// One client request and the state of its attempts.
#[derive(Debug)]
pub(super) struct Exchange<'a> {
    state: &'a GatewayState,
    route: &'a RouteEntry,
    version: u64,
    id: String,
    hop: HopRequest,
    arrived_at: TickTime,
    objective_at: TickTime,
    end_at: TickTime,
    /// Targets whose node refused the request, and targets that may have run it.
    excluded: Vec<TargetKey>,
    /// Targets that refused the request themselves. They are tried again once no other target is left.
    refusing_targets: Vec<TargetKey>,
    target_refusals: usize,
    /// Refusals by targets whose limit was used up.
    limit_refusals: usize,
    /// Shortest wait that such a refusal named.
    limit_wait: Option<Duration>,
    /// What the last answer showed about the limit of its target.
    limited_call: Option<LimitedCall>,
    /// The last answer failed because a downstream call was refused.
    is_downstream_failure: bool,
    /// Limit on chains that came with the last answer.
    chain_limit: Option<ChainPosition>,
    attempts: u32,
    refusals: u32,
}

/// Next step after an attempt.
#[derive(Debug)]
enum NextStep {
    Answer(Answer),
    TryAnother,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        state: &'a GatewayState,
        book: &'a RouteBook,
        key: RouteKey,
        request: EntryRequest,
        request_id: HeaderValue,
        id: String,
    ) -> Self {
        let route = book.route(key);
        let part = lock(&state.counters).next_part(route);
        let EntryRequest { framed, arrived_at } = request;
        let mut headers = framed.headers;
        let deadline = read_deadline(&headers, state).unwrap_or(route.timeout);
        let parent = state.gate.parents().parent_of(&id);
        strip_connection_headers(&mut headers);
        headers.remove(HOST);
        let names = &state.config.names;
        for name in [&names.deadline_ms, &names.caller, &names.expected_target] {
            headers.remove(name);
        }
        let hop = HopRequest {
            method: framed.method,
            target: framed.target,
            host: framed.host,
            headers,
            body: framed.body,
            service: route.parts[part].service.clone(),
            caller: state.config.service.clone(),
            request_id,
            attempt_id: new_attempt_id(),
            is_nested: parent.is_some(),
            is_at_most_once: route.repeat_kind == RepeatKind::AtMostOnce,
            is_repeat: parent.is_some_and(|parent| parent.is_repeat),
            urgency: parent.map_or(route.urgency, |parent| parent.urgency),
            objective: route.objective,
            timeout: route.timeout,
            refusal_time: Duration::ZERO,
            when_limited: LimitPolicy::Refuse,
            terms: None,
            route: None,
        };
        let mut end_at = arrived_at + deadline.min(route.timeout);
        if let Some(parent) = parent {
            end_at = end_at.min(parent.end_at);
        }
        Self {
            state,
            route,
            version: book.version(),
            id,
            hop,
            arrived_at,
            objective_at: arrived_at + route.objective,
            end_at,
            excluded: Vec::new(),
            refusing_targets: Vec::new(),
            target_refusals: 0,
            limit_refusals: 0,
            limit_wait: None,
            limited_call: None,
            is_downstream_failure: false,
            chain_limit: None,
            attempts: 0,
            refusals: 0,
        }
    }

    /// Makes attempts until there is a final answer.
    pub(super) async fn run(&mut self) -> Answer {
        loop {
            if self.state.now() >= self.end_at || self.state.ending.is_cancelled() {
                return self.expired();
            }
            if let Some(hold) = self.state.suspects.hold(self.state.now(), &self.hop) {
                return self.refuse_held(hold);
            }
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(answer) => return *answer,
            };
            match self.attempt(choice).await {
                NextStep::Answer(answer) => return answer,
                NextStep::TryAnother => {}
            }
        }
    }

    /// Gives up a request under which targets have ended.
    fn refuse_held(&self, hold: RequestHold) -> Answer {
        self.state.metrics.count("refused.request_held");
        log::info!(
            "event=request_held request_id={} digest={} route={} hold_ms={}",
            self.id,
            hold.digest,
            self.route.name,
            hold.time_left.as_millis()
        );
        self.give_up(RefusalReason::RequestHeld, hold.time_left)
    }

    fn choose(&mut self) -> Result<RouteChoice, Box<Answer>> {
        let excluded = [self.excluded.as_slice(), &self.refusing_targets].concat();
        let mut decision = self.decide(&excluded);
        let is_refused = matches!(decision, RouteDecision::Refuse { .. });
        if is_refused && !self.refusing_targets.is_empty() {
            self.refusing_targets.clear();
            decision = self.decide(&self.excluded);
        }
        match decision {
            RouteDecision::Send(choice) => Ok(choice),
            RouteDecision::Refuse {
                reason,
                retry_after,
            } => Err(Box::new(self.give_up(reason, retry_after))),
        }
    }

    fn decide(&self, excluded: &[TargetKey]) -> RouteDecision {
        let request = RouteRequest {
            service: &self.hop.service,
            endpoint: &self.route.name,
            priority: RequestPriority::lowest_of(class_of(self.route.urgency)),
            acceptable_completion_time: self.route.objective.mul_f64(NEAREST_TARGET_FRACTION),
            is_nested: self.hop.is_nested,
            body_bytes: self.hop.body.len(),
            excluded,
        };
        let mut rng = lock(&self.state.rng);
        let mut table = lock(&self.state.table);
        let decision = table.choose(self.state.now(), &request, &mut *rng);
        if let RouteDecision::Send(choice) = &decision {
            table.start(choice.key);
        }
        decision
    }

    async fn attempt(&mut self, choice: RouteChoice) -> NextStep {
        let now = self.state.now();
        self.hop.attempt_id = new_attempt_id();
        self.hop.timeout = self.end_at - now;
        self.hop.objective = self.objective_at - now;
        let may_use_another = choice.has_alternative && self.limit_refusals < MAX_LIMIT_REFUSALS;
        self.hop.when_limited = if may_use_another {
            LimitPolicy::Refuse
        } else {
            LimitPolicy::Wait
        };
        self.hop.terms = lock(&self.state.terms).get(choice.address);
        let in_flight = InFlight {
            state: self.state,
            key: Some(choice.key),
        };
        let is_own = choice.node_id == self.state.node_id;
        let sending = async {
            if is_own {
                self.state.run_at_target(self.hop.clone()).await
            } else {
                self.state.peers.send(choice.address, &self.hop).await
            }
        };
        let result = tokio::select! {
            biased;
            result = timeout(self.hop.timeout, sending) => result.ok(),
            () = self.state.ending.cancelled() => None,
        };
        let span = self.state.now() - now;
        let Some(result) = result else {
            self.log_attempt(&choice, "timeout", "", span);
            if self.cancel_attempt(&choice, is_own).await {
                drop(in_flight);
            } else {
                in_flight.record(self.route, span, SendResult::Failed, LoadReport::default());
                self.attempts += 1;
            }
            return NextStep::Answer(self.expired());
        };
        let HopReply { result, status } = result;
        self.record_status(&choice, is_own, &status, &result);
        match result {
            AttemptResult::Ran {
                answer,
                is_downstream_failure,
                chain_limit,
                wait,
            } => {
                self.record_limit(chain_limit);
                self.excluded.push(choice.key);
                self.is_downstream_failure = is_downstream_failure;
                let is_failure = answer.status.is_server_error();
                let sent = if is_failure {
                    SendResult::Failed
                } else {
                    SendResult::Answered
                };
                // A downstream failure is not counted against this target.
                if is_downstream_failure {
                    drop(in_flight);
                } else {
                    in_flight.record(
                        self.route,
                        span,
                        sent,
                        load_report(wait, self.hop.is_nested),
                    );
                }
                self.log_attempt(&choice, "ran", answer.status.as_str(), span);
                self.attempts += 1;
                self.after_answer(answer)
            }
            AttemptResult::NotRun { reason, wait } => {
                let sent = SendResult::Refused(reason);
                in_flight.record(
                    self.route,
                    span,
                    sent,
                    load_report(wait, self.hop.is_nested),
                );
                self.log_attempt(&choice, "not-run", reason.as_str(), span);
                self.after_refusal(choice.key, reason, wait)
            }
            AttemptResult::Unknown { detail } => {
                self.excluded.push(choice.key);
                in_flight.record(self.route, span, SendResult::Failed, LoadReport::default());
                self.log_attempt(&choice, "unknown", &detail, span);
                self.attempts += 1;
                self.after_unknown_outcome(&choice, is_own).await
            }
        }
    }

    fn after_answer(&mut self, answer: Answer) -> NextStep {
        // A request that timed out at the target would probably time out again.
        let is_repeatable = answer.status.is_server_error()
            && !self.is_downstream_failure
            && answer.status != StatusCode::GATEWAY_TIMEOUT
            && self.state.now() - self.arrived_at
                < self.route.objective.mul_f64(MAX_REPEAT_AGE_FRACTION);
        if !is_repeatable || !self.may_repeat() {
            return NextStep::Answer(replace_not_run_status(answer));
        }
        NextStep::TryAnother
    }

    fn after_refusal(&mut self, key: TargetKey, reason: RefusalReason, wait: Duration) -> NextStep {
        self.refusals += 1;
        if reason == RefusalReason::TargetLimited {
            let shortest = self.limit_wait.map_or(wait, |known| known.min(wait));
            self.limit_wait = Some(shortest);
        }
        let may_go_on = match reason {
            // A request that reached a target is charged to the retry budget even if the target refused it.
            RefusalReason::TargetRefused | RefusalReason::TargetReplaced => {
                self.refusing_targets.push(key);
                self.target_refusals += 1;
                self.target_refusals < MAX_TARGET_REFUSALS && self.try_retry(RetryCause::Refused)
            }
            // All targets would refuse it.
            RefusalReason::RequestHeld => false,
            // The request is sent here again, to wait, once no other target has room.
            RefusalReason::TargetLimited | RefusalReason::SuspectAtWork
                if self.hop.when_limited == LimitPolicy::Refuse =>
            {
                self.refusing_targets.push(key);
                self.limit_refusals += 1;
                true
            }
            _ => {
                if !self.excluded.contains(&key) {
                    self.excluded.push(key);
                }
                self.excluded.len() < MAX_EXCLUDED_TARGETS
            }
        };
        if may_go_on {
            NextStep::TryAnother
        } else {
            NextStep::Answer(self.give_up(reason, wait))
        }
    }

    /// Records what the node beside the target reported about it.
    fn record_status(
        &mut self,
        choice: &RouteChoice,
        is_own: bool,
        status: &TargetStatus,
        result: &AttemptResult,
    ) {
        let now = self.state.now();
        if let Some(wait) = status.limit_wait {
            lock(&self.state.table).record_limit_wait(now, choice.key, wait);
        }
        let has_run = matches!(result, AttemptResult::Ran { .. });
        if has_run {
            self.limited_call = Some(match status.limit_wait {
                Some(_) => LimitedCall::Served,
                None => LimitedCall::Unlimited,
            });
        }
        if !is_own {
            let mut terms = lock(&self.state.terms);
            terms.record(now, choice.address, choice.node_id, status, has_run);
        }
    }

    async fn after_unknown_outcome(&mut self, choice: &RouteChoice, is_own: bool) -> NextStep {
        if self.may_repeat() {
            return NextStep::TryAnother;
        }
        if !is_own && self.cancel_attempt(choice, is_own).await {
            self.attempts -= 1;
            return self.after_refusal(choice.key, RefusalReason::AnswerLost, Duration::ZERO);
        }
        NextStep::Answer(Answer::own(
            StatusCode::BAD_GATEWAY,
            RefusalReason::AnswerLost.as_str(),
        ))
    }

    /// Asks the target's node to forbid an attempt that has no result. Returns whether it is proven that the attempt has
    /// not run and never will.
    async fn cancel_attempt(&self, choice: &RouteChoice, is_own: bool) -> bool {
        let attempt_id = self.hop.attempt_id;
        let is_not_run = if is_own {
            self.state.gate.cancel(attempt_id) == CancelOutcome::NotRun
        } else {
            let peers = &self.state.peers;
            peers
                .cancel(choice.address, choice.node_id, attempt_id)
                .await
        };
        log::info!(
            "event=cancelled request_id={} attempt_id={attempt_id} peer={} not_run={is_not_run}",
            self.id,
            choice.address
        );
        is_not_run
    }

    /// Decides whether the request may be sent again although an earlier attempt may have run.
    fn may_repeat(&mut self) -> bool {
        !self.hop.is_at_most_once
            && self.attempts < self.route.attempts
            && self.state.now() < self.end_at
            && self.try_retry(RetryCause::MayHaveRun)
    }

    fn try_retry(&mut self, cause: RetryCause) -> bool {
        let is_allowed = self
            .state
            .try_retry(&self.hop.service, self.hop.urgency, cause);
        self.hop.is_repeat |= is_allowed;
        is_allowed
    }

    /// Returns the answer for an expired deadline or the end of the process. Only if no target can have run the request is
    /// the answer a refusal, which promises the client that the request has not run.
    fn expired(&self) -> Answer {
        let reason = if self.state.ending.is_cancelled() {
            RefusalReason::Stopping
        } else {
            RefusalReason::DeadlineExceeded
        };
        if self.attempts == 0 {
            return self.give_up(reason, Duration::ZERO);
        }
        Answer::own(StatusCode::GATEWAY_TIMEOUT, reason.as_str())
    }

    fn give_up(&self, reason: RefusalReason, wait: Duration) -> Answer {
        if self.attempts > 0 {
            return Answer::own(StatusCode::BAD_GATEWAY, reason.as_str());
        }
        // The limits explain why no target is left, and when one has room.
        let is_limited = matches!(
            reason,
            RefusalReason::NoTarget | RefusalReason::TargetLimited
        );
        if let Some(limit_wait) = self.limit_wait.filter(|_| is_limited) {
            self.state.metrics.count("refused.target_limit");
            return refusal(self.state, RefusalReason::TargetLimited, limit_wait);
        }
        refusal(self.state, reason, wait)
    }

    /// Returns whether the request comes too late in a planned stop. Calls of running requests are still served.
    pub(super) fn is_too_late(&self) -> bool {
        !self.hop.is_nested && self.state.is_past_acceptance()
    }

    /// Returns the limit that the request's chain exceeds, if it is not likely to complete. Only requests that begin a chain
    /// are judged.
    pub(super) fn exceeded_limit(&self) -> Option<ReportedLimit> {
        if self.hop.is_nested {
            return None;
        }
        let limits = &self.state.chain_limits;
        limits.exceeded(self.state.now(), &self.route.name, self.position())
    }

    /// Refuses a request whose chain is not likely to complete. The client may return while its answer can still be in
    /// time, spread over half of the objective so that refused clients do not return together.
    pub(super) fn refuse_chain(&self, limit: ReportedLimit) -> Answer {
        self.state.metrics.count("refused.chain_limit");
        log::info!(
            "event=chain_refused request_id={} route={} position={} limit={} limit_age_ms={}",
            self.id,
            self.route.name,
            self.position(),
            limit.position(),
            limit.age(self.state.now()).as_millis()
        );
        let mean_wait = self.route.objective.mul_f64(CHAIN_RETRY_FRACTION);
        let factor = lock(&self.state.rng).random_range(0.5..1.5);
        let wait = mean_wait.mul_f64(factor).max(MIN_RETRY_AFTER);
        let reason = RefusalReason::AdmissionLevel.as_str();
        Answer::own(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(wait)
    }

    /// Records the limit that came with an answer. That of a client request holds for later ones on its route.
    fn record_limit(&mut self, limit: Option<ChainPosition>) {
        self.chain_limit = limit;
        if !self.hop.is_nested {
            let limits = &self.state.chain_limits;
            limits.report(self.state.now(), &self.route.name, limit);
        }
    }

    /// Passes the outcome of a call on to its parent. Client requests have none.
    pub(super) fn record_call_outcome(&self, answer: &Answer) {
        if !self.hop.is_nested {
            return;
        }
        let now = self.state.now();
        let limits = &self.state.chain_limits;
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        let learnt = limits.record_call(now, &self.hop.service, self.position(), is_refused);
        let limit = tighter(learnt, self.chain_limit);
        self.record_limited_call(now, is_refused);
        let is_refused = is_refused || self.is_downstream_failure;
        self.state
            .gate
            .parents()
            .record_call(&self.id, limit, is_refused);
    }

    /// Tells the pace of requests like the parent whether limits left room for the call.
    fn record_limited_call(&self, now: TickTime, is_refused: bool) {
        let paces = &self.state.call_paces;
        let is_refused_by_limit = is_refused && self.limit_wait.is_some();
        let call = match self.limited_call {
            _ if is_refused_by_limit => LimitedCall::Refused,
            Some(call) if paces.are_in_use(now) => call,
            _ => return,
        };
        let route = self.state.gate.parents().route_of_parent(&self.id);
        paces.record(now, route, &self.hop.service, self.hop.urgency, call);
    }

    fn position(&self) -> ChainPosition {
        ChainPosition::new(self.hop.urgency, chain_rank(&self.hop.request_id))
    }

    pub(super) fn is_repeat(&self) -> bool {
        self.hop.is_repeat
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.hop.service
    }

    fn log_attempt(&self, choice: &RouteChoice, outcome: &str, detail: &str, span: Duration) {
        self.state.metrics.count(match outcome {
            "ran" => "attempt.ran",
            "not-run" => "attempt.not_run",
            "timeout" => "attempt.timeout",
            _ => "attempt.unknown",
        });
        log::info!(
            "event=attempt request_id={} attempt_id={} service={} node={} peer={} outcome={outcome} detail={detail:?} span_ms={}",
            self.id,
            self.hop.attempt_id,
            self.hop.service,
            choice.node_id,
            choice.address,
            span.as_millis()
        );
    }

    pub(super) fn log_answer(&self, answer: &Answer) {
        self.state.metrics.count(match answer.status.as_u16() {
            200..300 => "answer.success",
            503 => "answer.refused",
            504 => "answer.timeout",
            _ => "answer.failure",
        });
        log::info!(
            "event=answered request_id={} route={} version={} nested={} status={} attempts={} refusals={} span_ms={} objective_ms={}",
            self.id,
            self.route.name,
            self.version,
            self.hop.is_nested,
            answer.status.as_u16(),
            self.attempts,
            self.refusals,
            (self.state.now() - self.arrived_at).as_millis(),
            self.route.objective.as_millis()
        );
    }
}

/// Attempt that counts as in flight at its target. Dropping it without a result cancels the count.
#[derive(Debug)]
struct InFlight<'a> {
    state: &'a GatewayState,
    key: Option<TargetKey>,
}

impl InFlight<'_> {
    fn record(mut self, route: &RouteEntry, span: Duration, sent: SendResult, report: LoadReport) {
        let Some(key) = self.key.take() else {
            return;
        };
        let now = self.state.now();
        lock(&self.state.table).record(now, key, &route.name, span, sent, &report);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            lock(&self.state.table).cancel_started(key);
        }
    }
}

/// Replaces an answer of a target that ran the request by a 502 if its status would mean "not run" to the client.
fn replace_not_run_status(answer: Answer) -> Answer {
    let promises = matches!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promises {
        let reason = RefusalReason::TargetRefused.as_str();
        return Answer::own(StatusCode::BAD_GATEWAY, reason);
    }
    answer
}

fn load_report(wait: Duration, is_nested: bool) -> LoadReport {
    LoadReport {
        queue_wait: Some(wait),
        is_nested,
        ..LoadReport::default()
    }
}

/// Builds the refusal of a request that has not run, with the time after which the client may retry.
pub(super) fn refusal(state: &GatewayState, reason: RefusalReason, wait: Duration) -> Answer {
    let wait = if wait.is_zero() {
        DEFAULT_RETRY_AFTER
    } else {
        wait
    };
    let wait = state.jitter(wait.max(MIN_RETRY_AFTER));
    Answer::own(StatusCode::SERVICE_UNAVAILABLE, reason.as_str()).with_retry_after(wait)
}

fn read_deadline(headers: &HeaderMap, state: &GatewayState) -> Option<Duration> {
    let value = headers.get(&state.config.names.deadline_ms)?;
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if millis.is_none() {
        log::info!("event=deadline_malformed value={value:?}");
    }
    millis.map(Duration::from_millis)
}

/// Maps an urgency rank to a priority class. Only the order of the classes matters here.
fn class_of(urgency: u32) -> PriorityClass {
    match urgency {
        0 => PriorityClass::Critical,
        1 => PriorityClass::Upload,
        2 => PriorityClass::Interactive,
        _ => PriorityClass::Read,
    }
}

fn new_attempt_id() -> AttemptId {
    AttemptId::from_uuid(Uuid::new_v4())
}
