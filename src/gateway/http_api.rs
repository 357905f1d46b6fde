//! Small HTTP servers for interfaces beside the request path: readiness, reports of targets, operators, metrics.

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
/// Operators send configurations of some hundred kilobytes at most.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Leaves time for other connections to end when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Request to an interface, with its whole body.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Answer of an interface.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// Status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: &'static str,
    /// Whole body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Creates an answer in JSON.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Creates an answer in plain text.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }
}

/// Interface behind a listener.
pub trait ApiHandler: Send + Sync + Debug {
    /// Answers one request.
    fn handle(&self, request: ApiRequest)
    -> Pin<Box<dyn Future<Output = ApiResponse> + Send + '_>>;
}

/// Serves a listener until the process ends.
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
