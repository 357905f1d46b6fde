//! HTTP server of the stand-in.

use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyjunction::error::{MeshError, Result};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::announce::{announce_repeatedly, withdraw};
use crate::behaviour::{Behaviour, BehaviourChange, CallPath, CutMode};
use crate::counts::ExecutionCounts;
use crate::journal::ExecutionJournal;

const FILLER_CHUNK_BYTES: usize = 16 * 1024;
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_DELAY: Duration = Duration::from_millis(10);
const BEHAVIOUR_PATH: &str = "/stand-in/behaviour";
const COUNTS_PATH: &str = "/stand-in/counts";
const MAX_CHANGE_BYTES: usize = 64 * 1024;

type FillerStream = stream::BoxStream<'static, std::result::Result<Frame<Bytes>, std::io::Error>>;
type StandInBody = Either<Full<Bytes>, StreamBody<FillerStream>>;

/// Settings from the command line.
#[derive(Debug)]
pub(crate) struct StandInSettings {
    pub(crate) service: String,
    pub(crate) node: SocketAddr,
    pub(crate) listen: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) behaviour: Behaviour,
    pub(crate) journal: ExecutionJournal,
}

/// Shared state of the stand-in.
#[derive(Debug)]
pub(crate) struct StandIn {
    pub(crate) settings: StandInSettings,
    pub(crate) client: Client<HttpConnector, Full<Bytes>>,
    behaviour: Mutex<Behaviour>,
    counts: Mutex<ExecutionCounts>,
    slots: Semaphore,
}

impl StandIn {
    /// Creates the state from the settings.
    pub(crate) fn new(settings: StandInSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            behaviour: Mutex::new(settings.behaviour.clone()),
            counts: Mutex::default(),
            slots: Semaphore::new(settings.slots as usize),
            settings,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves until SIGTERM, then withdraws from the node and waits for requests in flight.
pub(crate) async fn run(stand_in: Arc<StandIn>) -> Result<()> {
    let failed = |source| MeshError::io("cannot serve", source);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let listener = TcpListener::bind(stand_in.settings.listen)
        .await
        .map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    log::info!("event=listening listener=target address={address}");
    let announcer = tokio::spawn(announce_repeatedly(Arc::clone(&stand_in), address));
    let acceptor = tokio::spawn(accept(Arc::clone(&stand_in), listener));
    terminate.recv().await;
    announcer.abort();
    withdraw(&stand_in).await;
    let ended = timeout(STOP_TIMEOUT, async {
        while lock(&stand_in.counts).in_flight() > 0 {
            sleep(SHORT_DELAY).await;
        }
        // Gives the last responses time to be sent.
        sleep(SHORT_DELAY).await;
    });
    let is_ended = ended.await.is_ok();
    acceptor.abort();
    log::info!("event=stopped ended={is_ended}");
    Ok(())
}

async fn accept(stand_in: Arc<StandIn>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&stand_in), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                sleep(SHORT_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stand_in: Arc<StandIn>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let stand_in = Arc::clone(&stand_in);
        async move { Ok::<_, Infallible>(answer(&stand_in, request).await) }
    });
    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection_failed error={error:?}");
    }
}

async fn answer(stand_in: &Arc<StandIn>, request: Request<Incoming>) -> Response<StandInBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, COUNTS_PATH) => {
            let counts = lock(&stand_in.counts).clone();
            json_response(StatusCode::OK, &json!(counts))
        }
        (&Method::PUT, BEHAVIOUR_PATH) => change_behaviour(stand_in, request).await,
        _ => execute(stand_in, request).await,
    }
}

async fn change_behaviour(stand_in: &StandIn, request: Request<Incoming>) -> Response<StandInBody> {
    let body = http_body_util::Limited::new(request.into_body(), MAX_CHANGE_BYTES);
    let change = match body.collect().await {
        Ok(body) => BehaviourChange::parse(&body.to_bytes()),
        Err(error) => Err(MeshError::Http(error.to_string())),
    };
    match change {
        Ok(change) => {
            change.apply(&mut lock(&stand_in.behaviour));
            json_response(StatusCode::OK, &json!({"changed": true}))
        }
        Err(error) => {
            let body = json!({"error": error.to_string()});
            json_response(StatusCode::BAD_REQUEST, &body)
        }
    }
}

// Counts the end of an execution when dropped: as finished if `is_finished` is set, else as cancelled.
struct ExecutionGuard {
    stand_in: Arc<StandIn>,
    is_finished: bool,
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        lock(&self.stand_in.counts).end(self.is_finished);
    }
}

async fn execute(stand_in: &Arc<StandIn>, request: Request<Incoming>) -> Response<StandInBody> {
    let (parts, body) = request.into_parts();
    let text = |name: &str| parts.headers.get(name)?.to_str().ok();
    let (key, request_id) = (text("idempotency-key"), text("ebj-request-id"));
    stand_in.settings.journal.record(key, request_id);
    lock(&stand_in.counts).start(key, request_id);
    let mut guard = ExecutionGuard {
        stand_in: Arc::clone(stand_in),
        is_finished: false,
    };
    let mut behaviour = lock(&stand_in.behaviour).clone();
    BehaviourChange::from_query(parts.uri.query().unwrap_or_default()).apply(&mut behaviour);
    let Some((body_bytes, digest)) = digest_body(body).await else {
        return json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": "incomplete body"}),
        );
    };
    {
        let _slot = stand_in.slots.acquire().await;
        // Without a service time there is no sleep at all: the timer rounds up to a millisecond, which would hide the
        // latency that the mesh adds.
        if behaviour.service_ms > 0 {
            sleep(Duration::from_millis(behaviour.service_ms)).await;
        }
    }
    let calls = call_services(stand_in, &behaviour.calls, &parts.headers).await;
    let has_failed = calls.iter().any(|call| call["status"] != json!(200));
    let summary = json!({
        "service": stand_in.settings.service,
        "path": parts.uri.path(),
        "request_id": text("ebj-request-id"),
        "attempt_id": text("ebj-attempt-id"),
        "timeout_ms": text("ebj-timeout-ms"),
        "headers": parts.headers.keys().map(http::HeaderName::as_str).collect::<Vec<_>>(),
        "body_bytes": body_bytes,
        "sha256": digest,
        "calls": calls,
    });
    guard.is_finished = true;
    let status = if has_failed {
        StatusCode::BAD_GATEWAY
    } else {
        StatusCode::from_u16(behaviour.status).unwrap_or(StatusCode::OK)
    };
    build_answer(&behaviour, status, &summary)
}

async fn digest_body(mut body: Incoming) -> Option<(u64, String)> {
    let mut digest = Sha256::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            length += data.len() as u64;
            digest.update(&data);
        }
    }
    let mut text = String::new();
    for byte in digest.finalize() {
        // Writing to a String cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    Some((length, text))
}

async fn call_services(stand_in: &StandIn, calls: &[CallPath], headers: &HeaderMap) -> Vec<Value> {
    let mut results = Vec::new();
    for path in calls {
        let result = call_service(stand_in, path, headers).await;
        let is_success = result["status"] == json!(200);
        results.push(result);
        if !is_success {
            break;
        }
    }
    results
}

async fn call_service(stand_in: &StandIn, path: &CallPath, headers: &HeaderMap) -> Value {
    let uri = format!("http://{}{}", stand_in.settings.node, path.0);
    let mut request = Request::builder().uri(uri);
    for name in ["ebj-attempt-id", "idempotency-key"] {
        if let Some(value) = headers.get(name) {
            request = request.header(name, value);
        }
    }
    let failed = |error: String| json!({"path": path.0, "status": 0, "error": error});
    let request = match request.body(Full::new(Bytes::new())) {
        Ok(request) => request,
        Err(error) => return failed(error.to_string()),
    };
    let response = match stand_in.client.request(request).await {
        Ok(response) => response,
        Err(error) => return failed(error.to_string()),
    };
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let outcome = header("ebj-outcome");
    let reason = header("ebj-reason");
    match response.into_body().collect().await {
        Ok(body) => {
            let answer: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            json!({"path": path.0, "status": status, "outcome": outcome, "reason": reason,
                   "answer": answer})
        }
        Err(error) => failed(error.to_string()),
    }
}

fn build_answer(
    behaviour: &Behaviour,
    status: StatusCode,
    summary: &Value,
) -> Response<StandInBody> {
    if behaviour.answer_bytes == 0 && behaviour.cut == CutMode::None {
        return json_response(status, summary);
    }
    let length = behaviour.answer_bytes.max(2);
    let chunks = filler_body(length, behaviour.cut != CutMode::None);
    let mut response = Response::new(Either::Right(StreamBody::new(chunks)));
    *response.status_mut() = status;
    if behaviour.cut != CutMode::Chunked {
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_LENGTH, length.into());
    }
    response
}

// Returns a body of filler bytes. A cut response ends with an error after half of them, which closes the connection.
fn filler_body(length: usize, is_cut: bool) -> FillerStream {
    let sent = if is_cut { length / 2 } else { length };
    let chunk = Bytes::from(vec![b'x'; FILLER_CHUNK_BYTES]);
    let sizes = (0..sent)
        .step_by(FILLER_CHUNK_BYTES)
        .map(move |start| (sent - start).min(FILLER_CHUNK_BYTES));
    let frames = sizes.map(move |size| Ok(Frame::data(chunk.slice(..size))));
    let cut = is_cut.then(|| Err(std::io::Error::other("cut short")));
    // The delay lets the headers and the first half be sent before the connection is closed.
    let cut = stream::iter(cut).then(|item| async move {
        sleep(SHORT_DELAY).await;
        item
    });
    stream::iter(frames).chain(cut).boxed()
}

fn json_response(status: StatusCode, body: &Value) -> Response<StandInBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}
