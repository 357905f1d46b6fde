//! Three control replica processes keep every accepted edit through crashes, partitions and lost disks.

#[path = "support/control_cluster.rs"]
mod control_cluster;
#[path = "support/fault_proxy.rs"]
mod fault_proxy;
#[path = "control/operator.rs"]
mod operator;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::{ControlClient, MESH_TOKEN_KEY};
use ebonyjunction::generated::registry_client::RegistryClient;
use ebonyjunction::generated::replication_client::ReplicationClient;
use ebonyjunction::generated::{
    AppendRequest, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest, HeartbeatRequest, LogEntry,
    NodeInfo, SettleRequest,
};
use ebonyjunction::types::{AttemptId, IdempotencyKey, NodeId};

use control_cluster::{ControlCluster, ReplicaProcess, TOKEN, change, poll, token};

fn heartbeat(node_id: NodeId) -> HeartbeatRequest {
    HeartbeatRequest {
        node: Some(NodeInfo {
            node_id: Bytes::copy_from_slice(node_id.as_bytes()),
            zone: "a".to_owned(),
            region: "north".to_owned(),
            mesh_address: "127.0.0.1:9".to_owned(),
            target: None,
        }),
        all_services: true,
        ..HeartbeatRequest::default()
    }
}

// Guards against an accepted edit that is lost when any replica, or all of them, are killed.
#[tokio::test(flavor = "multi_thread")]
async fn apply_survives_kill() {
    let mut cluster = ControlCluster::start().await;
    let mut version = 0;
    for replica_id in 1..=3 {
        let reply = cluster.apply(&format!("up-{replica_id}"), version, 1).await;
        assert_eq!((reply.accepted, reply.version), (true, version + 1));
        cluster.replica(replica_id).kill();
        let reply = cluster
            .apply(&format!("down-{replica_id}"), version + 1, 7)
            .await;
        assert_eq!((reply.accepted, reply.version), (true, version + 2));
        version += 2;
        cluster.replica(replica_id).restart().await;
    }
    assert_eq!(cluster.shown().await, (version, 7));
    for replica in &mut cluster.replicas {
        replica.kill();
    }
    for replica in &mut cluster.replicas {
        replica.restart().await;
    }
    assert_eq!(cluster.shown().await, (version, 7));
}

// Guards against accepting two concurrent edits of the same version.
#[tokio::test(flavor = "multi_thread")]
async fn apply_equal_versions_race() {
    let cluster = ControlCluster::start().await;
    let edits = (1..=8_u32).map(|rate| {
        let cluster = &cluster;
        async move { (rate, cluster.apply(&format!("race-{rate}"), 0, rate).await) }
    });
    let replies = futures_util::future::join_all(edits).await;
    let accepted: Vec<_> = replies.iter().filter(|(_, reply)| reply.accepted).collect();
    assert_eq!(accepted.len(), 1);
    assert_eq!(cluster.shown().await, (1, accepted[0].0));
    for (_, reply) in replies.iter().filter(|(_, reply)| !reply.accepted) {
        let current = reply
            .current
            .as_ref()
            .expect("a conflict reply contains the current lists");
        assert_eq!(current.version, 1);
    }
}

// Guards against a resent edit that is applied twice or gets a result that differs from the first.
#[tokio::test(flavor = "multi_thread")]
async fn apply_resend_first_result() {
    let cluster = ControlCluster::start().await;
    assert!(cluster.apply("first", 0, 1).await.accepted);
    assert!(cluster.apply("second", 1, 2).await.accepted);
    for replica in &cluster.replicas {
        let client = ControlClient::new(vec![replica.proxy.address], token());
        let reply = poll("a result", async || {
            client.apply_plans(change("first", 0, 1)).await.ok()
        })
        .await;
        assert_eq!((reply.accepted, reply.version), (true, 1));
    }
    assert_eq!(cluster.shown().await, (2, 2));
}

// Guards against an edit that is lost or applied twice while connections break repeatedly.
#[tokio::test(flavor = "multi_thread")]
async fn apply_over_broken_connections() {
    let cluster = ControlCluster::start().await;
    let break_connections = async {
        for replica in cluster.replicas.iter().cycle() {
            let proxy = &replica.proxy;
            let set = |value| proxy.set_faults(|faults| faults.is_dropping = value);
            set(true);
            tokio::time::sleep(Duration::from_millis(100)).await;
            set(false);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let apply_edits = async {
        for version in 0..200_u32 {
            let id = format!("c{version}");
            let reply = cluster.apply(&id, version.into(), version + 1).await;
            assert_eq!(
                (reply.accepted, reply.version),
                (true, u64::from(version) + 1)
            );
        }
    };
    tokio::select! {
        () = break_connections => {}
        () = apply_edits => {}
    }
    assert_eq!(cluster.shown().await, (200, 200));
}

// Guards against an isolated leader that continues to confirm old plans, and against a returning leader that disturbs the
// other replicas.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeat_isolated_leader() {
    let mut cluster = ControlCluster::start().await;
    let status = cluster.wait_leader().await;
    let old_leader_id = status.leader_id;
    let process = cluster.replica(old_leader_id).process_id();
    let direct = ControlClient::new(
        vec![cluster.replica(old_leader_id).direct.unwrap()],
        token(),
    );
    let node_id = NodeId::random();
    poll("a fresh heartbeat", async || {
        direct.heartbeat(heartbeat(node_id)).await.ok()
    })
    .await;
    for replica in &cluster.replicas {
        replica.proxy.set_faults(|faults| {
            faults.is_cut = replica.replica_id == old_leader_id;
            faults.cut_processes.insert(process);
        });
    }
    let cut_at = Instant::now();
    let mut last_fresh = Duration::ZERO;
    while cut_at.elapsed() < Duration::from_secs(4) {
        let sent = cut_at.elapsed();
        if direct.heartbeat(heartbeat(node_id)).await.is_ok() {
            last_fresh = sent;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    eprintln!("last fresh heartbeat was sent {last_fresh:?} after the cut");
    assert!(
        last_fresh < Duration::from_secs(2),
        "the isolated leader confirmed a heartbeat {last_fresh:?} after the cut"
    );
    let reply = cluster.apply("after-cut", 0, 5).await;
    assert!(reply.accepted);
    let term = cluster.wait_leader().await.term;
    assert!(term > status.term);
    for replica in &cluster.replicas {
        replica
            .proxy
            .set_faults(|faults| *faults = fault_proxy::ProxyFaults::default());
    }
    let reply = poll("a relayed heartbeat", async || {
        direct.heartbeat(heartbeat(node_id)).await.ok()
    })
    .await;
    assert_eq!((reply.message.term, reply.message.plan_version), (term, 1));
}

/// Returns a client of the first follower that calls it alone, without a further try, and the id of the leader.
async fn connect_follower(
    cluster: &ControlCluster,
) -> (RegistryClient<tonic::transport::Channel>, u64) {
    let leader_id = cluster.wait_leader().await.leader_id;
    let mut followers = cluster.replicas.iter();
    let follower = followers.find(|it| it.replica_id != leader_id).unwrap();
    let url = format!("http://{}", follower.direct.unwrap());
    (RegistryClient::connect(url).await.unwrap(), leader_id)
}

fn with_token<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let token = TOKEN.parse().unwrap();
    request.metadata_mut().insert(MESH_TOKEN_KEY, token);
    request
}

/// Returns a heartbeat that the leader holds, since its node has everything already.
async fn held_heartbeat(
    follower: &mut RegistryClient<tonic::transport::Channel>,
) -> HeartbeatRequest {
    let node_id = NodeId::random();
    let reply = poll("a relayed heartbeat", async || {
        let request = with_token(heartbeat(node_id));
        follower.clone().heartbeat(request).await.ok()
    })
    .await
    .into_inner();
    let directory = reply.directory.unwrap();
    HeartbeatRequest {
        directory_term: directory.term,
        directory_revision: directory.revision,
        wait_ms: 600,
        ..heartbeat(node_id)
    }
}

// Guards against relays that give up the leader's answers while these are late: all nodes at all followers failed at once.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeat_relayed_to_slow_leader() {
    let mut cluster = ControlCluster::start_with("heartbeat_interval_ms = 400").await;
    let (mut follower, leader_id) = connect_follower(&cluster).await;
    let request = held_heartbeat(&mut follower).await;
    let leader = cluster.replica(leader_id);
    leader
        .proxy
        .set_faults(|faults| faults.delay = Duration::from_millis(150));
    let reply = follower.heartbeat(with_token(request)).await;
    assert!(reply.is_ok(), "{reply:?}");
}

// Guards against a node that waits at a follower for a leader that has been replaced.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeat_relay_ends_with_leader() {
    let mut cluster = ControlCluster::start().await;
    let (mut follower, leader_id) = connect_follower(&cluster).await;
    let request = held_heartbeat(&mut follower).await;
    let process = cluster.replica(leader_id).process_id();
    for replica in &cluster.replicas {
        replica.proxy.set_faults(|faults| {
            faults.is_cut = replica.replica_id == leader_id;
            faults.cut_processes.insert(process);
        });
    }
    let reply = follower.heartbeat(with_token(request)).await;
    assert_eq!(reply.unwrap_err().message(), "the leader changed");
}

// Guards against an empty disk that counts towards a quorum before it holds the log, and against one that never gets the
// log because its first entries exist only in a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn join_wiped_disk() {
    let mut cluster = ControlCluster::start_with("snapshot_entries = 50").await;
    for version in 0..20 {
        let reply = cluster.apply(&format!("c{version}"), version, 3).await;
        assert!(reply.accepted);
    }
    // The log keeps 256 entries after a snapshot.
    let client = cluster.client();
    let claims = (0..400).map(|_| decide_claim(&client, new_key(), AttemptId::random()));
    futures_util::future::join_all(claims).await;
    let before = cluster.wait_leader().await.membership.unwrap();
    cluster.replica(3).kill();
    fs::remove_dir_all(&cluster.replica(3).data_folder).unwrap();
    cluster.replica(3).restart().await;
    poll("the promotion of the new disk", async || {
        let membership = cluster.client().status().await.ok()?.membership?;
        let is_new = membership.voters.iter().any(|voter| {
            voter.replica_id == 3 && !before.voters.iter().any(|it| it.disk_id == voter.disk_id)
        });
        (is_new && membership.voters.len() == 3).then_some(())
    })
    .await;
    assert!(cluster.apply("last", 20, 9).await.accepted);
    cluster.replica(1).kill();
    assert_eq!(cluster.shown().await, (21, 9));
    assert!(cluster.apply("more", 21, 4).await.accepted);
    assert_eq!(cluster.wait_leader().await.claims, 400);
}

fn new_key() -> ClaimKey {
    ClaimKey {
        caller: "shop".to_owned(),
        service: "orders".to_owned(),
        key: Bytes::copy_from_slice(IdempotencyKey::new_now().as_bytes()),
    }
}

async fn decide_claim(client: &ControlClient, key: ClaimKey, attempt: AttemptId) -> ClaimDecision {
    let request = ClaimRequest {
        key: Some(key),
        attempt_id: Bytes::copy_from_slice(attempt.as_bytes()),
        relayed: false,
    };
    let reply = poll("a decision", async || {
        let within = Duration::from_secs(5);
        client.claim(request.clone(), within).await.ok()
    });
    reply.await.decision()
}

// Guards against a replica that cannot catch up by snapshot, or takes too long.
#[tokio::test(flavor = "multi_thread")]
async fn catch_up_500_changes() {
    let mut cluster = ControlCluster::start_with("snapshot_entries = 100").await;
    cluster.replica(2).kill();
    for version in 0..500 {
        assert!(
            cluster
                .apply(&format!("c{version}"), version, 3)
                .await
                .accepted
        );
    }
    let start = Instant::now();
    cluster.replica(2).restart().await;
    cluster
        .replica(2)
        .wait_log("event=plans-in-force version=500")
        .await;
    eprintln!("caught up 500 changes in {:?}", start.elapsed());
    assert!(start.elapsed() < Duration::from_secs(20));
}

// Guards against a SIGTERM that ends a replica like a crash, and against edits that wait long for a new leader.
#[tokio::test(flavor = "multi_thread")]
async fn stop_sigterm() {
    let mut cluster = ControlCluster::start().await;
    assert!(cluster.apply("one", 0, 1).await.accepted);
    let leader_id = cluster.wait_leader().await.leader_id;
    let leader = cluster.replica(leader_id);
    let start = Instant::now();
    leader.terminate();
    assert_eq!(leader.wait_exit().await.code(), Some(0));
    let stopped = start.elapsed();
    assert!(cluster.apply("two", 1, 2).await.accepted);
    eprintln!(
        "stopped in {stopped:?}, next edit after {:?}",
        start.elapsed()
    );
    assert!(stopped < Duration::from_secs(10));
    for replica in cluster
        .replicas
        .iter_mut()
        .filter(|it| it.replica_id != leader_id)
    {
        replica.terminate();
        assert_eq!(replica.wait_exit().await.code(), Some(0));
    }
    for replica in &mut cluster.replicas {
        replica.restart().await;
    }
    assert_eq!(cluster.shown().await, (2, 2));
}

// Guards against silently truncating a damaged log at start.
#[tokio::test(flavor = "multi_thread")]
async fn start_corrupt_log() {
    let mut cluster = ControlCluster::start().await;
    for version in 0..30 {
        assert!(
            cluster
                .apply(&format!("c{version}"), version, 3)
                .await
                .accepted
        );
    }
    let replica = cluster.replica(1);
    replica.kill();
    let files = fs::read_dir(&replica.data_folder).unwrap().flatten();
    let largest = files
        .max_by_key(|file| file.metadata().unwrap().len())
        .unwrap();
    let mut content = fs::read(largest.path()).unwrap();
    let middle = content.len() / 2;
    content[middle] ^= 0xff;
    fs::write(largest.path(), content).unwrap();
    replica.spawn();
    assert_eq!(replica.wait_exit().await.code(), Some(1));
    let log = fs::read_to_string(&replica.log).unwrap();
    assert!(log.contains("is damaged at byte"), "{log}");
    assert_eq!(cluster.shown().await, (30, 3));
}

// Guards against malformed or unauthenticated traffic that ends a replica, bypasses the token check or delays a stop.
#[tokio::test(flavor = "multi_thread")]
async fn serve_garbage() {
    let mut cluster = ControlCluster::start().await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let mut frame = preface.to_vec();
    frame.extend([0xff; 4096]);
    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &vec![0xa5; 70_000],
        &frame,
        &[0; 9],
    ] {
        for replica in &cluster.replicas {
            let mut stream = TcpStream::connect(replica.direct.unwrap()).unwrap();
            // The replica may close the connection while garbage is still being sent.
            let _ = stream.write_all(garbage);
        }
    }
    let wrong_token = MeshToken::try_from("0123456789abcdeX").unwrap();
    let unauthenticated = ControlClient::new(cluster.addresses(), wrong_token);
    let refusal = unauthenticated.show_plans().await.unwrap_err().to_string();
    assert!(refusal.contains("Unauthenticated"), "{refusal}");
    let client = cluster.client();
    let mut oversized = heartbeat(NodeId::random());
    oversized.services = vec!["x".repeat(1_000); 2_000];
    assert!(client.heartbeat(oversized).await.is_err());
    let mut malformed = heartbeat(NodeId::random());
    malformed.node.as_mut().unwrap().node_id = Bytes::from_static(b"short");
    assert!(client.heartbeat(malformed).await.is_err());
    assert!(client.apply_plans(change("", 0, 1)).await.is_err());
    for replica in &cluster.replicas {
        send_broken_append(replica).await;
    }
    assert!(cluster.apply("still-there", 0, 1).await.accepted);
    let connect = |replica: &ReplicaProcess| TcpStream::connect(replica.direct.unwrap()).unwrap();
    let _idle: Vec<_> = cluster.replicas.iter().map(connect).collect();
    for replica in &mut cluster.replicas {
        replica.terminate();
        assert_eq!(replica.wait_exit().await.code(), Some(0));
    }
}

async fn send_broken_append(replica: &ReplicaProcess) {
    let address = format!("http://{}", replica.direct.unwrap());
    let mut peer = ReplicationClient::connect(address).await.unwrap();
    let mut request = tonic::Request::new(AppendRequest {
        term: 1_000,
        leader_id: 2,
        previous_index: 1,
        entries: vec![LogEntry::default()],
        ..AppendRequest::default()
    });
    let metadata = request.metadata_mut();
    metadata.insert("ebj-mesh-token", TOKEN.parse().unwrap());
    let status = peer.append(request).await.unwrap_err();
    assert_eq!(status.code(), tonic::Code::InvalidArgument);
}

// Guards against granting a key twice over slow connections, whether it is claimed at the leader or through followers.
#[tokio::test(flavor = "multi_thread")]
async fn claim_once_over_slow_links() {
    let cluster = ControlCluster::start().await;
    for replica in &cluster.replicas {
        let delay = Duration::from_millis(10);
        replica.proxy.set_faults(|faults| faults.delay = delay);
    }
    cluster.wait_leader().await;
    let key = new_key();
    let claim = async |address, attempt: AttemptId| {
        let client = ControlClient::new(vec![address], token());
        decide_claim(&client, key.clone(), attempt).await
    };
    let addresses = cluster.addresses();
    let attempts = [
        AttemptId::random(),
        AttemptId::random(),
        AttemptId::random(),
    ];
    let decisions = tokio::join!(
        claim(addresses[0], attempts[0]),
        claim(addresses[1], attempts[1]),
        claim(addresses[2], attempts[2]),
    );
    let decisions = [decisions.0, decisions.1, decisions.2];
    let granted: Vec<_> = (0..3)
        .filter(|it| decisions[*it] == ClaimDecision::Granted)
        .collect();
    assert_eq!(granted.len(), 1, "{decisions:?}");
    let holder = attempts[granted[0]];
    let settle = SettleRequest {
        key: Some(key.clone()),
        attempt_id: Bytes::copy_from_slice(holder.as_bytes()),
        outcome: ClaimOutcome::Released.into(),
        relayed: false,
    };
    let client = cluster.client();
    poll("a settlement", async || {
        client.settle(settle.clone()).await.ok()
    })
    .await;
    assert_eq!(claim(addresses[0], holder).await, ClaimDecision::Released);
    let next = attempts[(granted[0] + 1) % 3];
    assert_eq!(claim(addresses[1], next).await, ClaimDecision::Granted);
}

// Guards against a key that can be claimed again after its claim expired, and against metrics that are never sent.
#[tokio::test(flavor = "multi_thread")]
async fn claim_old_key() {
    let receiver = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = receiver.local_addr().unwrap();
    let extra = format!("metrics_address = \"{address}\"\nclaim_retention_s = 60");
    let cluster = ControlCluster::start_with(&extra).await;
    let client = cluster.client();
    let mut old_key = new_key();
    let hour_ms = 3_600_000_u64;
    let raw = old_key.key.to_vec();
    let created_ms = u64::from_be_bytes(raw[..8].try_into().unwrap()) >> 16;
    let created = (created_ms - hour_ms).to_be_bytes();
    old_key.key = [&created[2..], &raw[6..]].concat().into();
    let first = decide_claim(&client, old_key.clone(), AttemptId::random()).await;
    assert_eq!(first, ClaimDecision::Granted);
    let fresh = decide_claim(&client, new_key(), AttemptId::random()).await;
    assert_eq!(fresh, ClaimDecision::Granted);
    poll("the removal of the old claim", async || {
        let status = client.status().await.ok()?;
        (status.leader_id != 0 && status.claims == 1).then_some(())
    })
    .await;
    let late = decide_claim(&client, old_key, AttemptId::random()).await;
    assert_eq!(late, ClaimDecision::Expired);
    poll("a metric", async || {
        let mut packet = [0; 512];
        let length = receiver.recv(&mut packet).await.ok()?;
        let text = String::from_utf8_lossy(&packet[..length]).into_owned();
        (text == "ebonyjunction.control.claims:1|g").then_some(())
    })
    .await;
}

// Guards against a program that reports only the first invalid setting.
#[test]
fn check_damaged_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.toml");
    fs::write(&path, "replica_id = 0\nbootstrap = \"yes\"\nport = 1\n").unwrap();
    let run = |flags: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyjunction-control"));
        command
            .arg("--settings")
            .arg(&path)
            .args(flags)
            .output()
            .unwrap()
    };
    for output in [run(&["--check"]), run(&[])] {
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        for part in [
            "control.toml:1: replica_id:",
            "control.toml:1: control_address: is required",
            "control.toml:1: data_folder: is required",
            "control.toml:1: mesh_token: is required",
            "control.toml:2: bootstrap:",
            "control.toml:3: port: unknown key",
        ] {
            assert!(text.contains(part), "{part} is missing in:\n{text}");
        }
    }
}
