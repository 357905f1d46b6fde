//! The `explain` action: collects the decisions that all nodes made for one request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::config::{MeshToken, OperatorConfig};
use crate::control_client::{ControlClient, MESH_TOKEN_KEY};
use crate::error::{MeshError, Result};
use crate::types::RequestId;

use super::{Outcome, print};

const NODE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PARALLEL_REQUESTS: usize = 32;
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

pub(super) async fn explain(
    client: &ControlClient,
    config: &OperatorConfig,
    request_id: RequestId,
) -> Result<Outcome> {
    let status = client.status().await?;
    let nodes = status.nodes.iter().filter_map(|node| node.node.as_ref());
    let addresses: Vec<String> = nodes.map(|node| node.mesh_address.clone()).collect();
    let requests = addresses.into_iter().map(|address| async {
        let answer = request_decisions(&address, &config.mesh_token, request_id).await;
        (address, answer)
    });
    let answers = stream::iter(requests).buffer_unordered(MAX_PARALLEL_REQUESTS);
    let mut answers: Vec<_> = answers.collect().await;
    answers.sort_by(|left, right| left.0.cmp(&right.0));
    report(request_id, answers)
}

fn report(request_id: RequestId, answers: Vec<(String, Result<Vec<String>>)>) -> Result<Outcome> {
    let mut lines = Vec::new();
    for (address, answer) in answers {
        match answer {
            Ok(found) if found.is_empty() => {}
            Ok(found) => {
                lines.push(format!("node {address}\n"));
                lines.extend(found.iter().map(|line| format!("  {line}\n")));
            }
            Err(error) => eprintln!("cannot read the decisions of node {address}: {error}"),
        }
    }
    if lines.is_empty() {
        eprintln!("no node holds decisions for request {request_id}");
        return Ok(Outcome::Failed);
    }
    print(&lines.concat())
}

async fn request_decisions(
    address: &str,
    token: &MeshToken,
    request_id: RequestId,
) -> Result<Vec<String>> {
    let result = timeout(NODE_TIMEOUT, fetch_decisions(address, token, request_id)).await;
    result.unwrap_or_else(|_| Err(MeshError::Http("timed out".to_owned())))
}

async fn fetch_decisions(
    address: &str,
    token: &MeshToken,
    request_id: RequestId,
) -> Result<Vec<String>> {
    let socket: SocketAddr = address.parse().map_err(http_error)?;
    let stream = TcpStream::connect(socket).await.map_err(http_error)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(http_error)?;
    let driver = tokio::spawn(connection);
    let request = Request::get(format!("/ebonyjunction/v1/decisions/{request_id}"))
        .header(header::HOST, address)
        .header(MESH_TOKEN_KEY, token.as_str())
        .body(Empty::<Bytes>::new())
        .map_err(http_error)?;
    let response = sender.send_request(request).await.map_err(http_error)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(http_error)?.to_bytes();
    driver.abort();
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(http_error),
        StatusCode::NOT_FOUND => Ok(Vec::new()),
        status => Err(MeshError::Http(format!("status {status}"))),
    }
}

fn http_error(error: impl std::fmt::Display) -> MeshError {
    MeshError::Http(error.to_string())
}
