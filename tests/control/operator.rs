//! Tests of the operator command against control replica processes.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use ebonyjunction::generated::{TargetInfo, TargetState};
use ebonyjunction::types::{NodeId, RequestId};

use crate::control_cluster::{ControlCluster, TOKEN, poll};
use crate::fault_proxy::{Direction, FaultProxy};
use crate::heartbeat;

/// Operator with its own settings, lists and change folder.
struct Operator {
    folder: PathBuf,
}

impl Operator {
    fn new(cluster: &ControlCluster, name: &str, control: &[SocketAddr]) -> Self {
        let folder = cluster.folder.path().join(name);
        fs::create_dir(&folder).unwrap();
        let control: Vec<String> = control.iter().map(|it| format!("\"{it}\"")).collect();
        let changes = folder.join("changes");
        let text = format!(
            "control = [{}]\nmesh_token = \"{TOKEN}\"\nchange_folder = \"{}\"\n",
            control.join(", "),
            changes.display(),
        );
        fs::write(folder.join("operator.toml"), text).unwrap();
        let operator = Self { folder };
        operator.write_lists(10);
        operator
    }

    fn write_lists(&self, rate: u32) {
        write_lists(&self.folder, rate);
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyjunction"));
        command.current_dir(&self.folder).stdin(Stdio::null());
        command
            .args(["--settings", "operator.toml"])
            .args(arguments);
        command
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = self.command(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    async fn plans(&self, action: &str) -> Output {
        let files = ["--plans", "plans.toml", "--grants", "grants.toml"];
        self.run(&[&["plans", action], &files[..]].concat()).await
    }

    fn has_pending_change(&self) -> bool {
        self.folder.join("changes/pending-change.toml").exists()
    }
}

fn write_lists(folder: &Path, rate: u32) {
    let plans = format!("[[plan]]\nname = \"gold\"\nrate_per_s = {rate}\nburst = 1\n");
    fs::write(folder.join("plans.toml"), plans).unwrap();
    fs::write(folder.join("grants.toml"), "").unwrap();
}

#[track_caller]
fn check(output: &Output, code: i32, part: &str) {
    let text = [&output.stdout[..], &output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(part), "{part:?} not found in output:\n{text}");
}

// Guards against an edit based on an old version that overwrites a newer one, and against wrong exit codes.
#[tokio::test(flavor = "multi_thread")]
async fn plans_apply_conflict() {
    let cluster = ControlCluster::start().await;
    let first = Operator::new(&cluster, "first", &cluster.addresses());
    let second = Operator::new(&cluster, "second", &cluster.addresses());
    check(
        &first.plans("diff").await,
        0,
        "+ plan gold rate_per_s=10 burst=1",
    );
    check(&second.run(&["plans", "show"]).await, 0, "version 0");
    check(&first.plans("apply").await, 0, "accepted: version 1");
    second.write_lists(20);
    let conflict = second.plans("apply").await;
    check(&conflict, 3, "made from version 0, version 1 was in force");
    check(
        &conflict,
        3,
        "~ plan gold rate_per_s=10 burst=1 attempts=32 -> rate_per_s=20",
    );
    check(&second.plans("apply").await, 3, "conflict");
    assert!(!second.has_pending_change());
    check(&second.plans("diff").await, 0, "changes to version 1");
    check(&second.plans("apply").await, 0, "accepted: version 2");
    check(&first.plans("apply").await, 3, "conflict");
    assert_eq!(cluster.shown().await, (2, 20));
    // A leader whose lease has just expired is not shown as leader until a quorum confirms it again.
    let status = poll("status with a leader", async || {
        let status = first.run(&["status"]).await;
        String::from_utf8_lossy(&status.stdout)
            .contains(" leader ")
            .then_some(status)
    });
    check(&status.await, 0, "COMMIT_INDEX");
    check(
        &first.run(&["plans", "show", "--wait"]).await,
        2,
        "belong to plans apply",
    );
    check(&first.run(&["plans", "drop"]).await, 2, "unknown action");
    fs::write(
        second.folder.join("grants.toml"),
        "[[grant]]\nplan = \"x\"\n",
    )
    .unwrap();
    check(&second.plans("apply").await, 2, "grants.toml:1: grant[0].");
}

// Guards against an edit that is applied twice when its answer is lost and the operator resends it.
#[tokio::test(flavor = "multi_thread")]
async fn plans_apply_lost_answer() {
    let cluster = ControlCluster::start().await;
    let proxy = FaultProxy::start();
    proxy.set_target(cluster.replicas[0].direct.unwrap());
    let operator = Operator::new(&cluster, "operator", &[proxy.address]);
    check(&operator.run(&["plans", "show"]).await, 0, "version 0");
    proxy.set_faults(|faults| faults.held_direction = Some(Direction::Answer));
    check(&operator.plans("apply").await, 1, "is not known");
    assert!(operator.has_pending_change());
    assert_eq!(cluster.shown().await, (1, 10));
    proxy.set_faults(|faults| faults.held_direction = None);
    operator.write_lists(30);
    check(
        &operator.plans("apply").await,
        1,
        "with other lists is not known",
    );
    operator.write_lists(10);
    check(&operator.plans("apply").await, 0, "accepted: version 1");
    assert!(!operator.has_pending_change());
    assert_eq!(cluster.shown().await, (1, 10));
}

// Guards against `plans apply --wait` ending while a node has an older version, or not naming this node.
#[tokio::test(flavor = "multi_thread")]
async fn plans_apply_wait() {
    let cluster = ControlCluster::start().await;
    let operator = Operator::new(&cluster, "operator", &cluster.addresses());
    let client = cluster.client();
    let mut request = heartbeat(NodeId::random());
    request.node.as_mut().unwrap().target = Some(TargetInfo {
        service: "orders".to_owned(),
        slots: 4,
        connections: 8,
        state: TargetState::Ready.into(),
    });
    poll("a heartbeat", async || {
        client.heartbeat(request.clone()).await.ok()
    })
    .await;
    let files = ["--plans", "plans.toml", "--grants", "grants.toml", "--wait"];
    let arguments = [&["plans", "apply"], &files[..]].concat();
    let errors = operator.folder.join("errors");
    let mut command = operator.command(&arguments);
    command
        .stderr(fs::File::create(&errors).unwrap())
        .stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    poll("the node named in the output", async || {
        let _ = client.heartbeat(request.clone()).await;
        let text = fs::read_to_string(&errors).unwrap();
        text.contains("127.0.0.1:9 service=orders zone=a version=0")
            .then_some(())
    })
    .await;
    assert_eq!(child.try_wait().unwrap(), None);
    let reply = poll("the lists", async || {
        client.heartbeat(request.clone()).await.ok()
    })
    .await;
    request.plan_version = reply
        .message
        .plans
        .expect("lists for a node with an older version")
        .version;
    let status = poll("the exit of plans apply --wait", async || {
        let _ = client.heartbeat(request.clone()).await;
        child.try_wait().unwrap()
    })
    .await;
    assert_eq!(status.code(), Some(0));
    let mut text = String::new();
    child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    assert!(
        text.contains("version 1 is in force at all 1 nodes"),
        "{text}"
    );
}

// Guards against decisions that are attributed to the wrong node or requested without the mesh token.
#[tokio::test(flavor = "multi_thread")]
async fn explain_by_node() {
    let cluster = ControlCluster::start().await;
    let operator = Operator::new(&cluster, "operator", &cluster.addresses());
    let request_id = RequestId::random();
    let client = cluster.client();
    let mut addresses = Vec::new();
    for line in ["event=route target=t1", "event=refuse reason=queue-full"] {
        let address = serve_decisions(format!("[\"{line}\"]"), request_id);
        let mut request = heartbeat(NodeId::random());
        request.node.as_mut().unwrap().mesh_address = address.to_string();
        poll("a heartbeat", async || {
            client.heartbeat(request.clone()).await.ok()
        })
        .await;
        addresses.push((address, line));
    }
    let output = operator.run(&["explain", &request_id.to_string()]).await;
    for (address, line) in addresses {
        check(&output, 0, &format!("node {address}\n  {line}\n"));
    }
    check(
        &operator.run(&["explain", "x"]).await,
        2,
        "invalid request id",
    );
}

/// Starts a stand-in for a node, which answers one request and returns the decisions if path and token are correct.
fn serve_decisions(body: String, request_id: RequestId) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        let path = format!("GET /ebonyjunction/v1/decisions/{request_id} HTTP/1.1\r\n");
        let is_good = head.starts_with(&path) && head.contains(&format!("ebj-mesh-token: {TOKEN}"));
        let status = if is_good {
            "200 OK"
        } else {
            "401 Unauthorized"
        };
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    });
    address
}

// Guards against `plans check` requiring settings or a replica, or accepting invalid lists.
#[test]
fn plans_check_without_settings() {
    let folder = tempfile::tempdir().unwrap();
    write_lists(folder.path(), 5);
    let run = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyjunction"));
        let arguments = [
            "plans",
            "check",
            "--plans",
            "plans.toml",
            "--grants",
            "grants.toml",
        ];
        command
            .current_dir(folder.path())
            .args(arguments)
            .output()
            .unwrap()
    };
    check(&run(), 0, "ok: 1 plans, 0 callers, 0 grants");
    fs::write(folder.path().join("plans.toml"), "[[plan]]\nname = 1\n").unwrap();
    check(&run(), 2, "plans.toml:2: plan[0].name");
    fs::remove_file(folder.path().join("grants.toml")).unwrap();
    check(&run(), 2, "cannot read grants.toml");
}
