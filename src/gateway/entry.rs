//! Entry point for requests: request id, route lookup, choice of a route part and request counts per service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::HeaderValue;

use crate::routes::RouteEntry;
use crate::types::{RefusalReason, TickTime};

use super::answer::Answer;
use super::exchange::{Exchange, refusal};
use super::framing::FramedRequest;
use super::state::{ActiveGuard, GatewayState};

/// Request of a client or of the local target.
#[derive(Debug)]
pub(super) struct EntryRequest {
    pub(super) framed: FramedRequest,
    pub(super) arrived_at: TickTime,
}

/// Distributes the requests of a route over its parts in proportion to their weights.
#[derive(Debug, Default)]
pub(super) struct PartCounters {
    by_route: BTreeMap<String, Vec<PartCounter>>,
}

#[derive(Debug, Clone, Copy)]
struct PartCounter {
    weight: u32,
    count: i64,
}

impl PartCounters {
    /// Chooses the part that is furthest behind its share (smooth weighted round robin).
    pub(super) fn next_part(&mut self, route: &RouteEntry) -> usize {
        if route.parts.len() == 1 {
            return 0;
        }
        let counters = self.by_route.entry(route.name.clone()).or_default();
        let weights = || route.parts.iter().map(|part| part.weight);
        // Counts under other weights say nothing about the shares under these.
        if !counters.iter().map(|counter| counter.weight).eq(weights()) {
            let counter = |weight| PartCounter { weight, count: 0 };
            *counters = weights().map(counter).collect();
        }
        let mut total = 0;
        for counter in counters.iter_mut() {
            counter.count += i64::from(counter.weight);
            total += i64::from(counter.weight);
        }
        let weighted = (0..counters.len()).filter(|index| counters[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| counters[*index].count);
        let chosen = chosen.unwrap_or(0);
        counters[chosen].count -= total;
        chosen
    }
}

/// Routes one request and returns its answer with the request id.
pub(super) async fn serve(state: &Arc<GatewayState>, request: EntryRequest) -> Answer {
    let _active = ActiveGuard::new(&state.active);
    let arrived_at = request.arrived_at;
    let names = &state.config.names;
    let request_id = request.framed.headers.get(&names.request_id).cloned();
    let mut answer = match request_id.clone() {
        Some(request_id) => route(state, request, request_id).await,
        None => Answer::own(StatusCode::BAD_REQUEST, "request-id-missing"),
    };
    if let Some(request_id) = request_id {
        answer
            .headers
            .entry(&names.request_id)
            .or_insert(request_id);
    }
    state.metrics.time("request", state.now() - arrived_at);
    answer
}

async fn route(
    state: &Arc<GatewayState>,
    request: EntryRequest,
    request_id: HeaderValue,
) -> Answer {
    let book = state.book();
    let id = request_id.to_str().unwrap_or("malformed").to_owned();
    if book.version() == 0 {
        log::info!("event=refused request_id={id} reason=no-routes");
        state.metrics.count("refused.no_routes");
        return refusal(state, RefusalReason::NoTarget, Duration::ZERO);
    }
    let path = request.framed.target.split('?').next().unwrap_or_default();
    let Some(key) = book.find(&request.framed.host, path) else {
        let version = book.version();
        log::info!("event=refused request_id={id} reason=no-route version={version}");
        state.metrics.count("refused.no_route");
        return Answer::own(StatusCode::NOT_FOUND, "no-route");
    };
    let mut exchange = Exchange::new(state, &book, key, request, request_id, id.clone());
    state.record_first(exchange.service());
    if exchange.is_repeat() {
        state.record_upstream_retry(exchange.service());
    }
    if exchange.is_too_late() {
        let answer = refusal(state, RefusalReason::Stopping, Duration::ZERO);
        exchange.log_answer(&answer);
        return answer;
    }
    if let Some(limit) = exchange.exceeded_limit() {
        let answer = exchange.refuse_chain(limit);
        exchange.log_answer(&answer);
        return answer;
    }
    let answer = exchange.run().await;
    exchange.record_call_outcome(&answer);
    exchange.log_answer(&answer);
    answer
}
