//! Stops, stale plans, large bodies and malformed input at the ports of a node.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use support::http::{behave, call, counts, get, post};
use support::mesh::{Mesh, RESELLER, mesh_headers, wait_count};
use support::poll;
use support::process::NodeProcess;

const LARGE_BYTES: usize = 50 * 1024 * 1024;

// Guards against a stop that aborts running work, accepts new work, or behaves differently after a second signal.
#[tokio::test]
async fn stop_finishes_held_work() {
    let mut mesh = Mesh::start("stop_timeout_s = 20", &[]).await;
    behave(mesh.target.address, &json!({"service_ms": 4_000})).await;
    let held = tokio::spawn(async move {
        get(mesh.entry.entry, "/orders/held", &[RESELLER])
            .await
            .verdict()
    });
    wait_count(&mesh.target, "in_flight", 1).await;
    let start = Instant::now();
    mesh.node.process.signal("TERM");
    // A request that arrives before the signal is handled is still accepted and may end at its own deadline.
    poll("the stop", async || {
        let is_draining = mesh.node.process.has_line(&["event=phase", "to=Draining"]);
        is_draining.then_some(())
    })
    .await;
    let attempt = uuid::Uuid::new_v4().to_string();
    let refused = get(mesh.node.mesh, "/orders/new", &mesh_headers(&attempt)).await;
    assert_eq!(refused.verdict(), "503 not-run target-leaving");
    assert_eq!(refused.header("ebj-leaving"), "1");
    let answer = get(mesh.node.entry, "/orders/new", &[RESELLER]).await;
    assert_eq!(answer.verdict(), "503 not-run target-leaving");
    mesh.node.process.signal("TERM");
    assert_eq!(held.await.unwrap(), "200 ran");
    let status = mesh.node.process.wait().await;
    assert_eq!(status.code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(20));
    let registry = mesh.registry.state();
    let targets = registry
        .nodes
        .values()
        .filter_map(|node| node.target.as_ref());
    let announced: Vec<i32> = targets.map(|target| target.state).collect();
    assert_eq!(
        announced,
        [ebonyjunction::generated::TargetState::Leaving as i32]
    );
}

// Guards against a stop that waits for running work without a time limit.
#[tokio::test]
async fn stop_is_bounded() {
    let mut mesh = Mesh::start("stop_timeout_s = 2", &[]).await;
    behave(mesh.target.address, &json!({"service_ms": 60_000})).await;
    let mesh_entry = mesh.entry.entry;
    let held = tokio::spawn(async move { get(mesh_entry, "/orders/held", &[RESELLER]).await });
    wait_count(&mesh.target, "in_flight", 1).await;
    let start = Instant::now();
    mesh.node.process.signal("TERM");
    let status = mesh.node.process.wait().await;
    assert_eq!(status.code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(held.await.unwrap().header("ebj-outcome"), "unknown");
}

// Guards against sending work to a target after it announced that it is leaving.
#[tokio::test]
async fn leaving_target_gets_no_work() {
    let mut mesh = Mesh::start("", &["--service-ms", "800"]).await;
    let held = tokio::spawn(async move {
        get(mesh.entry.entry, "/orders/held", &[RESELLER])
            .await
            .verdict()
    });
    wait_count(&mesh.target, "in_flight", 1).await;
    mesh.target.process.signal("TERM");
    poll("the refusal of new work", async || {
        let answer = get(mesh.entry.entry, "/orders/new", &[RESELLER]).await;
        assert_ne!(
            answer.header("ebj-outcome"),
            "unknown",
            "{}",
            answer.verdict()
        );
        (answer.status == 503).then_some(())
    })
    .await;
    assert_eq!(held.await.unwrap(), "200 ran");
    assert_eq!(mesh.target.process.wait().await.code(), Some(0));
    let answer = get(mesh.node.entry, "/orders/new", &[RESELLER]).await;
    assert_eq!(answer.json()["outcome"], "not-run");
}

// Guards against not treating the refused connections of a crashed target as proof that a request did not run.
#[tokio::test]
async fn crashed_target_is_reported() {
    let mesh = Mesh::start("", &[]).await;
    behave(mesh.target.address, &json!({"service_ms": 60_000})).await;
    let node_entry = mesh.node.entry;
    let held = tokio::spawn(async move { post(node_entry, "/orders/held", &[RESELLER]).await });
    wait_count(&mesh.target, "in_flight", 1).await;
    mesh.target.process.signal("KILL");
    assert_eq!(held.await.unwrap().verdict(), "502 unknown answer-lost");
    let attempt = uuid::Uuid::new_v4().to_string();
    let answer = get(mesh.node.mesh, "/orders/new", &mesh_headers(&attempt)).await;
    assert_eq!(answer.verdict(), "503 not-run target-down");
    assert_eq!(answer.header("ebj-unspent"), "4");
}

// Guards against a SIGHUP that ends the node, and against ignoring a changed address of the control plane.
#[tokio::test]
async fn hangup_takes_control_replicas_over() {
    let registry =
        support::registry::FakeRegistry::start(support::mesh::PLANS, support::mesh::GRANTS).await;
    let unused_address = "127.0.0.1:9".parse().unwrap();
    let node = NodeProcess::start(unused_address, "").await;
    let answer = get(node.entry, "/orders/a", &[RESELLER]).await;
    assert_eq!(answer.verdict(), "503 not-run plan-stale");
    node.replace_in_settings("127.0.0.1:9", &registry.address.to_string());
    node.process.signal("HUP");
    poll("the plans of the new replica", async || {
        let answer = get(node.entry, "/orders/a", &[RESELLER]).await;
        (answer.verdict() != "503 not-run plan-stale").then_some(())
    })
    .await;
}

// Guards against writing a request to an idle connection of a crashed target, which leaves the request's outcome unknown.
#[tokio::test]
async fn idle_connections_end_with_crash() {
    let mesh = Mesh::start("", &[]).await;
    let node = NodeProcess::start(mesh.registry.address, "").await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let body = json!({
        "service": "orders",
        "address": listener.local_addr().unwrap(),
        "slots": 4,
        "connections": 8,
    });
    let path = "/ebonyjunction/v1/target";
    let body = body.to_string().into_bytes();
    let announced = call(node.local, Method::PUT, path, &[], body).await;
    assert!(announced.unwrap().status.is_success());
    // A node reports a missing grant only once it holds the plans. These requests do not reach the target.
    poll("the plans", async || {
        let answer = get(node.entry, "/stock/a", &[RESELLER]).await;
        (answer.verdict() == "403 not-run not-granted").then_some(())
    })
    .await;
    let send = async || {
        let attempt = uuid::Uuid::new_v4().to_string();
        let headers = mesh_headers(&attempt);
        get(node.mesh, "/orders/a", &headers).await.verdict()
    };
    let target = async {
        let mut idle = read_head(&listener).await;
        let mut crashed = read_head(&listener).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        idle.write_all(answer).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        crashed.shutdown().await.unwrap();
        drop((crashed, listener));
        // The node does not notice the end of this connection before it writes the next request to it.
        let mut rest = [0; 1024];
        let _ = idle.read(&mut rest).await;
    };
    tokio::spawn(target);
    let mut verdicts = <[String; 2]>::from(tokio::join!(send(), send()));
    verdicts.sort();
    assert_eq!(verdicts, ["200 ran", "502 unknown answer-lost"]);
    assert_eq!(send().await, "503 not-run target-down");
}

async fn read_head(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream
}

// Guards against serving requests under plans that may have been replaced.
#[tokio::test]
async fn stale_plans_are_refused() {
    let mesh = Mesh::start("plan_lease_s = 1", &[]).await;
    let empty = NodeProcess::start("127.0.0.1:9".parse().unwrap(), "").await;
    let answer = get(empty.entry, "/orders/a", &[RESELLER]).await;
    assert_eq!(answer.verdict(), "503 not-run plan-stale");
    mesh.registry.state().is_fresh = false;
    poll("stale plans", async || {
        let answer = get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        (answer.verdict() == "503 not-run plan-stale").then_some(())
    })
    .await;
    mesh.registry.state().is_fresh = true;
    mesh.wait_ready(&mesh.entry).await;
}

// Guards against a `stale_plans` setting that has no effect.
#[tokio::test]
async fn stale_plans_are_served_on_request() {
    let settings = "plan_lease_s = 1\nstale_plans = \"serve\"";
    let mesh = Mesh::start(settings, &[]).await;
    mesh.registry.state().is_fresh = false;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_500) {
        let answer = get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        assert_eq!(answer.verdict(), "200 ran");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

// Guards against adopting plans of an older version.
#[tokio::test]
async fn older_plans_are_not_adopted() {
    let mesh = Mesh::start("plan_lease_s = 1", &[]).await;
    let without_grants = "";
    mesh.registry
        .set_plans(5, support::mesh::PLANS, without_grants);
    poll("the new plans", async || {
        let answer = get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        (answer.verdict() == "403 not-run not-granted").then_some(())
    })
    .await;
    mesh.registry
        .set_plans(4, support::mesh::PLANS, support::mesh::GRANTS);
    poll("the refusal of unconfirmed plans", async || {
        let answer = get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        assert_ne!(answer.status, 200);
        (answer.verdict() == "503 not-run plan-stale").then_some(())
    })
    .await;
}

// Guards against large bodies that are held in memory or changed in transit.
#[tokio::test]
async fn large_bodies_pass_through() {
    let mesh = Mesh::start("", &[]).await;
    let before = [
        mesh.entry.process.rss_bytes(),
        mesh.node.process.rss_bytes(),
    ];
    let body = Bytes::from(vec![b'u'; LARGE_BYTES]);
    let digest = Sha256::digest(&body);
    let digest = digest
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"));
    let answer = call(
        mesh.entry.entry,
        Method::PUT,
        "/orders/scan",
        &[RESELLER],
        body,
    )
    .await
    .unwrap();
    assert_eq!(answer.verdict(), "200 ran");
    assert_eq!(answer.json()["body_bytes"], LARGE_BYTES);
    assert_eq!(answer.json()["sha256"], digest.as_str());
    let path = format!("/orders/scan?answer_bytes={LARGE_BYTES}");
    let answer = get(mesh.entry.entry, &path, &[RESELLER]).await;
    assert_eq!(answer.body.len(), LARGE_BYTES);
    let after = [
        mesh.entry.process.rss_bytes(),
        mesh.node.process.rss_bytes(),
    ];
    for (before, after) in before.into_iter().zip(after) {
        let growth = after.saturating_sub(before);
        assert!(growth < LARGE_BYTES as u64 / 3, "{before} {after}");
    }
}

// Guards against accepting bodies above the maximum size, with and without a `Content-Length`.
#[tokio::test]
async fn oversized_body_is_refused() {
    let mesh = Mesh::start("max_body_bytes = 100000\nreplay_limit_bytes = 1000", &[]).await;
    let body = Bytes::from(vec![b'u'; 100_001]);
    let answer = call(
        mesh.entry.entry,
        Method::POST,
        "/orders/a",
        &[RESELLER],
        body,
    )
    .await;
    assert_eq!(answer.unwrap().verdict(), "413 not-run body-too-large");
    let head = "POST /orders/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let mut request = head.as_bytes().to_vec();
    for _ in 0..11 {
        request.extend_from_slice(b"2710\r\n");
        request.extend_from_slice(&[b'u'; 0x2710]);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    let answer = exchange_raw(mesh.entry.entry, request).await;
    assert!(!answer.contains(" 200 OK"), "{answer}");
}

// Sends bytes and returns what the peer sends until it closes the connection or pauses.
async fn exchange_raw(address: SocketAddr, request: Vec<u8>) -> String {
    let exchange = move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(2)))
            .unwrap();
        let _ = stream.write_all(&request);
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(count) = stream.read(&mut buffer)
            && count > 0
        {
            answer.extend_from_slice(&buffer[..count]);
        }
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::task::spawn_blocking(exchange).await.unwrap()
}

// Guards against ports that stop working after malformed input.
#[tokio::test]
async fn garbage_leaves_ports_working() {
    let mesh = Mesh::start("", &[]).await;
    let node = &mesh.node;
    let garbage: [&[u8]; 4] = [
        b"\x00\xff\x16\x03\x01 garbage\r\n\r\n",
        b"GET\r\n\r\n",
        b"CONNECT orders:80 HTTP/1.1\r\nhost: orders\r\n\r\n",
        b"OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n",
    ];
    for address in [node.entry, node.mesh, node.local] {
        for bytes in garbage {
            let answer = exchange_raw(address, bytes.to_vec()).await;
            assert!(!answer.contains(" 200 OK"), "{answer}");
        }
    }
    let body = b"{\"service\":\"orders\"}".to_vec();
    let path = "/ebonyjunction/v1/target";
    let answer = call(node.local, Method::PUT, path, &[], body)
        .await
        .unwrap();
    assert_eq!(answer.status, 400);
    mesh.wait_ready(&mesh.entry).await;
    mesh.wait_ready(node).await;
    let local_answer = get(node.local, "/stock/a", &[]).await;
    assert_eq!(local_answer.header("ebj-outcome"), "not-run");
}

// Guards against request smuggling, where one request is read as two, and against forwarding hop-by-hop and internal
// headers.
#[tokio::test]
async fn hop_headers_are_stripped() {
    let mesh = Mesh::start("", &[]).await;
    let id = uuid::Uuid::new_v4().to_string();
    let request = format!(
        "POST /orders/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         connection: close, x-private\r\nx-private: 1\r\nx-public: 1\r\nte: trailers\r\n\
         ebj-class: critical\r\nebj-request-id: {id}\r\n\
         content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
         0\r\n\r\nGET /orders/smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
    );
    let answer = exchange_raw(mesh.entry.entry, request.into_bytes()).await;
    assert!(!answer.contains("smuggled"), "{answer}");
    let headers = [
        RESELLER,
        ("connection", "x-private"),
        ("x-private", "1"),
        ("x-public", "1"),
        ("te", "trailers"),
        ("ebj-class", "critical"),
        ("ebj-mesh-token", "guess"),
    ];
    let answer = get(mesh.entry.entry, "/orders/a", &headers).await;
    let mut seen: Vec<String> = serde_json::from_value(answer.json()["headers"].clone()).unwrap();
    seen.sort();
    let expected = [
        "ebj-attempt-id",
        "ebj-request-id",
        "ebj-timeout-ms",
        "host",
        "x-public",
    ];
    assert_eq!(seen, expected);
    assert!(
        counts(mesh.target.address).await["requests"][&id]
            .as_u64()
            .unwrap_or(0)
            <= 1
    );
}

// Guards against running a resend while the first send is still in flight.
#[tokio::test]
async fn resend_in_flight_is_refused() {
    let mesh = Mesh::start("", &[]).await;
    let id = uuid::Uuid::new_v4().to_string();
    let headers = [RESELLER, ("ebj-request-id", id.as_str())];
    let first = get(mesh.entry.entry, "/orders/a?service_ms=700", &headers);
    let second = async {
        poll("the first execution", async || {
            let requests = counts(mesh.target.address).await["requests"].clone();
            (requests[&id] == 1).then_some(())
        })
        .await;
        get(mesh.entry.entry, "/orders/a", &headers).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.verdict(), "200 ran");
    assert_eq!(second.verdict(), "409 unknown duplicate-in-flight");
    assert_eq!(counts(mesh.target.address).await["requests"][&id], 1);
}
