//! HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Complete HTTP answer.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl TestAnswer {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns status, outcome and reason as one string.
    pub fn verdict(&self) -> String {
        let outcome = self.header("ebj-outcome");
        let reason = self.header("ebj-reason");
        format!("{} {outcome} {reason}", self.status.as_u16())
            .trim_end()
            .to_owned()
    }
}

pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends one request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<TestAnswer, String> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let response = client()
        .request(request)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| format!("{error:?}"))?.to_bytes();
    Ok(TestAnswer {
        status,
        headers,
        body,
    })
}

pub async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> TestAnswer {
    call(address, Method::GET, path, headers, Bytes::new())
        .await
        .unwrap()
}

pub async fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> TestAnswer {
    call(address, Method::POST, path, headers, Bytes::new())
        .await
        .unwrap()
}

/// Returns the counters of a stand-in.
pub async fn counts(address: SocketAddr) -> Value {
    get(address, "/stand-in/counts", &[]).await.json()
}

/// Changes the behaviour of a stand-in.
pub async fn behave(address: SocketAddr, change: &Value) {
    let body = change.to_string();
    let answer = call(address, Method::PUT, "/stand-in/behaviour", &[], body).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
}
