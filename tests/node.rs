//! Behaviour of the node process towards callers, targets, other nodes and the control plane.

mod support;

use std::time::{Duration, Instant};

use ebonyjunction::generated::ClaimOutcome;
use http::Method;
use serde_json::json;

use support::http::{behave, call, counts, get, post};
use support::mesh::{Mesh, RESELLER, mesh_headers, wait_count};
use support::poll;
use support::process::{MESH_TOKEN, NodeProcess, StandIn};
use support::registry::ClaimMode;

// Guards against losing the answer, the request id or the outcome of a request, with and without a hop between nodes.
#[tokio::test]
async fn entry_answers_over_mesh_hop() {
    let mesh = Mesh::start("", &[]).await;
    for node in [&mesh.entry, &mesh.node] {
        let id = uuid::Uuid::new_v4().to_string();
        let headers = [RESELLER, ("ebj-request-id", id.as_str())];
        let answer = get(node.entry, "/orders/list?page=2", &headers).await;
        assert_eq!(answer.verdict(), "200 ran");
        assert_eq!(answer.header("ebj-request-id"), id);
        assert_eq!(answer.json()["request_id"], id.as_str());
        assert_eq!(answer.json()["path"], "/list");
        assert!(answer.headers.get("ebj-level").is_none());
    }
}

const UUID_VERSION_4: &str = "5b3d34a5-6a1b-4c8e-8a3e-1f2d3c4b5a69";

type RefusalCase = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
);

// Guards against refusals with a wrong status, outcome or reason, and against refused work that reaches the target.
#[tokio::test]
async fn entry_refuses_with_reason() {
    let mesh = Mesh::start("", &[]).await;
    let before = counts(mesh.target.address).await["started"].clone();
    let cases: &[RefusalCase] = &[
        ("/orders/a", &[], "401 not-run unknown-caller"),
        (
            "/orders/a",
            &[("authorization", "Bearer wrong")],
            "401 not-run unknown-caller",
        ),
        (
            "/orders/a",
            &[RESELLER, RESELLER],
            "401 not-run unknown-caller",
        ),
        ("/stock/a", &[RESELLER], "403 not-run not-granted"),
        ("/Orders/a", &[RESELLER], "400 not-run bad-request"),
        ("/orders/x/../pay", &[RESELLER], "400 not-run bad-request"),
        ("/orders/%70ay", &[RESELLER], "400 not-run bad-request"),
        ("/orders//pay", &[RESELLER], "400 not-run bad-request"),
        ("/orders/pay", &[RESELLER], "400 not-run key-required"),
        (
            "/orders/pay",
            &[RESELLER, ("idempotency-key", UUID_VERSION_4)],
            "400 not-run bad-request",
        ),
        (
            "/orders/a",
            &[RESELLER, ("ebj-request-id", "x")],
            "400 not-run bad-request",
        ),
        (
            "/orders/a",
            &[RESELLER, ("ebj-timeout-ms", "-1")],
            "400 not-run bad-request",
        ),
        (
            "/orders/a",
            &[RESELLER, ("ebj-timeout-ms", "0")],
            "504 not-run deadline-exceeded",
        ),
    ];
    for (path, headers, expected) in cases {
        let answer = get(mesh.entry.entry, path, headers).await;
        assert_eq!(answer.verdict(), *expected, "{path} {headers:?}");
        assert_eq!(answer.json()["outcome"], "not-run");
        assert_eq!(answer.json()["request_id"], answer.header("ebj-request-id"));
    }
    poll("an unknown service", async || {
        let answer = get(mesh.entry.entry, "/ghost/a", &[RESELLER]).await;
        assert_eq!(answer.header("ebj-outcome"), "not-run");
        (answer.verdict() == "404 not-run unknown-service").then_some(())
    })
    .await;
    assert_eq!(counts(mesh.target.address).await["started"], before);
}

// Guards against a rate limit that is not enforced, or that refuses requests before the node's share of the rate can arrive.
#[tokio::test]
async fn entry_refuses_beyond_rate() {
    let mesh = Mesh::start("", &[]).await;
    mesh.registry.state().deposit = 2;
    let guest = ("authorization", "Bearer guest");
    let mut verdicts = Vec::new();
    for _ in 0..3 {
        let answer = get(mesh.entry.entry, "/orders/a", &[guest]).await;
        if answer.status == 429 {
            assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
        }
        verdicts.push(answer.verdict());
    }
    assert_eq!(verdicts, ["200 ran", "200 ran", "429 not-run plan-rate"]);
}

// Guards against refusing a caller far below its rate because its node holds a small lease: the next token is up to a
// second away and heartbeats bring none.
#[tokio::test]
async fn entry_awaits_token_of_small_lease() {
    let mesh = Mesh::start("", &[]).await;
    mesh.registry.state().lease_per_s = 1;
    let clerk = ("authorization", "Bearer clerk");
    for _ in 0..4 {
        let answer = get(mesh.entry.entry, "/orders/a", &[clerk]).await;
        assert_eq!(answer.verdict(), "200 ran");
    }
}

// Guards against work that runs twice under one idempotency key, and against a resend that does not get the first answer.
#[tokio::test]
async fn payment_runs_once() {
    let mesh = Mesh::start("", &["--service-ms", "100"]).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [RESELLER, ("idempotency-key", key.as_str())];
    let (first, second) = tokio::join!(
        post(mesh.entry.entry, "/orders/pay", &headers),
        post(mesh.node.entry, "/orders/pay", &headers),
    );
    let mut verdicts = [first.verdict(), second.verdict()];
    verdicts.sort();
    assert_eq!(verdicts, ["200 ran", "409 unknown claim-in-progress"]);
    let resend = poll("the stored answer", async || {
        let answer = post(mesh.entry.entry, "/orders/pay", &headers).await;
        (answer.verdict() == "200 ran").then_some(answer)
    })
    .await;
    assert_eq!(resend.json()["path"], "/pay");
    assert_eq!(counts(mesh.target.address).await["keys"][&key], 1);
    let settled = mesh.registry.state().settled.clone();
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].1, ClaimOutcome::Done);
}

// Guards against reporting a payment as not run although it ran after its caller disconnected.
#[tokio::test]
async fn payment_outlives_its_caller() {
    let mesh = Mesh::start("", &["--service-ms", "300"]).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [RESELLER, ("idempotency-key", key.as_str())];
    let first = post(mesh.entry.entry, "/orders/pay", &headers);
    let first = tokio::time::timeout(Duration::from_millis(150), first).await;
    assert!(first.is_err());
    poll("the answer of the first send", async || {
        let answer = post(mesh.entry.entry, "/orders/pay", &headers).await;
        assert_ne!(
            answer.header("ebj-outcome"),
            "not-run",
            "{}",
            answer.verdict()
        );
        (answer.verdict() == "200 ran").then_some(())
    })
    .await;
    assert_eq!(counts(mesh.target.address).await["keys"][&key], 1);
}

// Guards against handing a payment over without a claim, and against a claim that is held forever because the answer to it
// was lost.
#[tokio::test]
async fn payment_waits_for_claim_log() {
    let mesh = Mesh::start("", &[]).await;
    for mode in [ClaimMode::Unavailable, ClaimMode::Lost] {
        mesh.registry.state().claim_mode = mode;
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [
            RESELLER,
            ("idempotency-key", key.as_str()),
            ("ebj-timeout-ms", "400"),
        ];
        let refused = post(mesh.entry.entry, "/orders/pay", &headers).await;
        assert_eq!(refused.json()["outcome"], "not-run", "{mode:?}");
        assert!(counts(mesh.target.address).await["keys"][&key].is_null());
        mesh.registry.state().claim_mode = ClaimMode::Normal;
        poll("the released claim", async || {
            let answer = post(mesh.entry.entry, "/orders/pay", &headers[..2]).await;
            (answer.verdict() == "200 ran").then_some(())
        })
        .await;
        assert_eq!(counts(mesh.target.address).await["keys"][&key], 1);
    }
}

// Guards against a target that is not told the deadline, and against a caller that waits beyond it.
#[tokio::test]
async fn deadline_is_passed_on() {
    let mesh = Mesh::start("", &[]).await;
    let headers = [RESELLER, ("ebj-timeout-ms", "600")];
    let answer = get(mesh.entry.entry, "/orders/a", &headers).await;
    let body = answer.json();
    let passed: u64 = body["timeout_ms"].as_str().unwrap().parse().unwrap();
    assert!((1..=600).contains(&passed), "{passed}");
    let start = Instant::now();
    let answer = get(mesh.entry.entry, "/orders/a?service_ms=9000", &headers).await;
    assert_eq!(answer.verdict(), "504 unknown deadline-exceeded");
    assert!(start.elapsed() < Duration::from_secs(4));
    wait_count(&mesh.target, "cancelled", 1).await;
}

// Guards against a request chain that loses the request id, and against calls on behalf of an attempt that does not exist.
#[tokio::test]
async fn chain_keeps_request_id() {
    let mesh = Mesh::start("", &[]).await;
    let (_node, stock) = mesh.add_stock().await;
    let id = uuid::Uuid::new_v4().to_string();
    let headers = [RESELLER, ("ebj-request-id", id.as_str())];
    let answer = get(mesh.entry.entry, "/orders/a", &headers).await;
    assert_eq!(answer.verdict(), "200 ran");
    let body = answer.json();
    assert_eq!(body["calls"][0]["outcome"], "ran");
    assert_eq!(body["calls"][0]["answer"]["request_id"], id.as_str());
    assert_eq!(counts(stock.address).await["requests"][&id], 1);
    let forged = [
        ("ebj-attempt-id", id.as_str()),
        ("ebj-request-id", id.as_str()),
    ];
    let answer = get(mesh.node.local, "/stock/check", &forged).await;
    assert_eq!(answer.verdict(), "200 ran");
    assert_ne!(answer.header("ebj-request-id"), id);
    let answer = get(mesh.node.local, "/orders/check", &forged).await;
    assert_eq!(answer.verdict(), "403 not-run not-granted");
}

// Guards against work that continues after its caller disconnected.
#[tokio::test]
async fn disconnect_cancels_children() {
    let mesh = Mesh::start("", &[]).await;
    let (_node, stock) = mesh.add_stock().await;
    behave(stock.address, &json!({"service_ms": 4000})).await;
    let request = get(mesh.entry.entry, "/orders/a", &[RESELLER]);
    let watched = async { wait_count(&stock, "in_flight", 1).await };
    tokio::select! {
        _ = request => panic!("the request must not be answered"),
        () = watched => {}
    }
    wait_count(&stock, "cancelled", 1).await;
    wait_count(&mesh.target, "cancelled", 1).await;
    assert!(counts(stock.address).await["finished"].as_u64().unwrap() >= 1);
}

// Guards against a truncated answer that looks complete to the caller.
#[tokio::test]
async fn truncated_answer_is_reported() {
    let mesh = Mesh::start("whole_answer_bytes = 65536", &[]).await;
    for cut in ["length", "chunked"] {
        let path = format!("/orders/a?answer_bytes=5000&cut={cut}");
        let answer = post(mesh.entry.entry, &path, &[RESELLER]).await;
        assert_eq!(answer.verdict(), "502 unknown answer-lost", "{cut}");
        assert_eq!(answer.json()["outcome"], "unknown");
        let path = format!("/orders/a?answer_bytes=2000000&cut={cut}");
        let answer = call(mesh.entry.entry, Method::POST, &path, &[RESELLER], "").await;
        assert!(
            answer.is_err(),
            "{cut}: a truncated stream ended like a complete one"
        );
    }
    let answer = get(
        mesh.entry.entry,
        "/orders/a?answer_bytes=2000000",
        &[RESELLER],
    )
    .await;
    assert_eq!(answer.verdict(), "200 ran");
    assert_eq!(answer.body.len(), 2_000_000);
}

// Guards against running a delayed copy of a cancelled attempt after its sender was told that it did not run.
#[tokio::test]
async fn late_copy_after_cancel_is_refused() {
    let mesh = Mesh::start("", &[]).await;
    let attempt = uuid::Uuid::new_v4().to_string();
    let path = format!("/ebonyjunction/v1/attempts/{attempt}");
    let token = [("ebj-mesh-token", MESH_TOKEN)];
    let answer = call(mesh.node.mesh, Method::DELETE, &path, &token, "")
        .await
        .unwrap();
    // Without node id and age from the sender, the cancellation does not prove that the attempt did not run.
    assert_eq!(answer.verdict(), "200 unknown cancelled");
    let answer = get(mesh.node.mesh, "/orders/late", &mesh_headers(&attempt)).await;
    assert_eq!(answer.verdict(), "503 not-run cancelled");
    let other = uuid::Uuid::new_v4().to_string();
    let answer = get(mesh.node.mesh, "/orders/late", &mesh_headers(&other)).await;
    assert_eq!(answer.verdict(), "200 ran");
    assert_eq!(answer.header("ebj-unspent"), "4");
    assert_eq!(answer.header("ebj-attempt-id"), other);
    let answer = get(mesh.node.mesh, "/orders/late", &mesh_headers(&other)).await;
    assert_eq!(answer.verdict(), "409 unknown duplicate-in-flight");
}

// Guards against a mesh port that serves callers without the mesh token or accepts a malformed attempt context.
#[tokio::test]
async fn mesh_refuses_malformed_headers() {
    let mesh = Mesh::start("", &[]).await;
    let attempt = uuid::Uuid::new_v4().to_string();
    let before = counts(mesh.target.address).await["started"].clone();
    for position in 0..mesh_headers(&attempt).len() {
        for change in ["missing", "garbage", "repeated"] {
            let mut headers = mesh_headers(&attempt);
            let (name, value) = headers[position];
            match change {
                "missing" => drop(headers.remove(position)),
                "garbage" => headers[position].1 = "?!",
                _ => headers.push((name, value)),
            }
            let Ok(answer) = call(mesh.node.mesh, Method::GET, "/orders/a", &headers, "").await
            else {
                panic!("{change} {name}: no answer");
            };
            let expected = if position == 0 {
                "401 not-run bad-mesh-token"
            } else {
                "400 not-run bad-request"
            };
            assert_eq!(answer.verdict(), expected, "{change} {name}");
        }
    }
    assert_eq!(counts(mesh.target.address).await["started"], before);
}

// Guards against cancelling a part of an at-most-once request chain when its caller disconnects.
#[tokio::test]
async fn payment_chain_outlives_its_caller() {
    let mesh = Mesh::start("", &[]).await;
    let (_node, stock) = mesh.add_stock().await;
    behave(stock.address, &json!({"service_ms": 500})).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [RESELLER, ("idempotency-key", key.as_str())];
    tokio::select! {
        _ = post(mesh.entry.entry, "/orders/pay", &headers) => panic!("the payment must not end"),
        () = wait_count(&stock, "in_flight", 1) => {}
    }
    let answer = poll("the stored answer", async || {
        let answer = post(mesh.entry.entry, "/orders/pay", &headers).await;
        (answer.verdict() == "200 ran").then_some(answer)
    })
    .await;
    assert_eq!(answer.json()["calls"][0]["outcome"], "ran");
    assert_eq!(counts(stock.address).await["cancelled"], 0);
    assert_eq!(counts(mesh.target.address).await["keys"][&key], 1);
}

// Guards against a retry that goes to the node that just failed, or that is omitted although the request did not run.
#[tokio::test]
async fn retry_goes_to_another_target() {
    let mesh = Mesh::start("", &[]).await;
    let mut second = NodeProcess::start(mesh.registry.address, "").await;
    let other = StandIn::start("orders", &second, &[]).await;
    mesh.wait_ready(&second).await;
    poll("work at the second target", async || {
        get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        (counts(other.address).await["started"].as_u64()? > 3).then_some(())
    })
    .await;
    second.process.signal("KILL");
    second.process.wait().await;
    poll("a retry", async || {
        let answer = get(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
        assert_eq!(answer.verdict(), "200 ran");
        let parts = ["event=retry", "reason=target-down"];
        mesh.entry.process.has_line(&parts).then_some(())
    })
    .await;
}

// Guards against answers without a body whose length is lost or sent twice.
#[tokio::test]
async fn answers_without_body_pass() {
    let mesh = Mesh::start("", &[]).await;
    let path = "/orders/a?answer_bytes=5000";
    let answer = call(mesh.entry.entry, Method::HEAD, path, &[RESELLER], "")
        .await
        .unwrap();
    assert_eq!(answer.verdict(), "200 ran");
    assert_eq!(answer.header("content-length"), "5000");
    assert!(answer.body.is_empty());
    for status in [204, 304] {
        let path = format!("/orders/a?status={status}");
        let answer = get(mesh.entry.entry, &path, &[RESELLER]).await;
        assert_eq!(answer.verdict(), format!("{status} ran"));
    }
    let answer = get(mesh.entry.entry, "/orders/a?status=500", &[RESELLER]).await;
    assert_eq!(answer.verdict(), "500 ran");
}

// Guards against decisions that are not recorded for later explanation, or that are shown to callers without the mesh
// token.
#[tokio::test]
async fn decisions_are_explained() {
    let mesh = Mesh::start("", &[]).await;
    let id = uuid::Uuid::new_v4().to_string();
    let headers = [RESELLER, ("ebj-request-id", id.as_str())];
    get(mesh.entry.entry, "/orders/a", &headers).await;
    let path = format!("/ebonyjunction/v1/decisions/{id}");
    let token = [("ebj-mesh-token", MESH_TOKEN)];
    let mut lines: Vec<String> = Vec::new();
    for node in [&mesh.entry, &mesh.node] {
        assert_eq!(get(node.mesh, &path, &[]).await.status, 401);
        let answer = get(node.mesh, &path, &token).await;
        lines.extend(serde_json::from_slice::<Vec<String>>(&answer.body).unwrap_or_default());
    }
    for event in ["event=route ", "event=served ", "event=answered "] {
        assert!(
            lines.iter().any(|line| line.starts_with(event)),
            "{event} {lines:?}"
        );
    }
    let unknown = path.replace(&id, &uuid::Uuid::new_v4().to_string());
    assert_eq!(get(mesh.node.mesh, &unknown, &token).await.status, 404);
}

/// Sends interim answers until the caller closes the connection.
fn send_interim_answers(mut stream: std::net::TcpStream) {
    use std::io::{Read, Write};
    // A probe connects and sends nothing, so it gets no answer.
    if stream.read(&mut [0; 1_024]).unwrap_or(0) == 0 {
        return;
    }
    let interim = b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".repeat(1_024);
    while stream.write_all(&interim).is_ok() {}
}

// Guards against a target that sends interim answers without end and occupies its node until it serves nothing else.
#[tokio::test]
async fn endless_interim_answers_are_bounded() {
    let mesh = Mesh::start("", &[]).await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || send_interim_answers(stream));
        }
    });
    let announcement =
        json!({"service": "orders", "address": address, "slots": 4, "connections": 10}).to_string();
    let path = "/ebonyjunction/v1/target";
    let announced = call(mesh.node.local, Method::PUT, path, &[], announcement).await;
    assert_eq!(announced.unwrap().status, 204);
    let started = Instant::now();
    let answer = post(mesh.entry.entry, "/orders/a", &[RESELLER]).await;
    assert_eq!(answer.verdict(), "502 unknown answer-lost");
    assert!(started.elapsed() < Duration::from_secs(2));
    // The node still answers requests that need no target.
    let answer = get(mesh.node.entry, "/orders/a", &[]).await;
    assert_eq!(answer.verdict(), "401 not-run unknown-caller");
}

// Guards against a copy of an earlier heartbeat, which a slow replica delays, setting a node's announcement back: the leader
// tells copies only by their numbers.
#[tokio::test]
async fn heartbeats_are_numbered() {
    let mesh = Mesh::start("", &[]).await;
    let sequences = poll("heartbeats of both nodes", async || {
        let sequences = mesh.registry.state().sequences.clone();
        (sequences.len() > 6).then_some(sequences)
    })
    .await;
    for (node, _) in &sequences {
        let sent = sequences.iter().filter(|(other, _)| other == node);
        let numbers: Vec<u64> = sent.map(|(_, number)| *number).collect();
        assert_eq!(numbers[0], 1);
        assert!(numbers.is_sorted_by(|left, right| left < right));
    }
}
