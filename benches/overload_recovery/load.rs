//! Open-loop load from clients that retry aggressively, with results per second.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyjunction::types::{IdempotencyKey, RequestId};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Number of times that a client sends one request before it gives up.
const CLIENT_SENDS: u32 = 4;
/// Pause of a client between two sends. Clients ignore `Retry-After`.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a client waits for the answer to each send.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// One request in this many is an at-most-once request of class critical; the others are reads.
const CRITICAL_EVERY: u64 = 10;

/// Results of the requests that ended within one second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SecondResult {
    pub(crate) answered: u64,
    pub(crate) reads_answered: u64,
    pub(crate) critical_answered: u64,
    pub(crate) critical_shed: u64,
    pub(crate) gave_up: u64,
}

/// Phases of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadPlan {
    pub(crate) before_seconds: u64,
    pub(crate) overload_seconds: u64,
    pub(crate) after_seconds: u64,
    /// Requests per second before and after the overload; during the overload it is doubled.
    pub(crate) rate: u64,
}

impl LoadPlan {
    fn total_s(self) -> u64 {
        self.before_seconds + self.overload_seconds + self.after_seconds
    }

    fn rate_at(self, second: u64) -> u64 {
        let is_overload =
            second >= self.before_seconds && second < self.before_seconds + self.overload_seconds;
        if is_overload {
            2 * self.rate
        } else {
            self.rate
        }
    }
}

/// Counts of a whole run.
#[derive(Debug, Default)]
pub(crate) struct LoadResult {
    pub(crate) seconds: Vec<SecondResult>,
    pub(crate) requests: u64,
    pub(crate) max_attempts: u64,
    pub(crate) attempts: u64,
    pub(crate) refusals: std::collections::BTreeMap<String, u64>,
}

struct LoadShared {
    entries: Vec<SocketAddr>,
    credential: String,
    client: Client<HttpConnector, Full<Bytes>>,
    start: Instant,
    result: Mutex<LoadResult>,
}

/// Runs the load. Calls `at_phase` with true when the overload starts and with false when it ends.
pub(crate) async fn run_load(
    plan: LoadPlan,
    entries: Vec<SocketAddr>,
    credential: String,
    mut at_phase: impl AsyncFnMut(bool),
) -> LoadResult {
    let shared = Arc::new(LoadShared {
        entries,
        credential,
        client: Client::builder(TokioExecutor::new()).build_http(),
        start: Instant::now(),
        result: Mutex::default(),
    });
    let mut number = 0;
    for second in 0..plan.total_s() {
        if second == plan.before_seconds {
            at_phase(true).await;
        }
        if second == plan.before_seconds + plan.overload_seconds {
            at_phase(false).await;
        }
        let rate = plan.rate_at(second);
        for step in 0..rate {
            let offset =
                Duration::from_secs(second) + Duration::from_secs(1) * step as u32 / rate as u32;
            tokio::time::sleep_until((shared.start + offset).into()).await;
            tokio::spawn(send_with_retries(Arc::clone(&shared), number));
            number += 1;
        }
    }
    tokio::time::sleep(CLIENT_TIMEOUT + CLIENT_PAUSE).await;
    let mut result = std::mem::take(&mut *shared.result.lock().expect("not poisoned"));
    result.requests = number;
    result
        .seconds
        .resize(plan.total_s() as usize, SecondResult::default());
    result
}

async fn send_with_retries(shared: Arc<LoadShared>, number: u64) {
    let is_critical = number.is_multiple_of(CRITICAL_EVERY);
    let request_id = RequestId::random();
    let key = IdempotencyKey::new_now();
    let mut attempts = 0;
    for send in 0..CLIENT_SENDS {
        if send > 0 {
            tokio::time::sleep(CLIENT_PAUSE).await;
        }
        let entry = shared.entries[(number as usize) % shared.entries.len()];
        let answer = shared
            .send(entry, request_id, is_critical.then_some(key))
            .await;
        attempts += answer.attempts;
        shared.count(is_critical, &answer);
        if answer.is_success {
            break;
        }
        if send + 1 == CLIENT_SENDS {
            shared.with_second(|second| second.gave_up += 1);
        }
    }
    let mut result = shared.result.lock().expect("not poisoned");
    result.attempts += attempts;
    result.max_attempts = result.max_attempts.max(attempts);
}

#[derive(Debug, Default)]
struct Answer {
    is_success: bool,
    is_shed: bool,
    attempts: u64,
    reason: String,
}

impl LoadShared {
    async fn send(
        &self,
        entry: SocketAddr,
        request_id: RequestId,
        key: Option<IdempotencyKey>,
    ) -> Answer {
        let path = if key.is_some() { "confirm" } else { "stock" };
        let mut request = Request::builder()
            .method(if key.is_some() { "POST" } else { "GET" })
            .uri(format!("http://{entry}/first/{path}"))
            .header("authorization", format!("Bearer {}", self.credential))
            .header("ebj-timeout-ms", CLIENT_TIMEOUT.as_millis().to_string())
            .header("ebj-request-id", request_id.to_string());
        if let Some(key) = key {
            request = request.header("idempotency-key", key.to_string());
        }
        let request = request
            .body(Full::new(Bytes::new()))
            .expect("valid request");
        let exchange = async {
            let (head, body) = self.client.request(request).await.ok()?.into_parts();
            body.collect().await.ok()?;
            Some(head)
        };
        match tokio::time::timeout(CLIENT_TIMEOUT, exchange).await {
            Ok(Some(head)) => Answer {
                is_success: head.status.is_success(),
                is_shed: head.status == 503 && text(&head.headers, "ebj-outcome") == "not-run",
                attempts: text(&head.headers, "ebj-attempts").parse().unwrap_or(0),
                reason: format!(
                    "{} {}",
                    head.status.as_u16(),
                    text(&head.headers, "ebj-reason")
                ),
            },
            Ok(None) => Answer {
                reason: "broken".to_owned(),
                ..Answer::default()
            },
            Err(_) => Answer {
                reason: "timeout".to_owned(),
                ..Answer::default()
            },
        }
    }

    fn count(&self, is_critical: bool, answer: &Answer) {
        self.with_second(|second| {
            second.answered += u64::from(answer.is_success);
            second.reads_answered += u64::from(answer.is_success && !is_critical);
            second.critical_answered += u64::from(answer.is_success && is_critical);
            second.critical_shed += u64::from(answer.is_shed && is_critical);
        });
        if !answer.is_success {
            let class = if is_critical { "critical" } else { "read" };
            let mut result = self.result.lock().expect("not poisoned");
            *result
                .refusals
                .entry(format!("{class} {}", answer.reason))
                .or_default() += 1;
        }
    }

    fn with_second(&self, update: impl FnOnce(&mut SecondResult)) {
        let position = self.start.elapsed().as_secs() as usize;
        let mut result = self.result.lock().expect("not poisoned");
        if result.seconds.len() <= position {
            result.seconds.resize(position + 1, SecondResult::default());
        }
        update(&mut result.seconds[position]);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
}
