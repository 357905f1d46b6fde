//! Measures goodput and recovery time when the deepest of four chained services slows to a quarter of
//! its speed while demand doubles and clients retry aggressively, for the mesh and for a baseline proxy.

#[path = "../../tests/fleet/mod.rs"]
mod fleet;

mod baseline;
mod load;

use std::net::SocketAddr;
use std::time::Duration;

use baseline::{BaselineNode, ServiceMap};
use bytes::Bytes;
use fleet::{CREDENTIAL, Fleet, Process, ServiceSpec, start_target};
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use load::{LoadPlan, LoadResult, run_load};

const ENDPOINTS: usize = 2;
const DEEP_SLOTS: u32 = 10;
const DEEP_SERVICE_MS: u64 = 20;
const SLOWDOWN: u64 = 4;
const ALLOWANCE: u64 = 16;
const LOAD: LoadPlan = LoadPlan {
    before_seconds: 8,
    overload_seconds: 20,
    after_seconds: 15,
    rate: 400,
};
/// Share of the goodput before the overload at which the service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Time between the start of the processes and the first request.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Seconds at the start of the run that are left out of the goodput before the overload.
const WARM_UP_S: usize = 3;

const PLANS: &str = r#"
[[plan]]
name = "client"
rate_per_s = 0
attempts = 16

[[plan]]
name = "service"
rate_per_s = 0

[[caller]]
name = "client"
plan = "client"
credential_sha256 = "@DIGEST@"

[[caller]]
name = "first"
plan = "service"
service = "first"

[[caller]]
name = "second"
plan = "service"
service = "second"

[[caller]]
name = "third"
plan = "service"
service = "third"
"#;

const GRANTS: &str = r#"
[[grant]]
plan = "client"
service = "first"
path_prefix = "/stock"
class = "read"
deadline_ms = 1000

[[grant]]
plan = "client"
service = "first"
path_prefix = "/confirm"
class = "critical"
at_most_once = true
deadline_ms = 1000

[[grant]]
plan = "service"
service = "second"
path_prefix = "/"
class = "read"

[[grant]]
plan = "service"
service = "third"
path_prefix = "/"
class = "read"

[[grant]]
plan = "service"
service = "fourth"
path_prefix = "/"
class = "read"
"#;

fn services() -> [ServiceSpec; 4] {
    let upper = |name, downstream| ServiceSpec {
        name,
        endpoints: ENDPOINTS,
        slots: 70,
        service_time: Duration::from_millis(2),
        downstream: Some(downstream),
    };
    [
        upper("first", "/second/work"),
        upper("second", "/third/work"),
        upper("third", "/fourth/work"),
        ServiceSpec {
            name: "fourth",
            endpoints: ENDPOINTS,
            slots: DEEP_SLOTS,
            service_time: Duration::from_millis(DEEP_SERVICE_MS),
            downstream: None,
        },
    ]
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let rounds = std::env::var("ROUNDS")
        .ok()
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(1);
    println!(
        "before_s={} overload_s={} after_s={} requests_per_s={} slowed_capacity_per_s={}",
        LOAD.before_seconds,
        LOAD.overload_seconds,
        LOAD.after_seconds,
        LOAD.rate,
        slowed_capacity()
    );
    for _ in 0..rounds {
        let mesh = runtime.block_on(measure_mesh());
        report("", &mesh);
        let baseline = runtime.block_on(measure_baseline());
        report("baseline_", &baseline);
    }
}

fn slowed_capacity() -> f64 {
    let per_slot = 1000.0 / (DEEP_SERVICE_MS * SLOWDOWN) as f64;
    ENDPOINTS as f64 * f64::from(DEEP_SLOTS) * per_slot
}

async fn measure_mesh() -> LoadResult {
    let digest = sha2_hex(CREDENTIAL);
    let plans = PLANS.replace("@DIGEST@", &digest);
    let fleet = tokio::task::block_in_place(|| Fleet::start(&services(), &plans, GRANTS));
    // A node learns with its next heartbeat of targets that started after it.
    tokio::time::sleep(SETTLE_TIME).await;
    let entries = fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.service == "first");
    let entries = entries.map(|endpoint| endpoint.entry).collect();
    let deep = fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.service == "fourth");
    let deep: Vec<SocketAddr> = deep.map(|endpoint| endpoint.target_address).collect();
    run_load(LOAD, entries, CREDENTIAL.to_owned(), async |is_slow| {
        slow_down(&deep, is_slow).await;
    })
    .await
}

async fn measure_baseline() -> LoadResult {
    let folder = tempfile::tempdir().expect("temporary folder");
    let map = ServiceMap::default();
    let mut entries = Vec::new();
    let mut deep = Vec::new();
    let mut targets: Vec<Process> = Vec::new();
    for service in services() {
        for _ in 0..service.endpoints {
            let node = BaselineNode::start(map.clone(), service.slots as usize).await;
            let log = folder.path().join(format!("target-{}.log", targets.len()));
            let target = start_target(&service, node.local, log);
            let address = tokio::task::block_in_place(|| target.listening("event=listening"));
            if service.name == "first" {
                entries.push(node.entry);
            }
            if service.downstream.is_none() {
                deep.push(address);
            }
            targets.push(target);
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    run_load(LOAD, entries, CREDENTIAL.to_owned(), async |is_slow| {
        slow_down(&deep, is_slow).await;
    })
    .await
}

async fn slow_down(targets: &[SocketAddr], is_slow: bool) {
    let factor = if is_slow { SLOWDOWN } else { 1 };
    let body = format!("{{\"service_ms\":{}}}", DEEP_SERVICE_MS * factor);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for target in targets {
        let request = Request::put(format!("http://{target}/stand-in/behaviour"))
            .body(Full::new(Bytes::from(body.clone())))
            .expect("valid request");
        let response = client.request(request).await.expect("stand-in answers");
        assert!(
            response.status().is_success(),
            "the stand-in refused the new behaviour"
        );
    }
}

fn report(prefix: &str, result: &LoadResult) {
    let start = LOAD.before_seconds as usize;
    let end = start + LOAD.overload_seconds as usize;
    let answered = |from: usize, to: usize| -> u64 {
        result.seconds[from..to]
            .iter()
            .map(|second| second.answered)
            .sum()
    };
    let before = answered(WARM_UP_S, start) as f64 / (start - WARM_UP_S) as f64;
    let during = answered(start, end) as f64 / (end - start) as f64;
    let recovered = result.seconds[end..]
        .iter()
        .position(|second| second.answered as f64 >= RECOVERED_SHARE * before);
    let shed: u64 = result
        .seconds
        .iter()
        .filter(|second| second.reads_answered > 0)
        .map(|second| second.critical_shed)
        .sum();
    let critical: u64 = result
        .seconds
        .iter()
        .map(|second| second.critical_answered)
        .sum();
    let gave_up: u64 = result.seconds.iter().map(|second| second.gave_up).sum();
    println!("{prefix}goodput_before_per_s={before:.1}");
    println!("{prefix}goodput_during_per_s={during:.1}");
    println!("{prefix}goodput_ratio={:.3}", during / slowed_capacity());
    match recovered {
        Some(seconds) => println!("{prefix}recovery_s={}", seconds + 1),
        None => println!("{prefix}recovery_s=none within {} s", LOAD.after_seconds),
    }
    println!(
        "{prefix}attempts_per_request={:.2}",
        result.attempts as f64 / result.requests as f64
    );
    println!(
        "{prefix}attempts_max={} allowance={ALLOWANCE}",
        result.max_attempts
    );
    println!("{prefix}critical_answered={critical}");
    println!("{prefix}gave_up={gave_up}");
    println!("{prefix}important_shed_while_reads_ran={shed}");
    for (reason, count) in &result.refusals {
        println!("{prefix}failed_sends reason=\"{reason}\" count={count}");
    }
    let per_second: Vec<String> = result
        .seconds
        .iter()
        .map(|second| second.answered.to_string())
        .collect();
    println!("{prefix}answered_by_second={}", per_second.join(","));
}

fn sha2_hex(text: &str) -> String {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(text.as_bytes());
    digest
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}
