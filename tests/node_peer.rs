//! Handling of the answers of another node that fails, answers falsely or proves that an attempt did not run.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ebonyjunction::generated::{NodeInfo, TargetInfo, TargetState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use support::http::{TestAnswer, get, post};
use support::mesh::{Mesh, RESELLER};
use support::poll;

const OTHER_ATTEMPT: &str = "2b4f8a10-55aa-4d0e-9d0c-1c2d3e4f5a6b";

// Answers each request with the text that the script returns for its head. An empty text closes the connection, and `None`
// leaves the request unanswered.
async fn fake_node(script: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = std::sync::Arc::new(script);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            tokio::spawn(async move { serve(stream, &*script).await });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: &(impl Fn(&str) -> Option<String> + Sync)) {
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer).await
        && count > 0
    {
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if !received.contains("\r\n\r\n") {
            continue;
        }
        match script(&received) {
            Some(text) if text.is_empty() => return,
            Some(text) => stream.write_all(text.as_bytes()).await.unwrap(),
            // Without an answer, the sender has to time out.
            None => {}
        }
        received.clear();
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.into_iter().find(|(key, _)| *key == name);
    found.map_or("", |(_, value)| value)
}

fn answer(attempt: &str, outcome: &str, length: usize, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nebj-outcome: {outcome}\r\nebj-attempt-id: {attempt}\r\nebj-unspent: 2\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn refusal(attempt: &str, reason: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nebj-outcome: not-run\r\nebj-attempt-id: {attempt}\r\n\
         ebj-reason: {reason}\r\nebj-unspent: 2\r\ncontent-length: 0\r\n\r\n"
    )
}

// Calls a service whose only node is the fake node.
async fn call_fake(mesh: &Mesh, address: SocketAddr, is_post: bool) -> TestAnswer {
    mesh.registry.add_node(NodeInfo {
        node_id: uuid::Uuid::from_u128(77).as_bytes().to_vec().into(),
        zone: "zone-a".to_owned(),
        region: "region-a".to_owned(),
        mesh_address: address.to_string(),
        target: Some(TargetInfo {
            service: "ghost".to_owned(),
            slots: 8,
            connections: 8,
            state: TargetState::Ready.into(),
        }),
    });
    let headers = [RESELLER, ("ebj-timeout-ms", "300")];
    poll("an answer of the fake node", async || {
        let answer = if is_post {
            post(mesh.entry.entry, "/ghost/a", &headers).await
        } else {
            get(mesh.entry.entry, "/ghost/a", &headers).await
        };
        let reason = answer.header("ebj-reason");
        let is_absent = reason == "no-target" || reason == "unknown-service";
        (!is_absent).then_some(answer)
    })
    .await
}

// Guards against passing an answer on to the caller of another request.
#[tokio::test]
async fn answer_of_other_attempt_is_lost() {
    let mesh = Mesh::start("", &[]).await;
    let address = fake_node(|_| Some(answer(OTHER_ATTEMPT, "ran", 6, "secret"))).await;
    let answer = call_fake(&mesh, address, false).await;
    assert_eq!(answer.verdict(), "502 unknown answer-lost");
    assert!(!String::from_utf8_lossy(&answer.body).contains("secret"));
}

// Guards against accepting an answer without an outcome, which does not come from a node, as the target's answer.
#[tokio::test]
async fn answer_without_outcome_is_lost() {
    let mesh = Mesh::start("", &[]).await;
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let address = fake_node(move |_| Some(text.to_owned())).await;
    let answer = call_fake(&mesh, address, false).await;
    assert_eq!(answer.verdict(), "502 unknown answer-lost");
}

// Guards against reporting a request as not run when the node closed the connection after it had read the request.
#[tokio::test]
async fn closed_connection_proves_nothing() {
    let mesh = Mesh::start("", &[]).await;
    let address = fake_node(|_| Some(String::new())).await;
    let answer = call_fake(&mesh, address, true).await;
    assert_eq!(answer.verdict(), "502 unknown answer-lost");
}

// Guards against passing a node's truncated answer on as complete.
#[tokio::test]
async fn truncated_node_answer_is_lost() {
    let mesh = Mesh::start("", &[]).await;
    let address = fake_node(|head| {
        let attempt = header(head, "ebj-attempt-id");
        let is_cancel = head.starts_with("DELETE");
        let cut = answer(attempt, "ran", 100, "half");
        Some(if is_cancel { String::new() } else { cut })
    })
    .await;
    let answer = call_fake(&mesh, address, true).await;
    assert_eq!(answer.header("ebj-outcome"), "unknown");
    assert!(answer.status.is_server_error());
}

// Guards against a cancellation that is sent without node id or age, and against not passing on its answer, which proves
// that the attempt did not run.
#[tokio::test]
async fn acknowledged_cancellation_is_proof() {
    let mesh = Mesh::start("", &[]).await;
    let address = fake_node(|head| {
        if !head.starts_with("DELETE /ebonyjunction/v1/attempts/") {
            return None;
        }
        let age: u64 = header(head, "ebj-age-ms").parse().unwrap();
        let is_right = header(head, "ebj-node-id") == uuid::Uuid::from_u128(77).to_string();
        let is_proven = is_right && (100..5_000).contains(&age);
        let outcome = if is_proven { "not-run" } else { "unknown" };
        Some(answer("", outcome, 0, ""))
    })
    .await;
    let answer = call_fake(&mesh, address, true).await;
    assert_eq!(answer.verdict(), "504 not-run deadline-exceeded");
}

// Guards against sending again to the only node when it refuses everything, which would exceed the plan's attempts, and
// against a refusal that hides the node's reason.
#[tokio::test]
async fn refusals_are_not_repeated_at_one_node() {
    let mesh = Mesh::start("", &[]).await;
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let address = fake_node(move |head| {
        let attempt = header(head, "ebj-attempt-id").to_owned();
        sender.send(attempt.clone()).unwrap();
        Some(refusal(&attempt, "queue-full"))
    })
    .await;
    let answer = call_fake(&mesh, address, false).await;
    assert_eq!(answer.verdict(), "503 not-run queue-full");
    assert!(receiver.recv().await.is_some());
    let second = tokio::time::timeout(Duration::from_millis(300), receiver.recv()).await;
    assert!(second.is_err(), "the refused attempt was sent again");
}

fn run_program(program: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = std::process::Command::new(program)
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

// Guards against command lines that start a process with invalid settings or hide a finding.
#[test]
fn command_line_is_checked() {
    let node = env!("CARGO_BIN_EXE_ebonyjunction-node");
    let stand_in = env!("CARGO_BIN_EXE_ebonyjunction-stand-in");
    for program in [node, stand_in] {
        let (code, text, _) = run_program(program, &["--version"]);
        assert_eq!(code, Some(0));
        assert!(
            text.ends_with(concat!(env!("CARGO_PKG_VERSION"), "\n")),
            "{text}"
        );
        let (code, text, _) = run_program(program, &["--help"]);
        assert_eq!(code, Some(0));
        assert!(text.contains("Usage: ebonyjunction-"), "{text}");
        assert_eq!(run_program(program, &[]).0, Some(2));
    }
    let file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap();
    std::fs::write(path, "zone = \"A\"\nspeed = 1\n").unwrap();
    let (code, _, text) = run_program(node, &["--settings", path, "--check"]);
    assert_eq!(code, Some(2));
    for finding in [":1: zone:", ":2: speed:", "mesh_token: is required"] {
        assert!(text.contains(finding), "{text}");
    }
    assert_eq!(
        run_program(node, &["--settings", path, "--speed"]).0,
        Some(2)
    );
    let settings = "entry_address = \"127.0.0.1:0\"\nmesh_address = \"127.0.0.1:0\"\n\
                    local_address = \"127.0.0.1:0\"\nzone = \"a\"\nregion = \"a\"\n\
                    mesh_token = \"mesh-token-of-the-tests\"\ncontrol = [\"127.0.0.1:9\"]\n";
    std::fs::write(path, settings).unwrap();
    let (code, text, _) = run_program(node, &["--settings", path, "--check"]);
    assert_eq!(code, Some(0), "{text}");
}
