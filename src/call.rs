//! Command line program that sends one request to a mesh and prints the answer.

use std::ffi::OsString;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::error::{MeshError, Result};
use crate::types::IdempotencyKey;

const DEFAULT_TIMEOUT_MS: u64 = 10_000;

const HELP: &str = "\
Sends one request to a node and prints the outcome.

Usage: ebonyjunction-call --entry IP:PORT [OPTIONS] PATH

  --entry IP:PORT       entry address of any node
  --credential TEXT     credential of the caller
  --method METHOD       GET by default, POST when a body is given
  --body TEXT           request body
  --request-id UUID     request id; use the same id to resend a request
  --key UUID            idempotency key of at-most-once work
  --new-key             creates an idempotency key
  --timeout-ms N        time limit for the answer in milliseconds (default 10000)
  --help, --version

PATH is /SERVICE/path. Prints status, outcome, reason, key and size on one line, then the body.
Exits 0 if an answer arrived, whatever its status; 1 if none arrived; 2 for bad arguments.
";

/// Parsed command line arguments.
#[derive(Debug)]
struct CallArguments {
    entry: SocketAddr,
    path: String,
    method: Method,
    body: Bytes,
    headers: Vec<(&'static str, String)>,
    key: Option<IdempotencyKey>,
    timeout: Duration,
}

/// Runs the program with the arguments after its name and returns the text to print.
pub async fn run_call(arguments: Vec<OsString>) -> Result<String> {
    let mut parser = pico_args::Arguments::from_vec(arguments);
    if parser.contains("--help") {
        return Ok(HELP.to_owned());
    }
    if parser.contains("--version") {
        return Ok(format!(
            "ebonyjunction-call {}\n",
            env!("CARGO_PKG_VERSION")
        ));
    }
    let arguments = parse_arguments(parser).map_err(|error| MeshError::Usage(error.to_string()))?;
    send_request(arguments).await
}

fn parse_arguments(
    mut parser: pico_args::Arguments,
) -> std::result::Result<CallArguments, pico_args::Error> {
    let entry = parser.value_from_str("--entry")?;
    let credential: Option<String> = parser.opt_value_from_str("--credential")?;
    let method: Option<Method> = parser.opt_value_from_str("--method")?;
    let body: Option<String> = parser.opt_value_from_str("--body")?;
    let request_id: Option<String> = parser.opt_value_from_str("--request-id")?;
    let given_key = parser.opt_value_from_fn("--key", |raw| IdempotencyKey::try_from(raw))?;
    let key = if parser.contains("--new-key") {
        Some(IdempotencyKey::new_now())
    } else {
        given_key
    };
    let timeout_ms: Option<u64> = parser.opt_value_from_str("--timeout-ms")?;
    let path = parser.free_from_str()?;
    let unexpected = parser.finish();
    if !unexpected.is_empty() {
        let cause = format!("unexpected arguments: {unexpected:?}");
        return Err(pico_args::Error::ArgumentParsingFailed { cause });
    }
    let timeout_ms = timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let mut headers = vec![("ebj-timeout-ms", timeout_ms.to_string())];
    headers.extend(credential.map(|text| ("authorization", format!("Bearer {text}"))));
    headers.extend(request_id.map(|id| ("ebj-request-id", id)));
    headers.extend(key.map(|key| ("idempotency-key", key.to_string())));
    let default_method = if body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    Ok(CallArguments {
        entry,
        path,
        method: method.unwrap_or(default_method),
        body: body.unwrap_or_default().into(),
        headers,
        key,
        timeout: Duration::from_millis(timeout_ms),
    })
}

async fn send_request(arguments: CallArguments) -> Result<String> {
    let uri = format!("http://{}{}", arguments.entry, arguments.path);
    let mut builder = Request::builder().method(arguments.method).uri(uri);
    for (name, value) in &arguments.headers {
        builder = builder.header(*name, value);
    }
    let request = builder
        .body(Full::new(arguments.body))
        .map_err(|error| MeshError::Usage(error.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let exchange = async {
        let response = client.request(request).await.map_err(describe_error)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(describe_error)?.to_bytes();
        Ok::<_, MeshError>((head, body))
    };
    // The node answers by the deadline. The extra second covers the transfer of its answer.
    let time_limit = arguments.timeout + Duration::from_secs(1);
    let (head, body) = tokio::time::timeout(time_limit, exchange)
        .await
        .map_err(|_| MeshError::Http("request timed out; the outcome is unknown".to_owned()))??;
    let mut text = format!(
        "status={} outcome={} reason={} request_id={} retry_after={}",
        head.status.as_u16(),
        header_text(&head.headers, "ebj-outcome"),
        header_text(&head.headers, "ebj-reason"),
        header_text(&head.headers, "ebj-request-id"),
        header_text(&head.headers, "retry-after"),
    );
    if let Some(key) = arguments.key {
        let _ = write!(text, " key={key}");
    }
    let _ = writeln!(text, " bytes={}", body.len());
    text.push_str(&String::from_utf8_lossy(&body));
    if !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}

fn describe_error(error: impl std::error::Error) -> MeshError {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        let _ = write!(text, ": {inner}");
        cause = inner.source();
    }
    MeshError::Http(text)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
}
