//! HTTP servers for interfaces outside the request path: readiness, target reports, operators and metrics.

use std::convert::Infallible;
use std::fmt::Debug;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request body. Operators send configurations of at most some hundred kilobytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a failed accept, so that other connections can close when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Request to an interface, with its complete body.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Answer of an interface.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Complete body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Creates a JSON answer.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Creates a plain-text answer.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }
}

/// Handler of the requests that a listener receives.
pub trait ApiHandler: Send + Sync + Debug {
    /// Handles one request.
    fn handle(&self, request: ApiRequest)
    -> Pin<Box<dyn Future<Output = ApiResponse> + Send + '_>>;
}

/// Serves the connections of a listener until the process ends.
pub async fn serve_api(listener: TcpListener, name: &'static str, handler: Arc<dyn ApiHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, name, Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("event=accept_failed listener={name} error={error:?}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, name: &'static str, handler: Arc<dyn ApiHandler>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed listener={name} error={error:?}");
    }
    let service = service_fn(move |request| answer(Arc::clone(&handler), request));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection_failed listener={name} error={error:?}");
    }
}

async fn answer(
    handler: Arc<dyn ApiHandler>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = ApiRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                headers: head.headers,
                body: body.to_bytes(),
            };
            handler.handle(request).await
        }
        Err(error) => ApiResponse::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{error}\n")),
    };
    let mut wire = Response::new(Full::new(response.body));
    *wire.status_mut() = response.status;
    let content_type = HeaderValue::from_static(response.content_type);
    wire.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(wire)
}
