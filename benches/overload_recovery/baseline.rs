//! Baseline proxy for the comparison: a first-in first-out queue in front of each target and three
//! retries at each hop, without load shedding by priority, deadlines or an attempt allowance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Retries after a failed attempt at each hop.
const RETRIES: usize = 3;
/// Time that one hop waits for the answer to an attempt.
const HOP_TIMEOUT: Duration = Duration::from_secs(1);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Addresses of the ingress listeners, by service name.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceMap(Arc<Mutex<BTreeMap<String, Vec<SocketAddr>>>>);

/// One baseline proxy beside one target.
#[derive(Debug)]
pub(crate) struct BaselineNode {
    pub(crate) entry: SocketAddr,
    pub(crate) local: SocketAddr,
}

#[derive(Debug)]
struct NodeShared {
    services: ServiceMap,
    ingress: SocketAddr,
    client: HttpClient,
    slots: Semaphore,
    target: Mutex<Option<SocketAddr>>,
}

impl BaselineNode {
    /// Starts the listeners. The target announces itself at the `local` one.
    pub(crate) async fn start(services: ServiceMap, slots: usize) -> Self {
        let entry = bind().await;
        let ingress = bind().await;
        let local = bind().await;
        let addresses =
            [&entry, &ingress, &local].map(|listener| listener.local_addr().expect("bound"));
        let shared = Arc::new(NodeShared {
            services,
            ingress: addresses[1],
            client: Client::builder(TokioExecutor::new()).build_http(),
            slots: Semaphore::new(slots),
            target: Mutex::new(None),
        });
        tokio::spawn(serve(entry, Arc::clone(&shared), Role::Egress));
        tokio::spawn(serve(ingress, Arc::clone(&shared), Role::Ingress));
        tokio::spawn(serve(local, shared, Role::Egress));
        Self {
            entry: addresses[0],
            local: addresses[2],
        }
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

#[derive(Debug, Clone, Copy)]
enum Role {
    Egress,
    Ingress,
}

async fn serve(listener: TcpListener, shared: Arc<NodeShared>, role: Role) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move { Ok::<_, std::convert::Infallible>(handle(shared, role, request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(
    shared: Arc<NodeShared>,
    role: Role,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let Ok(body) = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
    else {
        return status(StatusCode::BAD_REQUEST);
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    if path == "/ebonyjunction/v1/target" {
        return shared.announce(&head.method, &body);
    }
    match role {
        Role::Ingress => {
            shared
                .ingress(&head.method, path, &head.headers, body)
                .await
        }
        Role::Egress => shared.egress(&head.method, path, &head.headers, body).await,
    }
}

impl NodeShared {
    fn announce(&self, method: &Method, body: &[u8]) -> Response<Full<Bytes>> {
        if method != Method::PUT {
            return status(StatusCode::OK);
        }
        let Ok(target) = serde_json::from_slice::<serde_json::Value>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let address = target["address"].as_str().and_then(|raw| raw.parse().ok());
        let (Some(address), Some(service)) = (address, target["service"].as_str()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let previous = self.target.lock().expect("not poisoned").replace(address);
        if previous.is_none() {
            let mut services = self.services.0.lock().expect("not poisoned");
            services
                .entry(service.to_owned())
                .or_default()
                .push(self.ingress);
        }
        status(StatusCode::OK)
    }

    async fn ingress(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let Ok(_permit) = self.slots.acquire().await else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let target = *self.target.lock().expect("not poisoned");
        let Some(target) = target else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.send(target, method, path, headers, body)
            .await
            .unwrap_or_else(|()| status(StatusCode::BAD_GATEWAY))
    }

    async fn egress(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let (service, rest) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
        let rest = format!("/{rest}");
        let mut last = status(StatusCode::BAD_GATEWAY);
        for _ in 0..=RETRIES {
            let Some(address) = self.choose(service) else {
                return status(StatusCode::NOT_FOUND);
            };
            let sent = self.send(address, method, &rest, headers, body.clone());
            match tokio::time::timeout(HOP_TIMEOUT, sent).await {
                Ok(Ok(response)) if response.status().is_success() => return response,
                Ok(Ok(response)) => last = response,
                Ok(Err(())) => last = status(StatusCode::BAD_GATEWAY),
                Err(_) => last = status(StatusCode::GATEWAY_TIMEOUT),
            }
        }
        last
    }

    fn choose(&self, service: &str) -> Option<SocketAddr> {
        let services = self.services.0.lock().expect("not poisoned");
        services.get(service)?.choose(&mut rand::rng()).copied()
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Full<Bytes>>, ()> {
        let uri = format!("http://{address}{path}");
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            if name.as_str().starts_with("ebj-") || name == "idempotency-key" {
                request = request.header(name, value);
            }
        }
        let request = request.body(Full::new(body)).map_err(|_| ())?;
        let response = self.client.request(request).await.map_err(|_| ())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| ())?.to_bytes();
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = head.status;
        Ok(response)
    }
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = code;
    response
}
