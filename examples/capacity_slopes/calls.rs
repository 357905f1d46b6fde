//! Measures the processor time of a call at the sending node and at the node of its target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyjunction::generated::{
    ApplyRequest, CallerRow, GrantRow, PlanRow, PlanSet, PriorityClass,
};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sha2::{Digest, Sha256};

use crate::processes::{ChildProcess, control_client, start_node, start_replicas, wait_for_leader};
use crate::{print_figure, print_load};

const CREDENTIAL: &str = "slopes-credential-0123456789";
const SECONDS: u32 = 8;
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Measures calls from one node to the target of another node, at each rate in turn.
pub(crate) async fn measure(rates: &[u32]) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let replicas = start_replicas(folder.path(), 1).await;
    wait_for_leader(&replicas, None).await;
    let reply = control_client(&replicas).apply_plans(lists()).await;
    assert!(reply.expect("an answer").accepted);
    let control = [replicas[0].address];
    let sender = start_node(folder.path(), "sender", &control);
    let receiver = start_node(folder.path(), "receiver", &control);
    let local = receiver.listening("listener=local").await.to_string();
    let log = folder.path().join("target.log");
    let flags = [
        "--service",
        "orders",
        "--node",
        &local,
        "--slots",
        "35",
        "--service-ms",
        "1",
    ];
    let _target = ChildProcess::start("ebonyjunction-stand-in", &flags, log);
    let entry = sender.listening("listener=entry").await;
    // Waits until the slow start of the target is over.
    tokio::time::sleep(SETTLE_TIME).await;
    for rate in rates {
        print_load(&format!("calls_{rate}"));
        let before = (sender.cpu_s(), receiver.cpu_s());
        let answered = send_calls(entry, *rate).await as f64;
        let size = *rate as usize;
        let per_call = |cpu: f64| cpu / answered * 1e6;
        print_figure("calls", size, "answered", answered);
        print_figure(
            "calls",
            size,
            "sender_us",
            per_call(sender.cpu_s() - before.0),
        );
        print_figure(
            "calls",
            size,
            "receiver_us",
            per_call(receiver.cpu_s() - before.1),
        );
        print_figure("calls", size, "sender_rss_mb", sender.rss_mb());
        print_figure("calls", size, "receiver_rss_mb", receiver.rss_mb());
    }
}

async fn send_calls(entry: SocketAddr, rate: u32) -> u64 {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let answered = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    for number in 0..rate * SECONDS {
        let at = start + Duration::from_secs(1) * number / rate;
        tokio::time::sleep_until(at.into()).await;
        let (client, answered) = (client.clone(), Arc::clone(&answered));
        tokio::spawn(async move {
            let request = Request::get(format!("http://{entry}/orders/work"))
                .header("authorization", format!("Bearer {CREDENTIAL}"))
                .body(Full::default())
                .expect("valid request");
            let Ok(response) = client.request(request).await else {
                return;
            };
            let is_success = response.status().is_success();
            let _ = response.into_body().collect().await;
            answered.fetch_add(u64::from(is_success), Ordering::Relaxed);
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    answered.load(Ordering::Relaxed)
}

/// Returns the first change of the lists: one outside caller with a grant for the measured target.
pub(crate) fn lists() -> ApplyRequest {
    let name = "client".to_owned();
    let plan = PlanRow {
        name: name.clone(),
        attempts: 32,
        burst: 1,
        ..PlanRow::default()
    };
    let caller = CallerRow {
        name: name.clone(),
        plan: name.clone(),
        credential_sha256: Sha256::digest(CREDENTIAL).to_vec().into(),
        ..CallerRow::default()
    };
    let grant = GrantRow {
        plan: name,
        service: "orders".to_owned(),
        path_prefix: "/".to_owned(),
        priority_class: PriorityClass::Read.into(),
        at_most_once: false,
        deadline_ms: 1_000,
    };
    ApplyRequest {
        change_id: uuid::Uuid::new_v4().to_string(),
        plans: Some(PlanSet {
            plans: vec![plan],
            callers: vec![caller],
            grants: vec![grant],
            ..PlanSet::default()
        }),
        ..ApplyRequest::default()
    }
}
