//! A target in the process of the benchmark that records when requests reach it.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

use crate::fleet::CREDENTIAL;

const CALLS_BEFORE_S: u64 = 12;
const CALLS_AFTER_S: u64 = 5;
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// HTTP client for the calls of the benchmark.
pub(crate) type BenchClient = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn bench_client() -> BenchClient {
    Client::builder(TokioExecutor::new()).build_http()
}

#[derive(Debug, Default)]
struct WorkRecord {
    last: Option<Instant>,
    count: u64,
}

/// Result of withdrawing one target.
#[derive(Debug)]
pub(crate) struct LeavingResult {
    pub(crate) last_new_work: Duration,
    pub(crate) executions_before: u64,
    pub(crate) executions_after: u64,
}

/// Withdraws a target while calls arrive through `entries`, and measures when it last gets a request.
pub(crate) async fn measure_leaving(local: SocketAddr, entries: &[SocketAddr]) -> LeavingResult {
    let record = Arc::new(Mutex::new(WorkRecord::default()));
    let address = serve_target(Arc::clone(&record)).await;
    let client = bench_client();
    let body = format!(
        "{{\"service\":\"orders\",\"address\":\"{address}\",\"slots\":35,\"connections\":300}}"
    );
    let target_uri = format!("http://{local}/ebonyjunction/v1/target");
    let send = async |method, body: String| {
        let request = Request::builder().method(method).uri(&target_uri);
        let request = request.body(Full::from(body)).expect("valid request");
        let response = client.request(request).await.expect("the node answers");
        assert!(response.status().is_success(), "{}", response.status());
    };
    send(Method::PUT, body).await;
    let calls: Vec<_> = entries
        .iter()
        .map(|entry| tokio::spawn(keep_calling(client.clone(), *entry)))
        .collect();
    tokio::time::sleep(Duration::from_secs(CALLS_BEFORE_S)).await;
    let executions_before = record.lock().expect("not poisoned").count;
    let start = Instant::now();
    send(Method::DELETE, String::new()).await;
    tokio::time::sleep(Duration::from_secs(CALLS_AFTER_S)).await;
    for call in calls {
        call.abort();
    }
    let record = record.lock().expect("not poisoned");
    let last = record.last.expect("the target got work");
    LeavingResult {
        last_new_work: last.saturating_duration_since(start),
        executions_before,
        executions_after: record.count - executions_before,
    }
}

async fn serve_target(record: Arc<Mutex<WorkRecord>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let record = Arc::clone(&record);
            let service = service_fn(move |_| {
                let mut record = record.lock().expect("not poisoned");
                record.last = Some(Instant::now());
                record.count += 1;
                let answer = Response::new(Full::new(Bytes::from_static(b"{}")));
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn keep_calling(client: BenchClient, entry: SocketAddr) {
    loop {
        let _ = call_entry(&client, entry, "/orders/work", CREDENTIAL).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

/// Sends one request and returns its HTTP status, or `None` if no answer arrived.
pub(crate) async fn call_entry(
    client: &BenchClient,
    entry: SocketAddr,
    path: &str,
    credential: &str,
) -> Option<u16> {
    use http_body_util::BodyExt;
    let request = Request::get(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {credential}"))
        .body(Full::default())
        .expect("valid request");
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let _ = response.into_body().collect().await;
    Some(status)
}
