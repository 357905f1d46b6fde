//! Targets that send answers without end, at a node and at the node that the request entered.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;

use support::http::call;
use support::mesh::{Mesh, RESELLER};
use support::poll;
use support::process::{NodeProcess, StandIn, TestProcess};

/// Concurrent callers of targets that send without end.
const CALLERS: usize = 24;
/// Largest part of an answer that a node keeps in memory (`whole_answer_bytes`).
const KEPT_BYTES: u64 = 1024 * 1024;
/// Memory of a node without such answers: what the design gives to its control.
const CONTROL_BYTES: u64 = 64 * 1024 * 1024;
/// A kept answer is copied once when it is joined.
const MAX_PEAK_BYTES: u64 = CONTROL_BYTES + 2 * CALLERS as u64 * KEPT_BYTES;

/// Time for which a caller reads.
const READ_TIME: Duration = Duration::from_secs(3);
/// Time for which a caller of the sound target reads. An answer without end is given up after it.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// Time within which a request reaches the sound target: the deadline of its grant, twice.
const MAX_SERVED_TIME: Duration = Duration::from_secs(10);
/// Part of an answer that a caller keeps.
const START_BYTES: usize = 4 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\n";
/// Beginning of an answer and the part that follows without end.
const SCRIPTS: [(&str, &str, &str); 6] = [
    ("status-line", "HTTP/1.1 200 ", "O"),
    ("headers", HEAD, "X-Y: z\r\n"),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n",
    ),
    (
        "small-chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Y: z\r\n",
    ),
    ("close-delimited", "HTTP/1.1 200 OK\r\n\r\n", "abcd"),
];

fn send_forever(mut stream: TcpStream, start: &str, part: &str) {
    // A probe connects and sends nothing, so it gets no answer.
    if stream.read(&mut [0; 1_024]).unwrap_or(0) == 0 {
        return;
    }
    let parts = part.repeat(64 * 1_024 / part.len());
    // The answer ends when the node closes the connection.
    if stream.write_all(start.as_bytes()).is_ok() {
        while stream.write_all(parts.as_bytes()).is_ok() {}
    }
}

/// Announces to a node, as its target, a listener that sends answers without end.
async fn announce_endless(node: &NodeProcess, start: &'static str, part: &'static str) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || send_forever(stream, start, part));
        }
    });
    let slots = CALLERS;
    let announcement =
        json!({"service": "orders", "address": address, "slots": slots, "connections": 2 * slots});
    let path = "/ebonyjunction/v1/target";
    let announced = call(node.local, Method::PUT, path, &[], announcement.to_string()).await;
    assert_eq!(announced.unwrap().status, 204);
}

/// Sends a request and reads until the connection ends or the time is over. Returns the beginning of the answer.
fn read_answer(entry: SocketAddr, bound: Duration) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(bound)).unwrap();
    let (name, value) = RESELLER;
    let request = format!(
        "GET /orders/a HTTP/1.1\r\nHost: h\r\n{name}: {value}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let until = Instant::now() + bound;
    let mut start = Vec::new();
    let mut part = [0; 16 * 1024];
    while Instant::now() < until {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => {
                start.extend_from_slice(&part[..count.min(START_BYTES - start.len())]);
            }
            _ => break,
        }
    }
    String::from_utf8_lossy(&start).into_owned()
}

fn peak_bytes(process: &TestProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes: u64 = line
        .unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    kilobytes * 1024
}

async fn endless_answers_stay_bounded(name: &str, start: &'static str, part: &'static str) {
    let mesh = Mesh::start("", &[]).await;
    // Both nodes have such a target, so that the entry receives answers from its own and from the other one.
    announce_endless(&mesh.node, start, part).await;
    announce_endless(&mesh.entry, start, part).await;
    let sound = NodeProcess::start(mesh.registry.address, "").await;
    let _target = StandIn::start("orders", &sound, &[]).await;
    let entry = mesh.entry.entry;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| std::thread::spawn(move || read_answer(entry, READ_TIME)))
        .collect();
    // Requests that reach the sound target are served meanwhile.
    let started = Instant::now();
    poll("an answer of the sound target", async || {
        let address = sound.entry;
        let reading = tokio::task::spawn_blocking(move || read_answer(address, PROBE_TIME));
        let answer = reading.await.unwrap();
        answer.contains(r#""path":"/a""#).then_some(())
    })
    .await;
    let elapsed = started.elapsed();
    assert!(elapsed < MAX_SERVED_TIME, "{name}: {elapsed:?}");
    for caller in callers {
        caller.join().unwrap();
    }
    for process in [&mesh.entry.process, &mesh.node.process] {
        let peak = peak_bytes(process);
        println!("{name}: peak memory of {peak} bytes");
        assert!(peak < MAX_PEAK_BYTES, "{name}: peak memory of {peak} bytes");
    }
}

// Guards against a node that keeps an answer without end in memory, or per part of it more than the part, and so runs out of
// memory and ends with the requests of other callers.
#[tokio::test]
async fn answers_without_end_stay_bounded() {
    for (name, start, part) in SCRIPTS {
        endless_answers_stay_bounded(name, start, part).await;
    }
}
