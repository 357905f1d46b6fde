//! Measures memory, disk space and start-up time of a replica by the number of records in its log.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyjunction::control_client::ControlClient;
use ebonyjunction::generated::{
    ApplyRequest, ClaimDecision, ClaimKey, ClaimRequest, GrantRow, PlanRow, PlanSet, PriorityClass,
};
use futures_util::{StreamExt, stream};

use crate::processes::{ReplicaChild, control_client, start_replicas, wait_for_leader};
use crate::{print_figure, print_load};

const SERVICES: usize = 44;
const CLAIMS_IN_FLIGHT: usize = 256;
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// Measures a replica after `count` edits of lists with one grant per service.
pub(crate) async fn measure_edits(count: usize) {
    let write = async |client: &ControlClient| {
        for version in 0..count as u64 {
            let request = ApplyRequest {
                change_id: uuid::Uuid::new_v4().to_string(),
                base_version: version,
                plans: Some(lists(version as u32)),
                relayed: false,
            };
            let reply = client.apply_plans(request).await.expect("an answer");
            assert!(reply.accepted, "{:?}", reply.findings);
        }
    };
    measure("edits", count, write).await;
}

/// Measures a replica that holds `count` claims.
pub(crate) async fn measure_claims(count: usize) {
    let write = async |client: &ControlClient| {
        let claims = stream::iter(0..count).map(|_| claim(client));
        claims
            .buffer_unordered(CLAIMS_IN_FLIGHT)
            .collect::<()>()
            .await;
    };
    measure("claims", count, write).await;
}

async fn measure(part: &str, count: usize, write: impl AsyncFn(&ControlClient)) {
    print_load(&format!("{part}_{count}"));
    let folder = tempfile::tempdir().expect("temporary folder");
    let mut replicas = start_replicas(folder.path(), 1).await;
    wait_for_leader(&replicas, None).await;
    let print = |name: &str, value: f64| print_figure(part, count, name, value);
    let cpu = replicas[0].process.cpu_s();
    let start = Instant::now();
    write(&control_client(&replicas)).await;
    print("write_s", start.elapsed().as_secs_f64());
    let used = replicas[0].process.cpu_s() - cpu;
    print("core_us_each", used / count as f64 * 1e6);
    print("rss_mb", replicas[0].process.rss_mb());
    print(
        "disk_mb",
        folder_bytes(&replicas[0].data_folder) as f64 / 1e6,
    );
    measure_restart(&mut replicas, &print).await;
}

async fn measure_restart(replicas: &mut [ReplicaChild], print: &dyn Fn(&str, f64)) {
    replicas[0].process.kill();
    let start = Instant::now();
    replicas[0].restart();
    // A replica opens its store before it reports its listener.
    replicas[0].process.listening("event=listening").await;
    print("start_listening_s", start.elapsed().as_secs_f64());
    wait_for_leader(replicas, None).await;
    print("start_leading_s", start.elapsed().as_secs_f64());
    print("restarted_rss_mb", replicas[0].process.rss_mb());
}

async fn claim(client: &ControlClient) {
    let request = ClaimRequest {
        key: Some(ClaimKey {
            caller: "reseller".to_owned(),
            service: "orders".to_owned(),
            key: id_bytes(uuid::Uuid::now_v7()),
        }),
        attempt_id: id_bytes(uuid::Uuid::new_v4()),
        relayed: false,
    };
    let reply = client.claim(request, CLAIM_TIMEOUT).await.expect("a reply");
    assert_eq!(reply.decision(), ClaimDecision::Granted);
}

fn id_bytes(id: uuid::Uuid) -> Bytes {
    Bytes::copy_from_slice(id.as_bytes())
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("data folder");
    let lengths = files.map(|file| file.expect("entry").metadata().expect("metadata").len());
    lengths.sum()
}

fn lists(burst: u32) -> PlanSet {
    let plan = PlanRow {
        name: "reseller".to_owned(),
        rate_per_s: 1_000,
        burst: burst + 1,
        attempts: 32,
    };
    let grants = (0..SERVICES).map(|number| GrantRow {
        plan: "reseller".to_owned(),
        service: format!("service-{number}"),
        path_prefix: "/".to_owned(),
        priority_class: PriorityClass::Read.into(),
        at_most_once: false,
        deadline_ms: 1_000,
    });
    PlanSet {
        plans: vec![plan],
        grants: grants.collect(),
        ..PlanSet::default()
    }
}
