//! HTTP/1.1 connection pool for the local target. Each connection carries one request at a time and is reused unless an
//! answer on it was unexpected.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::answer_bounds::{InterimBound, MAX_HEAD_BYTES};
use crate::types::RefusalReason;

use super::answer::{Answer, AttemptResult};
use super::body::read_whole;
use super::config::HeaderNames;
use super::hop::strip_connection_headers;
use super::memory::MemoryPool;
use super::state::lock;
use super::target_notice::TargetNotice;

/// Time limit for connecting to the target. It is on the same VM, where a new connection takes about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an idle connection is no longer reused. Targets close idle connections after some seconds,
/// sometimes without announcing it.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Idle bound for at-most-once requests. Such a request cannot be repeated if its connection turns out to be closed, so it
/// only reuses a connection that was in use very recently.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_secs(1);
/// Margin subtracted from the keep-alive timeout that the target announces.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Timeout of a health check, which waits for a slot like any other request. If it takes longer, the next report follows
/// soon.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Number of rejected requests after which a connection is no longer reused.
const MAX_REJECTED_IDS: usize = 16;

#[derive(Debug)]
struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    // Dropping it closes the connection, which cancels the request at the target.
    _task: AbortOnDropHandle<()>,
    idle_since: Instant,
    max_idle: Duration,
    /// Number of the connection among those to the target.
    number: u64,
    /// Number of requests sent on the connection.
    exchanges: u32,
    /// Ids of the requests that the target rejected on this connection. It may write a rejection once more, late; that copy
    /// would count as the answer to the next attempt of the same request, which bears the same id.
    rejected_ids: Vec<Bytes>,
}

impl TargetConnection {
    /// Logs an answer that does not show that the request ran.
    fn log_result(&self, request_id: &HeaderValue, status: StatusCode, result: &AttemptResult) {
        let (outcome, detail) = match result {
            AttemptResult::Ran { .. } => return,
            AttemptResult::NotRun { reason, .. } => ("not-run", reason.as_str()),
            AttemptResult::Unknown { detail } => ("unknown", detail.as_str()),
        };
        log::info!(
            "event=target_answer request_id={} connection={} exchange={} status={} outcome={outcome} detail={detail:?}",
            request_id.to_str().unwrap_or("malformed"),
            self.number,
            self.exchanges,
            status.as_u16()
        );
    }
}

/// Pool of connections to one target.
#[derive(Debug)]
pub(super) struct TargetClient {
    address: SocketAddr,
    names: HeaderNames,
    memory: MemoryPool,
    opened: AtomicU64,
    idle: Mutex<Vec<TargetConnection>>,
}

/// Complete answer of the target to one attempt.
#[derive(Debug)]
pub(super) struct TargetAnswer {
    pub(super) result: AttemptResult,
    /// What the target said about itself; `None` if the answer belongs to another request or incarnation.
    pub(super) notice: Option<TargetNotice>,
}

/// Answer of the target to a health check.
#[derive(Debug)]
pub(super) struct HealthAnswer {
    pub(super) is_in_service: bool,
    pub(super) notice: TargetNotice,
}

/// Failure to get a complete answer from the target.
#[derive(Debug)]
pub(super) enum ExchangeFailure {
    /// No connection could be opened; nothing was sent.
    Connect(String),
    /// The connection delivered no complete answer; the request may have run.
    Broken(String),
}

impl TargetClient {
    pub(super) fn new(address: SocketAddr, names: HeaderNames, memory: MemoryPool) -> Self {
        Self {
            address,
            names,
            memory,
            opened: AtomicU64::new(0),
            idle: Mutex::default(),
        }
    }

    /// Closes all idle connections. Called when another incarnation of the target takes over the address.
    pub(super) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    pub(super) async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        request_id: &HeaderValue,
        is_at_most_once: bool,
    ) -> Result<TargetAnswer, ExchangeFailure> {
        let interim = InterimBound::watch(&mut request);
        let mut connection = self.connect(request_id, is_at_most_once).await?;
        connection.exchanges += 1;
        let broken = |error: hyper::Error| {
            if error.is_canceled() {
                ExchangeFailure::Connect(error.to_string())
            } else {
                ExchangeFailure::Broken(error_chain(&error))
            }
        };
        let response = tokio::select! {
            response = connection.sender.send_request(request) => response.map_err(broken)?,
            () = interim.exceeded() => {
                return Err(ExchangeFailure::Broken("too many interim answers".to_owned()));
            }
        };
        let (head, body) = response.into_parts();
        let body = read_whole(body, MAX_ANSWER_BYTES, &self.memory)
            .await
            .map_err(|failure| ExchangeFailure::Broken(failure.to_string()))?;
        let keeps_alive = Self::keep_alive(&head.headers);
        let notice = TargetNotice::read(&head.headers, &self.names);
        let status = head.status;
        let result = self.classify_answer(status, head.headers, body, request_id);
        connection.log_result(request_id, status, &result);
        if matches!(result, AttemptResult::NotRun { .. }) {
            // A clone would keep the whole head in memory of which the id is a part.
            let id = Bytes::copy_from_slice(request_id.as_bytes());
            connection.rejected_ids.push(id);
        }
        let is_clean = !matches!(result, AttemptResult::Unknown { .. })
            && connection.rejected_ids.len() < MAX_REJECTED_IDS;
        if let (true, Some(max_idle)) = (is_clean, keeps_alive) {
            connection.max_idle = max_idle;
            self.return_to_pool(connection);
        }
        let is_own = match &result {
            AttemptResult::Ran { .. } => true,
            AttemptResult::NotRun { reason, .. } => *reason != RefusalReason::TargetReplaced,
            AttemptResult::Unknown { .. } => false,
        };
        let notice = is_own.then_some(notice);
        Ok(TargetAnswer { result, notice })
    }

    /// Returns whether nothing listens at the target's address.
    pub(super) async fn refuses_connections(&self) -> bool {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let failure = connecting.await.ok().and_then(std::io::Result::err);
        failure.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Asks on a new connection whether the target accepts work. Returns `None` unless an incarnation with the identity `id`
    /// answers.
    pub(super) async fn check_health(&self, health_path: &str, id: &str) -> Option<HealthAnswer> {
        let health_check = async {
            let mut connection = self.open().await.ok()?;
            let request = Request::get(health_path)
                .header(HOST, self.address.to_string())
                .body(Full::default())
                .ok()?;
            let response = connection.sender.send_request(request).await.ok()?;
            let is_same =
                response.headers().get(&self.names.target_id)?.as_bytes() == id.as_bytes();
            is_same.then(|| HealthAnswer {
                is_in_service: response.status() == StatusCode::OK,
                notice: TargetNotice::read(response.headers(), &self.names),
            })
        };
        timeout(HEALTH_TIMEOUT, health_check).await.ok()?
    }

    async fn connect(
        &self,
        request_id: &HeaderValue,
        is_at_most_once: bool,
    ) -> Result<TargetConnection, ExchangeFailure> {
        if let Some(connection) = self.take_idle(request_id, is_at_most_once).await {
            return Ok(connection);
        }
        self.open().await
    }

    async fn open(&self) -> Result<TargetConnection, ExchangeFailure> {
        let failed = |error: &dyn std::fmt::Display| ExchangeFailure::Connect(error.to_string());
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| failed(&"connecting timed out"))?
            .map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=target_connection_failed error={error:?}");
            }
        });
        Ok(TargetConnection {
            sender,
            _task: AbortOnDropHandle::new(task),
            idle_since: Instant::now(),
            max_idle: MAX_IDLE,
            number: self.opened.fetch_add(1, Ordering::Relaxed) + 1,
            exchanges: 0,
            rejected_ids: Vec::new(),
        })
    }

    async fn take_idle(
        &self,
        request_id: &HeaderValue,
        is_at_most_once: bool,
    ) -> Option<TargetConnection> {
        if lock(&self.idle).is_empty() {
            return None;
        }
        // Lets the connection tasks run first: they close connections on which unsolicited bytes have arrived.
        tokio::task::yield_now().await;
        let mut idle = lock(&self.idle);
        idle.retain(|connection| {
            let is_fresh = connection.idle_since.elapsed() < connection.max_idle;
            is_fresh && connection.sender.is_ready()
        });
        let bound = if is_at_most_once {
            MAX_IDLE_AT_MOST_ONCE
        } else {
            MAX_IDLE
        };
        let position = idle.iter().rposition(|connection| {
            let is_rejected = connection
                .rejected_ids
                .iter()
                .any(|id| id == request_id.as_bytes());
            connection.idle_since.elapsed() < bound && !is_rejected
        })?;
        Some(idle.remove(position))
    }

    fn return_to_pool(&self, mut connection: TargetConnection) {
        connection.idle_since = Instant::now();
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Returns how long the connection may stay idle, or `None` if it must not be reused.
    fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
        let closes = headers.get_all(CONNECTION).iter().any(|value| {
            value
                .as_bytes()
                .to_ascii_lowercase()
                .windows(5)
                .any(|word| word == b"close")
        });
        if closes {
            return None;
        }
        let announced = headers.get(HeaderName::from_static("keep-alive"));
        let announced = announced.and_then(|value| value.to_str().ok());
        let seconds = announced.and_then(|text| {
            let mut fields = text.split(',');
            fields.find_map(|field| field.trim().strip_prefix("timeout=")?.parse().ok())
        });
        let Some(seconds) = seconds else {
            return Some(MAX_IDLE);
        };
        let bound = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        (!bound.is_zero()).then(|| bound.min(MAX_IDLE))
    }

    /// Determines from an answer whether the target ran the request.
    fn classify_answer(
        &self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: Bytes,
        request_id: &HeaderValue,
    ) -> AttemptResult {
        let unknown = |detail: &str| AttemptResult::Unknown {
            detail: detail.to_owned(),
        };
        let not_run = |reason| AttemptResult::NotRun {
            reason,
            wait: Duration::ZERO,
        };
        // A missing id is rejected too: a late second answer to an earlier request may lack it, so it
        // would not show whether this request ran.
        if headers.get(&self.names.request_id) != Some(request_id) {
            return unknown("the answer belongs to another request");
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return not_run(RefusalReason::TargetReplaced);
        }
        if headers.contains_key(&self.names.not_run) {
            return not_run(RefusalReason::TargetRefused);
        }
        if status.is_success() {
            if !headers.contains_key(&self.names.seal) {
                return unknown("the answer is not vouched for");
            }
            if headers.contains_key(CONTENT_ENCODING) {
                return unknown("the answer is encoded");
            }
        }
        strip_connection_headers(&mut headers);
        AttemptResult::Ran {
            answer: Answer {
                status,
                headers,
                body,
            },
            is_downstream_failure: false,
            chain_limit: None,
            wait: Duration::ZERO,
        }
    }
}

fn error_chain(error: &hyper::Error) -> String {
    let mut detail = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        detail = format!("{detail}: {cause}");
        source = cause.source();
    }
    detail
}
